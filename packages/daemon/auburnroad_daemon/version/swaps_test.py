"""Tests of the plans for weight swaps."""

import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_daemon.version import swaps


class PlanTest(unittest.TestCase):
    """A rolling swap loads one replica while the others keep serving."""

    def build(self, *names, **changes):
        return [
            swaps.Swap(name, 'm', reported=1, ordered=1, up=True, **changes)
            for name in names
        ]

    def plan(self, name, current, version=2, now_ms=0):
        plan = swaps.SWAP_POLICIES.get(name)
        return [s.replica for s in plan(current, {'m': version}, now_ms)]

    def test_all_orders_every_replica_and_rolling_orders_one(self):
        self.assertEqual(['a', 'b'], self.plan('all', self.build('a', 'b')))
        current = self.build('a', 'b')
        current[0].running = 3
        self.assertEqual(['b'], self.plan('rolling', current))

    def test_rolling_waits_for_order_unless_replica_is_down(self):
        current = self.build('a', 'b')
        swaps.record_order(current[0], 2)
        self.assertEqual([], self.plan('rolling', current))
        current[0].up = False
        self.assertEqual(['b'], self.plan('rolling', current))

    def test_replica_with_failed_order_is_retried_after_backoff(self):
        current = self.build('a', 'b')
        swaps.record_order(current[0], 2)
        swaps.record_result(current[0], False, 1000)
        self.assertEqual(['b'], self.plan('rolling', current, now_ms=1001))
        self.assertEqual(['a', 'b'], self.plan('all', current, now_ms=2000))

    def test_version_reverted_by_old_order_is_ordered_again(self):
        current = self.build('a')
        current[0].ordered = 2
        self.assertEqual(['a'], self.plan('rolling', current))

    @hypothesis.seed(20261203)
    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5),
                strategies.integers(-1, 5),
                strategies.booleans(),
            )
        )
    )
    def test_ordered_versions_of_replica_never_decrease(self, history):
        swap = self.build('a')[0]
        announced = {'m': 1}
        ordered = []
        for now_ms, (version, reported, succeeded) in enumerate(history):
            announced['m'] = max(announced['m'], version)
            swap.reported = reported
            for due in swaps.plan_rolling([swap], announced, now_ms * 9000):
                ordered.append(announced['m'])
                swaps.record_order(due, announced['m'])
                swaps.record_result(due, succeeded, now_ms)
        self.assertEqual(sorted(ordered), ordered)
