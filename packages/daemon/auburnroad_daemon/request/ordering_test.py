"""Tests of the policies that order waiting requests."""

import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_daemon.request import ordering

CALLERS = ordering.CALLERS


class FairOrderTest(unittest.TestCase):
    """Guards against unfair slot use and against unused free slots.

    Callers have priority within their reservation, trainers share slots by
    weight, and started groups are completed first.
    """

    def build_request(
        self, request_id, trainer, step=1, group='g', arrived_ms=0
    ):
        return ordering.WaitingRequest(
            request_id, trainer, step, group, arrived_ms
        )

    def choose(self, waiting, running=None, progress=None, reserved=2):
        view = ordering.QueueView(
            waiting,
            running or {},
            {'a': 1, 'b': 3},
            progress or {},
            8,
            reserved,
        )
        chosen = ordering.choose_by_fair_share(view)
        return chosen and chosen.request_id

    def test_callers_have_priority_within_their_reservation(self):
        waiting = [
            self.build_request('s', 'a'),
            self.build_request('c', CALLERS, arrived_ms=9),
        ]
        self.assertEqual('c', self.choose(waiting, {CALLERS: 1, 'a': 1}))
        self.assertEqual('s', self.choose(waiting, {CALLERS: 2, 'a': 1}))

    def test_samples_do_not_use_reserved_slots(self):
        waiting = [self.build_request('s', 'a')]
        self.assertEqual('s', self.choose(waiting, {'a': 3, 'b': 2}))
        self.assertIsNone(self.choose(waiting, {'a': 3, 'b': 3}))

    def test_trainers_share_slots_by_weight(self):
        waiting = [
            self.build_request('a', 'a'),
            self.build_request('b', 'b', arrived_ms=9),
        ]
        self.assertEqual('b', self.choose(waiting, {'a': 1, 'b': 2}))
        self.assertEqual('a', self.choose(waiting, {'a': 1, 'b': 4}))

    def test_lowest_step_and_most_started_group_come_first(self):
        waiting = [
            self.build_request('late', 'a', step=2, group='x'),
            self.build_request('new', 'a', group='x'),
            self.build_request('begun', 'a', group='y', arrived_ms=9),
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
    def test_slot_stays_free_only_if_reserved(
        self, trainers, running, reserved
    ):
        waiting = [
            self.build_request(str(index), trainer)
            for index, trainer in enumerate(trainers)
        ]
        chosen = self.choose(waiting, running, reserved=reserved)
        samples = running.get('a', 0) + running.get('b', 0)
        if chosen is None and waiting:
            self.assertNotIn(CALLERS, trainers)
            self.assertGreaterEqual(samples, 8 - reserved)


class ReservedTest(unittest.TestCase):
    """Guards against a reservation that leaves no slot for samples."""

    def test_reservable_slots_are_a_fraction_rounded_down(self):
        self.assertEqual(2, ordering.count_reservable(8, 0.25))
        self.assertEqual(0, ordering.count_reservable(2, 0.25))
        self.assertEqual(0, ordering.count_reservable(1, 1.0))
