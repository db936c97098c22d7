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


def read(entries, first, offset, limit=1000):
    kept = [e for e in entries if e.offset >= max(first, offset)][:limit]
    return log_service.Batch(first, len(entries), kept)


def finish(subject, entries, first, limit):
    for _ in range(len(entries) + 2):
        subject.take(read(entries, first, subject.next_offset, limit))


class ReplayTest(unittest.TestCase):
    def setUp(self):
        self.entries = build_claims(6)
        whole = replay.Replay(trainer_fold)
        whole.take(read(self.entries[:4], 0, 0))
        checkpoint = trainer_fold.build_checkpoint(whole.state, 9, 0)
        self.entries.append(build_entry(6, checkpoint))
        self.whole = replay.Replay(trainer_fold)
        self.whole.take(read(self.entries, 0, 0))

    def test_checkpoint_in_a_later_batch_is_found(self):
        for limit in (1, 2, 3, 100):
            subject = replay.Replay(trainer_fold)
            finish(subject, self.entries, 3, limit)
            self.assertTrue(subject.caught_up)
            self.assertEqual(subject.state, self.whole.state)

    def test_reader_paused_past_the_horizon_goes_on_from_a_checkpoint(self):
        subject = replay.Replay(trainer_fold)
        subject.take(read(self.entries[:2], 0, 0))
        self.assertTrue(subject.caught_up)
        subject.take(read(self.entries, 4, subject.next_offset))
        finish(subject, self.entries, 4, 2)
        self.assertEqual(subject.state, self.whole.state)

    def test_without_a_checkpoint_the_state_stays_and_is_not_caught_up(self):
        subject = replay.Replay(trainer_fold)
        subject.take(read(self.entries[:2], 0, 0))
        finish(subject, self.entries[:6], 4, 2)
        self.assertFalse(subject.caught_up)
        self.assertEqual(subject.applied, 1)
        finish(subject, self.entries, 4, 2)
        self.assertTrue(subject.caught_up)

    def test_verdicts_are_found_by_offset(self):
        lost = build_entry(7, records.Claim('t', 'late', 'i', 2))
        self.whole.take(read([*self.entries, lost], 0, 7))
        self.assertEqual(self.whole.find_verdict(7), verdict.Verdict.CONFLICT)
        self.assertIsNone(self.whole.find_verdict(8))
