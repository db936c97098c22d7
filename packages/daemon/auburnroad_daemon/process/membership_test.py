"""Tests of how often the host list is read."""

import unittest

from auburnroad_daemon.process import membership


class ComputePollTest(unittest.TestCase):
    """Reading the list costs about as much whatever its length."""

    def test_short_lists_are_read_each_second(self):
        self.assertEqual(1.0, membership.compute_poll_seconds(0))
        self.assertEqual(1.0, membership.compute_poll_seconds(10))

    def test_long_lists_are_read_less_often(self):
        self.assertEqual(36.0, membership.compute_poll_seconds(360))
