"""Tests of the order in which waiting requests get slots."""

import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_daemon.request import ordering

CALLERS = ordering.CALLERS


class FairOrderTest(unittest.TestCase):
    """Callers have their reserve, trainers their share, groups get whole."""

    def wait(self, request_id, trainer, step=1, group='g', arrived_ms=0):
        return ordering.Waiting(request_id, trainer, step, group, arrived_ms)

    def choose(self, waiting, running=None, progress=None, reserved=2):
        view = ordering.View(
            waiting,
            running or {},
            {'a': 1, 'b': 3},
            progress or {},
            8,
            reserved,
        )
        chosen = ordering.order_fairly(view)
        return chosen and chosen.request_id

    def test_callers_go_first_within_their_reserve(self):
        waiting = [self.wait('s', 'a'), self.wait('c', CALLERS, arrived_ms=9)]
        self.assertEqual('c', self.choose(waiting, {CALLERS: 1, 'a': 1}))
        self.assertEqual('s', self.choose(waiting, {CALLERS: 2, 'a': 1}))

    def test_samples_leave_the_reserve_alone(self):
        waiting = [self.wait('s', 'a')]
        self.assertEqual('s', self.choose(waiting, {'a': 3, 'b': 2}))
        self.assertIsNone(self.choose(waiting, {'a': 3, 'b': 3}))

    def test_trainers_share_by_weight(self):
        waiting = [self.wait('a', 'a'), self.wait('b', 'b', arrived_ms=9)]
        self.assertEqual('b', self.choose(waiting, {'a': 1, 'b': 2}))
        self.assertEqual('a', self.choose(waiting, {'a': 1, 'b': 4}))

    def test_lowest_step_then_the_group_that_is_furthest(self):
        waiting = [
            self.wait('late', 'a', step=2, group='x'),
            self.wait('new', 'a', group='x'),
            self.wait('begun', 'a', group='y', arrived_ms=9),
        ]
        progress = {('a', 1, 'y'): 3, ('a', 1, 'x'): 1, ('a', 2, 'x'): 4}
        self.assertEqual('begun', self.choose(waiting, None, progress))

    @hypothesis.seed(20261203)
    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([CALLERS, 'a', 'b']), max_size=12
        ),
        strategies.dictionaries(
            strategies.sampled_from([CALLERS, 'a', 'b']),
            strategies.integers(0, 4),
        ),
        strategies.integers(0, 3),
    )
    def test_a_slot_stays_free_only_for_callers(
        self, trainers, running, reserved
    ):
        waiting = [
            self.wait(str(index), trainer)
            for index, trainer in enumerate(trainers)
        ]
        chosen = self.choose(waiting, running, reserved=reserved)
        samples = running.get('a', 0) + running.get('b', 0)
        if chosen is None and waiting:
            self.assertNotIn(CALLERS, trainers)
            self.assertGreaterEqual(samples, 8 - reserved)


class ReservedTest(unittest.TestCase):
    """A reserve never takes the last slot from samples."""

    def test_share_of_slots(self):
        self.assertEqual(2, ordering.count_reserved(8, 0.25))
        self.assertEqual(0, ordering.count_reserved(2, 0.25))
        self.assertEqual(0, ordering.count_reserved(1, 1.0))
