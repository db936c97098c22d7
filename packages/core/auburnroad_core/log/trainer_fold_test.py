"""Tests the trainer fold with stale owners, copies and carried groups.

An owner that was paused, or a retried append, writes records that belong to
an earlier state. They must not deliver a group twice.
"""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from auburnroad_core.log import records
from auburnroad_core.log import trainer_fold
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

EFFECTIVE = verdict.Verdict.EFFECTIVE
CONFLICT = verdict.Verdict.CONFLICT
DUPLICATE = verdict.Verdict.DUPLICATE
INVALID = verdict.Verdict.INVALID


class Log:
    """An in-memory stream with the state folded from it."""

    def __init__(self, state=None):
        self.state = state or trainer_fold.State()
        self.entries = []

    def append(self, record, record_id=''):
        offset = len(self.entries)
        data = msgspec.Raw(msgspec.json.encode(record))
        entry = records.Entry(offset, record_id or f'id-{offset}', data)
        self.entries.append(entry)
        self.state, outcome = trainer_fold.fold(self.state, entry)
        return outcome

    def claim(self, owner='e1', supersedes=-1):
        return self.append(records.Claim('t', owner, 'i', supersedes))

    def seal(self, step, claim, groups, generation=0, carried=(), id_=''):
        seal = records.Seal(
            't', step, generation, claim, 1, groups, 'd', list(carried)
        )
        return self.append(seal, id_)

    def void(self, step, claim, generation=0):
        return self.append(records.Void('t', step, generation, claim))


class ClaimTest(unittest.TestCase):
    """Only the newest claim owns a trainer."""

    def test_one_of_two_racing_claims_takes_effect(self):
        log = Log()
        self.assertEqual(log.claim('e1'), EFFECTIVE)
        self.assertEqual(log.claim('e2'), CONFLICT)
        self.assertEqual(log.claim('e2', 0), EFFECTIVE)
        self.assertEqual(log.state.find_trainer('t').owner, 'e2')
        self.assertEqual(log.state.find_trainer('t').claim, 2)

    def test_paused_owner_that_resumes_seals_and_voids_nothing(self):
        log = Log()
        log.claim('e1')
        log.seal(1, 0, ['a'])
        log.claim('e2', 0)
        self.assertEqual(log.seal(2, 0, ['a']), CONFLICT)
        self.assertEqual(log.void(1, 0), CONFLICT)
        self.assertEqual(log.seal(2, 2, ['a']), EFFECTIVE)


class SealTest(unittest.TestCase):
    """A step is sealed once, and a group is in one seal in force."""

    def setUp(self):
        self.log = Log()
        self.log.claim()

    def test_copy_of_a_seal_has_no_effect(self):
        self.assertEqual(self.log.seal(1, 0, ['a'], id_='x'), EFFECTIVE)
        self.assertEqual(self.log.seal(1, 0, ['a'], id_='x'), DUPLICATE)
        self.assertEqual(self.log.seal(1, 0, ['b']), CONFLICT)
        self.assertEqual(self.log.state.trainers['t'].sealed[1].offset, 1)

    def test_step_below_the_newest_cannot_be_sealed(self):
        self.log.seal(5, 0, ['a'])
        self.assertEqual(self.log.seal(4, 0, ['a']), CONFLICT)
        self.assertEqual(self.log.seal(6, 0, ['a']), EFFECTIVE)

    def test_carried_group_is_counted_once(self):
        self.log.seal(1, 0, ['a', 'b'])
        self.assertEqual(self.log.seal(2, 0, ['a'], 0, ['1/a']), CONFLICT)
        self.assertEqual(
            self.log.seal(2, 0, ['a', 'late'], 0, ['1/late']), EFFECTIVE
        )
        self.assertEqual(
            self.log.seal(3, 0, ['late'], 0, ['1/late']), CONFLICT
        )

    def test_carried_group_conflicts_for_carry_steps_after_its_step(self):
        self.log.seal(1, 0, ['a'])
        self.log.seal(2, 0, ['late'], 0, ['1/late'])
        last = 1 + trainer_fold.MAX_CARRY_STEPS
        for step in range(3, last):
            self.log.seal(step, 0, ['a'])
        self.assertEqual(
            self.log.seal(last, 0, ['late'], 0, ['1/late']), CONFLICT
        )
        self.assertEqual(self.log.seal(last, 0, ['a'], 0, ['1/a']), CONFLICT)

    def test_repeated_and_too_old_groups_are_invalid(self):
        self.assertEqual(self.log.seal(9, 0, ['a', 'a']), INVALID)
        too_far = f'{9 - trainer_fold.MAX_CARRY_STEPS - 1}/a'
        self.assertEqual(self.log.seal(9, 0, ['a'], 0, [too_far]), INVALID)
        self.assertEqual(self.log.seal(9, 0, ['a'], 0, ['x/a']), INVALID)


class VoidTest(unittest.TestCase):
    """Only the newest step can be voided, and only its own generation."""

    def test_void_releases_the_groups_for_the_next_generation(self):
        log = Log()
        log.claim()
        log.seal(2, 0, ['a', 'late'], 0, ['1/late'])
        self.assertEqual(log.void(2, 0), EFFECTIVE)
        self.assertEqual(log.void(2, 0), CONFLICT)
        self.assertEqual(log.seal(2, 0, ['a']), CONFLICT)
        self.assertEqual(
            log.seal(2, 0, ['a', 'late'], 1, ['1/late']), EFFECTIVE
        )

    def test_step_below_the_newest_cannot_be_voided(self):
        log = Log()
        log.claim()
        log.seal(1, 0, ['a'])
        log.seal(2, 0, ['a'])
        self.assertEqual(log.void(1, 0), CONFLICT)
        log.void(2, 0)
        self.assertEqual(log.void(1, 0), CONFLICT)

    def test_late_copy_of_a_void_does_not_affect_the_next_generation(self):
        log = Log()
        log.claim()
        log.seal(1, 0, ['a'])
        log.void(1, 0)
        log.seal(1, 0, ['a'], 1)
        self.assertEqual(log.void(1, 0), CONFLICT)
        self.assertEqual(log.state.trainers['t'].sealed[1].generation, 1)


CLAIMS = strategies.tuples(
    strategies.just('claim'),
    strategies.sampled_from(['e1', 'e2']),
    # Difference between the offset of the current claim and the superseded
    # offset.
    strategies.sampled_from([0, 0, 1]),
)
SEALS = strategies.tuples(
    strategies.just('seal'),
    # Step relative to the newest one, generation relative to the current one.
    strategies.sampled_from([0, 1, 1, 1, 2, -1]),
    strategies.sampled_from([0, 0, 0, 1, -1]),
    strategies.lists(strategies.sampled_from('abc'), max_size=2, unique=True),
    # Age in steps and name of each carried group.
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, trainer_fold.MAX_CARRY_STEPS + 1),
            strategies.sampled_from('abc'),
        ),
        max_size=2,
    ),
)
VOIDS = strategies.tuples(
    strategies.just('void'),
    strategies.sampled_from([0, 0, 0, -1]),
    strategies.sampled_from([0, 0, -1]),
)


def build_record(log, kind, details):
    """Build an effective record, or a record that differs from it slightly.

    The numbers in `details` are relative to the values of the state.
    """
    trainer = log.state.find_trainer('t')
    if kind == 'claim':
        owner, age = details
        return records.Claim('t', owner, 'i', trainer.claim - age)
    step = max(0, trainer.newest_step + details[0])
    generation = trainer.find_generation(step) + details[1]
    if kind == 'void':
        return records.Void('t', step, generation, trainer.claim)
    own, carried = details[2:]
    names = own + [name for _, name in carried]
    identities = [
        f'{max(0, step - group_age)}/{name}' for group_age, name in carried
    ]
    return records.Seal(
        't', step, generation, trainer.claim, 1, names, 'd', identities
    )


def append_drawn(log, drawn):
    """Append records; some are copies of earlier records."""
    written = []
    for (kind, *details), late in drawn:
        record_id = ''
        if late and written:
            # An earlier record, as from a writer that was paused or retries.
            record, record_id = written[-1 - late % len(written)]
        else:
            record = build_record(log, kind, details)
        outcome = log.append(record, record_id)
        written.append((record, log.entries[-1].record_id))
        yield record, outcome


DRAWN_RECORDS = strategies.lists(
    strategies.tuples(
        strategies.one_of(CLAIMS, SEALS, SEALS, SEALS, VOIDS),
        strategies.sampled_from([0, 0, 0, 1, 2, 3]),
    ),
    min_size=8,
    max_size=30,
)


class InterleavingTest(unittest.TestCase):
    """Rules of the fold hold for any order of records and copies."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(DRAWN_RECORDS)
    def test_each_group_is_in_one_seal_in_force(self, drawn):
        log = Log()
        # Every seal in force, tracked independently of the folded state.
        in_force = {}
        claim = -1
        for record, outcome in append_drawn(log, drawn):
            if outcome != EFFECTIVE:
                continue
            if isinstance(record, records.Claim):
                self.assertEqual(record.supersedes, claim)
                claim = log.state.applied
                continue
            self.assertEqual(record.claim, claim)
            if isinstance(record, records.Void):
                del in_force[record.step]
                continue
            self.assertNotIn(record.step, in_force)
            in_force[record.step] = trainer_fold.list_group_ids(
                record.step, record.groups, record.carried
            )
            counted = [name for names in in_force.values() for name in names]
            self.assertEqual(len(counted), len(set(counted)))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(DRAWN_RECORDS, strategies.data())
    def test_reader_after_truncation_ends_in_the_same_state(self, drawn, data):
        log = Log()
        lag = data.draw(strategies.integers(0, 4))
        at = data.draw(strategies.integers(0, len(drawn)))
        for _ in append_drawn(log, drawn[:at]):
            pass
        checkpoint = trainer_fold.build_checkpoint(log.state, 5, 0)
        # Records between the state and its checkpoint.
        for _ in append_drawn(log, drawn[at : at + lag]):
            pass
        self.assertEqual(log.append(checkpoint), EFFECTIVE)
        log.append(checkpoint)
        for _ in append_drawn(log, drawn[at + lag :]):
            pass
        first = data.draw(strategies.integers(0, checkpoint.covers + 1))
        batch = log_service.Batch(first, len(log.entries), log.entries[first:])
        state = trainer_fold.start(batch)
        for entry in log.entries[state.applied + 1 :]:
            state, _ = trainer_fold.fold(state, entry)
        self.assertEqual(state, log.state)


class StartTest(unittest.TestCase):
    """A checkpoint is usable only if all records after it are kept."""

    def test_truncated_log_without_usable_checkpoint_has_no_state(self):
        log = Log()
        log.claim()
        log.append(trainer_fold.build_checkpoint(log.state, 5, 0))
        log.claim('e2', 0)
        batch = log_service.Batch(2, 3, log.entries[2:])
        self.assertIsNone(trainer_fold.start(batch))
        # The record at offset 1 has expired, and the checkpoint covers 0.
        late = log_service.Batch(2, 3, log.entries[1:])
        self.assertIsNone(trainer_fold.start(late))
