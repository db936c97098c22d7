"""Tests of how a swapper handles announced versions."""

import unittest

from auburnroad_daemon.version import side_configuration
from auburnroad_daemon.version import swapper
from auburnroad_daemon.version import swaps


class AnnounceTest(unittest.TestCase):
    """Announcements of an outdated entry must not lower a version."""

    def test_lower_announced_version_is_ignored(self):
        subject = swapper.Swapper(
            [], side_configuration.SideConfiguration(), None, None, None
        )
        for versions in ({'m': 3}, {'m': 2, 'n': 1}, {'m': -1}):
            subject.announce(versions)
        self.assertEqual({'m': 3, 'n': 1}, subject.announced)

    def test_version_below_ordered_version_is_never_due(self):
        swap = swaps.Swap('a', 'm', reported=1, ordered=3, up=True)
        due = [swaps.is_due(swap, {'m': version}, 0) for version in (2, 3)]
        self.assertEqual([False, True], due)
