"""Tests that a seed names a run of the soak."""

import unittest

from auburnroad_e2e.soak import faults
from auburnroad_e2e.soak import regressions
from auburnroad_e2e.soak import schedule

SECONDS = 12.0


def draw(seed, **fields):
    return schedule.draw(seed, SECONDS, faults.KINDS.names, **fields)


class DrawTest(unittest.TestCase):
    """Schedules of some seeds."""

    def test_a_seed_gives_the_same_run_each_time(self):
        self.assertEqual(draw(7), draw(7))
        self.assertNotEqual(draw(7), draw(8))

    def test_faults_begin_in_order_and_within_the_run(self):
        for seed in range(20):
            starts = [fault.at for fault in draw(seed).faults]
            self.assertEqual(sorted(starts), starts)
            self.assertTrue(all(start <= SECONDS for start in starts))

    def test_every_kind_comes_in_some_run(self):
        drawn = {
            fault.kind for seed in range(60) for fault in draw(seed).faults
        }
        self.assertEqual(set(faults.KINDS.names), drawn)

    def test_faults_of_accounts_leave_the_others_of_a_seed_alone(self):
        """A seed that once failed must go on to name the same run."""
        kinds = [
            kind
            for kind in faults.KINDS.names
            if kind not in schedule.KEY_KINDS
        ]
        for seed in range(20):
            without = schedule.draw(seed, SECONDS, kinds)
            self.assertFalse(without.has_accounts)
            others = [
                fault for fault in draw(seed).faults if fault.kind in kinds
            ]
            fewer = [
                kind for kind in kinds if kind not in schedule.RELEASE_KINDS
            ]
            self.assertEqual(
                schedule.draw(seed, SECONDS, fewer).faults,
                tuple(
                    fault
                    for fault in others
                    if fault.kind not in schedule.RELEASE_KINDS
                ),
            )
            self.assertEqual(list(without.faults), others)
            self.assertEqual(seed % 3 != 0, draw(seed).has_accounts)

    def test_the_number_of_gateways_can_be_given(self):
        self.assertEqual(4, draw(7, gateways=4).gateways)

    def test_regressions_can_be_drawn(self):
        self.assertEqual(
            len(regressions.CASES) + 3, len(regressions.list_schedules())
        )
