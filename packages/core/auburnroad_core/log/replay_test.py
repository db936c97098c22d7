"""Tests the replay of streams whose oldest records have expired.

A reader that missed expired records must continue from a checkpoint, and must
not report itself as caught up before it has found a checkpoint.
"""

import unittest

import msgspec

from auburnroad_core.log import records
from auburnroad_core.log import replay
from auburnroad_core.log import trainer_fold
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service


def build_entry(offset, record):
    data = msgspec.Raw(msgspec.json.encode(record))
    return records.Entry(offset, f'id-{offset}', data)


def build_claims(count):
    return [
        build_entry(offset, records.Claim('t', f'e{offset}', 'i', offset - 1))
        for offset in range(count)
    ]


def build_batch(entries, first, offset, limit=1000):
    kept = [e for e in entries if e.offset >= max(first, offset)][:limit]
    return log_service.Batch(first, len(entries), kept)


def read_to_end(reader, entries, first, limit):
    for _ in range(len(entries) + 2):
        reader.fold_batch(
            build_batch(entries, first, reader.next_offset, limit)
        )


class ReplayTest(unittest.TestCase):
    """Replays from any offset and with any batch size end in one state."""

    def setUp(self):
        self.entries = build_claims(6)
        complete_replay = replay.Replay(trainer_fold)
        complete_replay.fold_batch(build_batch(self.entries[:4], 0, 0))
        checkpoint = trainer_fold.build_checkpoint(complete_replay.state, 9, 0)
        self.entries.append(build_entry(6, checkpoint))
        self.complete_replay = replay.Replay(trainer_fold)
        self.complete_replay.fold_batch(build_batch(self.entries, 0, 0))

    def test_checkpoint_in_a_later_batch_is_found(self):
        for limit in (1, 2, 3, 100):
            reader = replay.Replay(trainer_fold)
            read_to_end(reader, self.entries, 3, limit)
            self.assertTrue(reader.caught_up)
            self.assertEqual(reader.state, self.complete_replay.state)

    def test_reader_that_missed_expired_records_uses_a_checkpoint(self):
        reader = replay.Replay(trainer_fold)
        reader.fold_batch(build_batch(self.entries[:2], 0, 0))
        self.assertTrue(reader.caught_up)
        reader.fold_batch(build_batch(self.entries, 4, reader.next_offset))
        read_to_end(reader, self.entries, 4, 2)
        self.assertEqual(reader.state, self.complete_replay.state)

    def test_state_without_a_checkpoint_is_kept_but_not_caught_up(self):
        reader = replay.Replay(trainer_fold)
        reader.fold_batch(build_batch(self.entries[:2], 0, 0))
        read_to_end(reader, self.entries[:6], 4, 2)
        self.assertFalse(reader.caught_up)
        self.assertEqual(reader.applied, 1)
        read_to_end(reader, self.entries, 4, 2)
        self.assertTrue(reader.caught_up)

    def test_verdicts_are_found_by_offset(self):
        conflicting_entry = build_entry(7, records.Claim('t', 'late', 'i', 2))
        self.complete_replay.fold_batch(
            build_batch([*self.entries, conflicting_entry], 0, 7)
        )
        self.assertEqual(
            self.complete_replay.find_verdict(7), verdict.Verdict.CONFLICT
        )
        self.assertIsNone(self.complete_replay.find_verdict(8))
