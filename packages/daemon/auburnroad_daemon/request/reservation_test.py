"""Tests of the slots reserved for callers."""

import unittest

from auburnroad_daemon.request import reservation

WINDOW_MS = reservation.WINDOW_MS


class CallerDemandTest(unittest.TestCase):
    """Guards against reservations that outlast the demand of callers."""

    def test_peak_is_kept_for_the_next_window(self):
        demand = reservation.CallerDemand()
        self.assertEqual(demand.record_callers(3, 0), 3)
        self.assertEqual(demand.record_callers(0, WINDOW_MS), 3)
        self.assertEqual(demand.record_callers(0, 2 * WINDOW_MS), 0)

    def test_peak_is_dropped_after_an_empty_window(self):
        demand = reservation.CallerDemand()
        demand.record_callers(3, 0)
        self.assertEqual(demand.record_callers(1, 5 * WINDOW_MS), 1)


class CountReservedTest(unittest.TestCase):
    """Guards against idle reserved slots and long waits of callers."""

    def test_short_runs_without_callers_reserve_no_slot(self):
        self.assertEqual(reservation.count_reserved(4, 0, 16, 500.0), 0)

    def test_long_runs_reserve_one_spare_slot(self):
        self.assertEqual(reservation.count_reserved(4, 0, 16, 30_000.0), 1)
        self.assertEqual(reservation.count_reserved(4, 2, 16, 30_000.0), 3)

    def test_reservation_does_not_exceed_limit(self):
        self.assertEqual(reservation.count_reserved(4, 9, 16, 30_000.0), 4)
