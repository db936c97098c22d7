"""Tests of the polling interval of the host list."""

import unittest

from auburnroad_daemon.process import membership


class ComputePollTest(unittest.TestCase):
    """The interval grows with the list, so that the data rate stays bounded.

    The list is always read as a whole. At a fixed interval the bytes per
    second would grow with the number of hosts.
    """

    def test_short_list_is_read_every_second(self):
        self.assertEqual(1.0, membership.compute_poll_seconds(0))
        self.assertEqual(1.0, membership.compute_poll_seconds(10))

    def test_long_list_is_read_less_often(self):
        self.assertEqual(36.0, membership.compute_poll_seconds(360))
