"""Tests how replicas are divided among trainers that share them.

Pattern: more loads than replicas could do if each followed every model.
"""

import collections
import unittest

from auburnroad_gateway.directory import placement_test
from auburnroad_gateway.weights import homes

MODELS = ('a', 'b', 'c')


def build_replicas(count):
    return [
        placement_test.build_replica(f'r{number:02}')
        for number in range(count)
    ]


class AssignHomesTest(unittest.TestCase):
    """Twenty-five replicas and three models."""

    def setUp(self):
        self.replicas = build_replicas(25)

    def assign(self, replicas=None, known=None, named=None):
        return homes.assign_homes(
            self.replicas if replicas is None else replicas,
            MODELS,
            named or {},
            known or {},
        )

    def count(self, assigned):
        return sorted(collections.Counter(assigned.values()).values())

    def test_shares_are_equal(self):
        self.assertEqual([8, 8, 9], self.count(self.assign()))

    def test_one_model_has_all(self):
        assigned = homes.assign_homes(self.replicas, ('a',), {}, {})
        self.assertEqual({'a'}, set(assigned.values()))
        self.assertEqual(25, len(assigned))

    def test_nothing_to_divide_is_nothing(self):
        self.assertEqual({}, self.assign([]))
        self.assertEqual({}, homes.assign_homes(self.replicas, (), {}, {}))

    def test_replicas_keep_their_homes(self):
        before = self.assign()
        after = self.assign(self.replicas[:-1], before)
        moved = [key for key in after if after[key] != before[key]]
        self.assertEqual([], moved)

    def test_a_lost_share_is_made_up_by_few(self):
        before = self.assign()
        left = [entry for entry in self.replicas if before[entry.id] != 'a']
        after = self.assign(left, before)
        self.assertEqual([5, 5, 6], self.count(after))
        moved = [key for key in after if after[key] != before[key]]
        self.assertEqual(
            set(moved), {key for key in after if after[key] == 'a'}
        )

    def test_a_new_holder_finds_homes_by_what_is_loaded(self):
        before = self.assign()
        for entry in self.replicas:
            entry.versions = {'a': 1, 'b': 1, 'c': 1, before[entry.id]: 9}
        after = self.assign(named={'a': 9, 'b': 9, 'c': 9})
        self.assertEqual(before, after)
