"""Tests of the slots kept for callers."""

import unittest

from auburnroad_daemon.request import reservation

WINDOW_MS = reservation.WINDOW_MS


class DemandTest(unittest.TestCase):
    """The peak is remembered for a while and then forgotten."""

    def test_peak_outlives_its_window(self):
        demand = reservation.Demand()
        self.assertEqual(demand.note(3, 0), 3)
        self.assertEqual(demand.note(0, WINDOW_MS), 3)
        self.assertEqual(demand.note(0, 2 * WINDOW_MS), 0)

    def test_silence_forgets_at_once(self):
        demand = reservation.Demand()
        demand.note(3, 0)
        self.assertEqual(demand.note(1, 5 * WINDOW_MS), 1)


class CountKeptTest(unittest.TestCase):
    """Demand counts up to the limit; long runs keep one slot more."""

    def test_no_callers_keep_nothing_where_slots_free_soon(self):
        self.assertEqual(reservation.count_kept(4, 0, 16, 500.0), 0)

    def test_long_runs_keep_one_spare(self):
        self.assertEqual(reservation.count_kept(4, 0, 16, 30_000.0), 1)
        self.assertEqual(reservation.count_kept(4, 2, 16, 30_000.0), 3)

    def test_limit_holds(self):
        self.assertEqual(reservation.count_kept(4, 9, 16, 30_000.0), 4)
