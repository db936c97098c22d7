"""Tests which replica is chosen, on data alone."""

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


def set_pace(entry, pace_ms):
    for _ in range(60):
        entry.note_pace(pace_ms, NOW)


class ChooseForItemTest(unittest.TestCase):
    """Pattern: replicas of unequal pace with free slots."""

    def setUp(self):
        self.one = build_replica('one')
        self.two = build_replica('two')

    def choose(self, **fields):
        need = placement.Need('m', 1, **fields)
        return placement.choose_for_item([self.one, self.two], 'a', need, NOW)

    def test_the_faster_one_goes_first_until_it_is_full(self):
        set_pace(self.one, 50.0)
        set_pace(self.two, 38.0)
        self.assertIs(self.two, self.choose())
        self.two.in_flight = 4
        self.assertIs(self.one, self.choose())

    def test_equal_ones_are_filled_evenly(self):
        self.one.in_flight = 1
        self.assertIs(self.two, self.choose())

    def test_nothing_is_chosen_when_all_are_full(self):
        self.one.in_flight = self.two.in_flight = 4
        self.assertIsNone(self.choose())

    def test_one_that_loads_is_passed_over(self):
        self.two.in_flight = 3
        self.one.loading_until = NOW + 1
        self.assertIs(self.two, self.choose())

    def test_old_weights_are_passed_over(self):
        self.one.versions['m'] = 0
        self.two.in_flight = 3
        self.assertIs(self.two, self.choose())

    def test_memory_bounds_what_is_placed(self):
        self.one.in_flight, self.one.tokens = 1, 900
        self.two.in_flight, self.two.tokens = 2, 100
        chosen = self.choose(tokens=300, memory_tokens=1000)
        self.assertIs(self.two, chosen)

    def test_long_runs_go_apart_as_long_as_there_is_a_choice(self):
        """Pattern: long runs that fill their memory only at their end."""
        self.one.in_flight, self.one.final_tokens = 1, 800
        self.two.in_flight, self.two.final_tokens = 2, 300
        chosen = self.choose(final_tokens=500, memory_tokens=1000)
        self.assertIs(self.two, chosen)

    def test_no_slot_is_left_free_for_memory_that_is_filled_late(self):
        for entry in (self.one, self.two):
            entry.in_flight = 2
            entry.tokens, entry.final_tokens = 300, 900
        chosen = self.choose(tokens=100, final_tokens=500, memory_tokens=1000)
        self.assertIsNotNone(chosen)

    def test_one_that_crawls_gets_nothing(self):
        """Pattern: a fifth of the replicas four times as slow."""
        set_pace(self.one, 200.0)
        set_pace(self.two, 50.0)
        self.two.in_flight = 4
        self.assertIsNone(self.choose())
        self.two.in_flight = 3
        self.assertIs(self.two, self.choose())

    def test_the_only_one_for_an_item_is_taken_though_it_crawls(self):
        """Pattern: two models with a replica each, one of them slow."""
        set_pace(self.one, 200.0)
        set_pace(self.two, 50.0)
        self.two.versions['m'] = 0
        self.assertIs(self.one, self.choose())

    def test_an_old_pace_says_nothing(self):
        set_pace(self.one, 200.0)
        later = NOW + replica.PACE_LIFE_SECONDS + 1
        self.assertEqual(0.0, self.one.find_pace(later))

    def test_a_pause_is_not_taken_for_the_pace(self):
        set_pace(self.one, 40.0)
        self.one.note_pace(1200.0, NOW)
        self.assertAlmostEqual(40.0, self.one.find_pace(NOW))


class ChooseReplicaTest(unittest.TestCase):
    """Pattern: requests that are answered at once."""

    def setUp(self):
        self.near = build_replica('near')
        self.far = build_replica('far', domain='b')

    def choose(self, avoided=frozenset()):
        return placement.choose_replica(
            [self.far, self.near], 'a', NOW, avoided
        )

    def test_a_near_one_goes_first_among_equals(self):
        self.assertIs(self.near, self.choose())

    def test_a_free_one_goes_before_a_near_one(self):
        self.near.in_flight = 2
        self.assertIs(self.far, self.choose())

    def test_one_that_has_failed_is_passed_over_for_a_while(self):
        self.near.note_failure(NOW)
        self.assertIs(self.far, self.choose())

    def test_failed_ones_are_better_than_none(self):
        self.near.note_failure(NOW)
        self.assertIs(self.near, self.choose({'far'}))
        self.assertIsNone(self.choose({'far', 'near'}))
