"""Tests of the detection of suspensions.

Guards against a call from a process that has just been resumed and doesn't
know yet what happened meanwhile.
"""

import unittest

from auburnroad_gateway.duties import suspension


class SuspensionWatchTest(unittest.TestCase):
    """A watch that observes every 50 ms."""

    def setUp(self):
        self.watch = suspension.SuspensionWatch()
        for number in range(3):
            self.watch.observe(100 + number * 0.05, 50 + number * 0.05)

    def test_regular_observations_show_no_suspension(self):
        self.assertEqual(float('-inf'), self.watch.resumed_at)

    def test_boot_clock_that_runs_ahead_shows_a_suspended_host(self):
        self.watch.observe(100.35, 50.15)
        self.assertEqual(100.35, self.watch.resumed_at)

    def test_gap_between_observations_shows_a_stopped_process(self):
        self.watch.observe(103.0, 53.0)
        self.assertEqual(103.0, self.watch.resumed_at)
        self.watch.observe(103.05, 53.05)
        self.assertEqual(103.0, self.watch.resumed_at)
