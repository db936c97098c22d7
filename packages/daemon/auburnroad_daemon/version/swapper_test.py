"""Tests of what a swapper takes over from announcements."""

import unittest

from auburnroad_daemon.version import side_configuration
from auburnroad_daemon.version import swapper
from auburnroad_daemon.version import swaps


class AnnounceTest(unittest.TestCase):
    """An entry that is behind takes no version back."""

    def test_a_lower_version_changes_nothing(self):
        subject = swapper.Swapper(
            [], side_configuration.SideConfiguration(), None, None, None
        )
        for versions in ({'m': 3}, {'m': 2, 'n': 1}, {'m': -1}):
            subject.announce(versions)
        self.assertEqual({'m': 3, 'n': 1}, subject.announced)

    def test_a_version_below_the_ordered_one_is_never_due(self):
        swap = swaps.Swap('a', 'm', reported=1, ordered=3, up=True)
        due = [swaps.is_due(swap, {'m': version}, 0) for version in (2, 3)]
        self.assertEqual([False, True], due)
