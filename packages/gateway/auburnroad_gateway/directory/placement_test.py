"""Tests the choice of a replica for requests and batch items.

Guards against placing items on slow, loading, outdated or full replicas, which
delays the completion of a training step.
"""

import unittest

from auburnroad_gateway.directory import placement
from auburnroad_gateway.directory import replica
from auburnroad_gateway.model import registration

NOW = 100.0


def build_replica(name, slots=4, domain='a', version=1):
    return replica.Replica(
        registration.Registration(
            name,
            's',
            f'{name}:1',
            domain,
            slots,
            registration.ReplicaState.READY,
            versions={'m': version},
        )
    )


def set_pace(target, pace_ms):
    for _ in range(60):
        target.note_pace(pace_ms, NOW)


class ChooseForItemTest(unittest.TestCase):
    """Replicas with free slots and different paces, loads or memory."""

    def setUp(self):
        self.one = build_replica('one')
        self.two = build_replica('two')

    def choose(self, **fields):
        need = placement.Need('m', 1, **fields)
        return placement.choose_for_item([self.one, self.two], 'a', need, NOW)

    def test_faster_replica_is_chosen_until_it_is_full(self):
        set_pace(self.one, 50.0)
        set_pace(self.two, 38.0)
        self.assertIs(self.two, self.choose())
        self.two.in_flight = 4
        self.assertIs(self.one, self.choose())

    def test_equal_replicas_are_filled_evenly(self):
        self.one.in_flight = 1
        self.assertIs(self.two, self.choose())

    def test_no_replica_is_chosen_when_all_are_full(self):
        self.one.in_flight = self.two.in_flight = 4
        self.assertIsNone(self.choose())

    def test_loading_replica_is_not_chosen(self):
        self.two.in_flight = 3
        self.one.loading_until = NOW + 1
        self.assertIs(self.two, self.choose())

    def test_replica_with_old_weights_is_not_chosen(self):
        self.one.versions['m'] = 0
        self.two.in_flight = 3
        self.assertIs(self.two, self.choose())

    def test_replica_without_enough_memory_is_not_chosen(self):
        self.one.in_flight, self.one.tokens = 1, 900
        self.two.in_flight, self.two.tokens = 2, 100
        chosen = self.choose(tokens=300, memory_tokens=1000)
        self.assertIs(self.two, chosen)

    def test_long_runs_are_spread_over_replicas(self):
        """Guards against long runs that exhaust the memory of one replica.

        Long runs fill their memory only at their end.
        """
        self.one.in_flight, self.one.final_tokens = 1, 800
        self.two.in_flight, self.two.final_tokens = 2, 300
        chosen = self.choose(final_tokens=500, memory_tokens=1000)
        self.assertIs(self.two, chosen)

    def test_expected_memory_use_does_not_leave_slots_free(self):
        for target in (self.one, self.two):
            target.in_flight = 2
            target.tokens, target.final_tokens = 300, 900
        chosen = self.choose(tokens=100, final_tokens=500, memory_tokens=1000)
        self.assertIsNotNone(chosen)

    def test_replica_far_slower_than_the_median_gets_no_item(self):
        """Guards against items on the slow replicas of a mixed service.

        A fifth of the replicas may be four times as slow as the others.
        """
        set_pace(self.one, 200.0)
        set_pace(self.two, 50.0)
        self.two.in_flight = 4
        self.assertIsNone(self.choose())
        self.two.in_flight = 3
        self.assertIs(self.two, self.choose())

    def test_slow_replica_is_chosen_if_no_other_is_eligible(self):
        """Two models have one replica each, and the replica of one is slow."""
        set_pace(self.one, 200.0)
        set_pace(self.two, 50.0)
        self.two.versions['m'] = 0
        self.assertIs(self.one, self.choose())

    def test_pace_expires_without_runs(self):
        set_pace(self.one, 200.0)
        later = NOW + replica.PACE_TTL_SECONDS + 1
        self.assertEqual(0.0, self.one.find_pace(later))

    def test_event_gap_of_a_pause_does_not_change_the_pace(self):
        set_pace(self.one, 40.0)
        self.one.note_pace(1200.0, NOW)
        self.assertAlmostEqual(40.0, self.one.find_pace(NOW))


class ChooseReplicaTest(unittest.TestCase):
    """Single requests with two replicas in different failure domains."""

    def setUp(self):
        self.near = build_replica('near')
        self.far = build_replica('far', domain='b')

    def choose(self, avoided=frozenset()):
        return placement.choose_replica(
            [self.far, self.near], 'a', NOW, avoided
        )

    def test_local_replica_is_preferred_at_equal_load(self):
        self.assertIs(self.near, self.choose())

    def test_idle_remote_replica_is_preferred_to_loaded_local_one(self):
        self.near.in_flight = 2
        self.assertIs(self.far, self.choose())

    def test_remote_replica_is_preferred_to_local_one_after_a_failure(self):
        self.near.note_failure(NOW)
        self.assertIs(self.far, self.choose())

    def test_failed_replica_is_chosen_if_no_other_is_left(self):
        self.near.note_failure(NOW)
        self.assertIs(self.near, self.choose({'far'}))
        self.assertIsNone(self.choose({'far', 'near'}))
