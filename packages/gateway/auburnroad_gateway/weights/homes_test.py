"""Tests how replicas are divided among trainers that share them.

Pattern: more loads than replicas could do if each followed every model.
"""

import collections
import unittest

from auburnroad_gateway.directory import placement_test
from auburnroad_gateway.weights import homes

WORK = {'a': 1.0, 'b': 1.0, 'c': 1.0}


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
            WORK,
            named or {},
            known or {},
        )

    def count(self, assigned):
        return sorted(collections.Counter(assigned.values()).values())

    def test_shares_are_equal(self):
        self.assertEqual([8, 8, 9], self.count(self.assign()))

    def test_one_model_has_all(self):
        assigned = homes.assign_homes(self.replicas, {'a': 1.0}, {}, {})
        self.assertEqual({'a'}, set(assigned.values()))
        self.assertEqual(25, len(assigned))

    def test_nothing_to_divide_is_nothing(self):
        self.assertEqual({}, self.assign([]))
        self.assertEqual({}, homes.assign_homes(self.replicas, {}, {}, {}))

    def test_more_work_gets_more_replicas(self):
        shares = homes.share_out(25, {'a': 600.0, 'b': 300.0, 'c': 1.0})
        self.assertEqual({'a': 16, 'b': 8, 'c': 1}, shares)
        self.assertEqual(
            {'a': 1, 'b': 1}, homes.share_out(2, {'a': 9, 'b': 1})
        )

    def test_replicas_keep_their_homes(self):
        before = self.assign()
        after = self.assign(self.replicas[:-1], before)
        moved = [key for key in after if after[key] != before[key]]
        self.assertEqual([], moved)

    def test_a_lost_share_is_made_up_by_few(self):
        before = self.assign()
        left = [entry for entry in self.replicas if before[entry.id] != 'a']
        after = self.assign(left, before)
        shares = homes.share_out(len(left), WORK)
        counts = collections.Counter(after.values())
        for model, share in shares.items():
            self.assertLessEqual(counts[model], share + homes.KEEP_BEYOND)
        self.assertEqual(len(left), sum(counts.values()))
        # What two others keep beyond their shares is all that 'a' lacks.
        others = len(WORK) - 1
        self.assertGreaterEqual(
            counts['a'], shares['a'] - others * homes.KEEP_BEYOND
        )
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
