"""Tests of the exchange of slow replicas among models.

The load: 21 replicas of which each third one takes 1.3 times as long, shared
by three trainers with long texts and one with short texts. Steps with long
texts were late whenever their model had three slow replicas of five.
"""

import collections
import itertools
import unittest

from auburnroad_gateway.directory import pace
from auburnroad_gateway.directory import placement_test
from auburnroad_gateway.weights import speed_assignment

NOW = 100.0
TEXT_TOKENS = {'a': 1500.0, 'b': 1500.0, 'c': 1500.0, 'short': 600.0}


def build_replicas(count=21):
    """Build replicas of which each third one is slow."""
    replicas = []
    for number in range(count):
        target = placement_test.build_replica(f'r{number:02}')
        target.pace = pace.PaceEstimate()
        slowness = 1.3 if number % 3 == 2 else 1.0
        target.pace.note_slowness(slowness, NOW - 2.0)
        replicas.append(target)
    return replicas


class ImproveTest(unittest.TestCase):
    """Replicas that are assigned without regard to their speed."""

    def setUp(self):
        self.replicas = build_replicas()
        models = ['a'] * 6 + ['b'] * 6 + ['c'] * 6 + ['short'] * 3
        self.assigned = {
            target.id: model
            for target, model in zip(self.replicas, models, strict=True)
        }

    def improve(self, times, text_tokens=TEXT_TOKENS):
        changes = 0
        for _ in range(times):
            before = dict(self.assigned)
            speed_assignment.improve(
                self.assigned, self.replicas, text_tokens, NOW
            )
            changes += before != self.assigned
        return changes

    def count_slow(self):
        slow = {target.id for target in self.replicas[2::3]}
        return collections.Counter(
            model for name, model in self.assigned.items() if name in slow
        )

    def test_model_with_short_texts_gets_the_slow_replicas(self):
        self.improve(20)
        self.assertEqual(3, self.count_slow()['short'])

    def test_models_with_long_texts_share_the_others_evenly(self):
        self.improve(20)
        counts = [self.count_slow()[model] for model in ('a', 'b', 'c')]
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_each_model_keeps_its_number_of_replicas(self):
        before = collections.Counter(self.assigned.values())
        self.improve(20)
        self.assertEqual(before, collections.Counter(self.assigned.values()))

    def test_assignment_settles(self):
        """Guards against loads for exchanges that never end."""
        self.improve(20)
        self.assertEqual(0, self.improve(5))

    def test_assignment_settles_for_any_lengths_and_start(self):
        """Guards against exchanges that go round in a circle.

        'a' and 'b' have similar lengths, and so have 'b' and 'c', but not 'a'
        and 'c'.
        """
        lengths = {'a': 1000.0, 'b': 900.0, 'c': 700.0}
        self.replicas = build_replicas(12)
        for models in itertools.permutations('abc'):
            for start in range(3):
                names = [models[0]] * 4 + [models[1]] * 4 + [models[2]] * 4
                names = names[start:] + names[:start]
                self.assigned = {
                    target.id: model
                    for target, model in zip(
                        self.replicas[2::3]
                        + self.replicas[0::3]
                        + self.replicas[1::3],
                        names,
                        strict=True,
                    )
                }
                self.improve(20, lengths)
                self.assertEqual(0, self.improve(5, lengths), names)

    def test_one_exchange_is_made_at_a_time(self):
        before = dict(self.assigned)
        self.improve(1)
        changed = [
            name for name in before if before[name] != self.assigned[name]
        ]
        self.assertEqual(2, len(changed))

    def test_replicas_that_state_no_slowness_keep_their_models(self):
        for target in self.replicas:
            target.pace = None
        self.assertEqual(0, self.improve(5))

    def test_models_without_a_batch_keep_their_replicas(self):
        self.assertEqual(0, self.improve(5, {}))
