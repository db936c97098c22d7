"""Tests of ledgers, of their changes and of their copies."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from auburnroad_core import types
from auburnroad_daemon.version import copies
from auburnroad_daemon.version import ledger as ledgers


def build_sample(index, version, attempt=1):
    spans = [types.VersionSpan(version, 0, 4)]
    return ledgers.Sample(index, 'text', spans, attempt, 'r1', f'id{attempt}')


def build_ledger(steps, groups, samples, version=5):
    ledger = ledgers.Ledger('t1', version)
    for step in range(steps):
        prompts = [ledgers.Prompt(f'g{i}', f'p{i}') for i in range(groups)]
        ledgers.apply(ledgers.AddGroups(step, 0, prompts), ledger)
        for i in range(groups):
            for index in range(samples):
                change = ledgers.AddSample(
                    f'{step}/g{i}', build_sample(index, version)
                )
                ledgers.apply(change, ledger)
    return ledger


class ApplyTest(unittest.TestCase):
    """A repeated or late change must not alter a ledger."""

    def test_first_complete_attempt_is_kept(self):
        ledger = build_ledger(1, 1, 1)
        again = ledgers.AddSample('0/g0', build_sample(0, 6, attempt=2))
        ledgers.apply(again, ledger)
        self.assertEqual(1, ledger.groups['0/g0'].samples[0].attempt)

    def test_repeated_submission_is_ignored(self):
        ledger = build_ledger(1, 2, 1)
        change = ledgers.AddGroups(0, 0, [ledgers.Prompt('g0', 'p0')])
        self.assertEqual([], ledgers.find_new_prompts(ledger, change))
        ledgers.apply(change, ledger)
        self.assertEqual(1, len(ledger.groups['0/g0'].samples))

    def test_different_prompt_for_known_group_is_refused(self):
        ledger = build_ledger(1, 1, 1)
        change = ledgers.AddGroups(0, 0, [ledgers.Prompt('g0', 'other')])
        with self.assertRaises(ledgers.GroupDiffersError):
            ledgers.find_new_prompts(ledger, change)


class ChooseGroupsTest(unittest.TestCase):
    """A step consists of complete and fresh groups only."""

    def test_incomplete_group_is_not_chosen(self):
        ledger = build_ledger(1, 2, 2)
        ledgers.apply(ledgers.DropSamples('0/g1', [1]), ledger)
        self.assertIsNone(ledgers.choose_groups(ledger, 0, 0, 2, 1.0))
        chosen = ledgers.choose_groups(ledger, 0, 0, 2, 0.5)
        self.assertEqual(['0/g0'], [group.identity for group in chosen])

    def test_groups_of_earlier_steps_come_first(self):
        ledger = build_ledger(2, 2, 2)
        ledgers.apply(ledgers.FinishStep(0, ['0/g0']), ledger)
        chosen = ledgers.choose_groups(ledger, 1, 0, 2, 1.0)
        self.assertEqual(
            ['0/g1', '1/g0'], [group.identity for group in chosen]
        )
        sealed = ledgers.build_sealed_step(ledger, 1, 0, 5, chosen)
        self.assertEqual(['0/g1'], sealed.carried)
        self.assertEqual(['0/g1', 'g0'], sealed.groups)

    def test_samples_older_than_allowed_are_found(self):
        ledger = build_ledger(1, 1, 2, version=5)
        group = ledger.groups['0/g0']
        group.samples[1].spans.append(types.VersionSpan(4, 4, 8))
        self.assertEqual([1], ledgers.find_stale_samples(group, 5))


class CopyTest(unittest.TestCase):
    """A copy acknowledges a change only if it equals the owner's ledger.

    Changes may be lost, and a superseded owner may still send changes.
    """

    def send(self, store, claim, sequence, change):
        encoded = msgspec.msgpack.encode(change)
        return store.update(
            copies.messages.CopyUpdate('t1', claim, sequence, encoded)
        )

    def test_change_after_gap_is_not_acknowledged(self):
        store = copies.CopyStore()
        self.send(store, 1, 1, ledgers.ReplaceLedger(ledgers.Ledger('t1')))
        self.assertIsNone(self.send(store, 1, 3, ledgers.SetVersion(3)))
        self.assertIsNotNone(self.send(store, 1, 2, ledgers.SetVersion(2)))

    def test_change_of_superseded_owner_is_ignored(self):
        store = copies.CopyStore()
        self.send(store, 7, 1, ledgers.ReplaceLedger(ledgers.Ledger('t1', 4)))
        old = ledgers.ReplaceLedger(ledgers.Ledger('t1', 1))
        self.assertIsNone(self.send(store, 6, 1, old))
        self.assertIsNone(self.send(store, 6, 2, ledgers.SetVersion(9)))
        self.assertEqual(4, store.find('t1').ledger.version)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.builds(
                    ledgers.AddGroups,
                    strategies.integers(0, 2),
                    strategies.just(0),
                    strategies.just([ledgers.Prompt('g', 'p')]),
                ),
                strategies.builds(
                    lambda step, index, version: ledgers.AddSample(
                        f'{step}/g', build_sample(index, version)
                    ),
                    strategies.integers(0, 2),
                    strategies.integers(0, 1),
                    strategies.integers(0, 9),
                ),
                strategies.builds(
                    ledgers.SetVersion, strategies.integers(0, 9)
                ),
                strategies.builds(
                    lambda step: ledgers.FinishStep(step, [f'{step}/g']),
                    strategies.integers(0, 2),
                ),
            ),
            max_size=12,
        ),
        strategies.integers(0, 12),
    )
    def test_copy_started_at_any_change_equals_ledger(self, changes, start):
        ledger = ledgers.Ledger('t1')
        store = copies.CopyStore()
        sequence = 0
        for number, change in enumerate(changes):
            if number == start:
                sequence = 1
                self.send(store, 1, 1, ledgers.ReplaceLedger(ledger))
            ledgers.apply(change, ledger)
            if sequence:
                sequence += 1
                self.send(store, 1, sequence, change)
        if sequence:
            answer = store.build_answer(copies.messages.CopyRequest('q', 't1'))
            self.assertEqual(ledger, copies.choose_newest([answer]))
