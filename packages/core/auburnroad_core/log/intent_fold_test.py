"""Tests that the intent fold gives a key to one attempt only.

Copies of an Intent may appear late, after a retried append, and keys are
removed from the state once they have expired. Neither may allow a
non-idempotent request to run twice.
"""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from auburnroad_core.log import intent_fold
from auburnroad_core.log import keys
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

EFFECTIVE = verdict.Verdict.EFFECTIVE
CONFLICT = verdict.Verdict.CONFLICT
DUPLICATE = verdict.Verdict.DUPLICATE
INVALID = verdict.Verdict.INVALID
LIFE_MS = 120_000
MINUTE_MS = 60_000


class Log:
    """An in-memory stream with the state folded from it."""

    def __init__(self):
        self.state = intent_fold.State()
        self.entries = []

    def append(self, record):
        offset = len(self.entries)
        data = msgspec.Raw(msgspec.json.encode(record))
        entry = records.Entry(offset, f'id-{offset}', data)
        self.entries.append(entry)
        self.state, outcome = intent_fold.fold(self.state, entry)
        return outcome

    def append_intent(self, key, attempt, digest='d'):
        expires_ms = keys.read_time_ms(key) + LIFE_MS
        return self.append(
            records.Intent(key, attempt, digest, 'e1', expires_ms)
        )

    def append_result(self, key, attempt, outcome, status=0):
        return self.append(records.Result(key, attempt, outcome, status))


class IntentTest(unittest.TestCase):
    """A key is held until its attempt is recorded as not run."""

    def setUp(self):
        self.log = Log()
        self.key = keys.build_key(10 * MINUTE_MS)

    def test_first_attempt_holds_the_key(self):
        self.assertEqual(self.log.append_intent(self.key, 'a1'), EFFECTIVE)
        self.assertEqual(self.log.append_intent(self.key, 'a1'), DUPLICATE)
        self.assertEqual(self.log.append_intent(self.key, 'a2'), DUPLICATE)
        self.assertEqual(
            self.log.append_intent(self.key, 'a3', 'other'), CONFLICT
        )
        self.assertEqual(self.log.state.keys[self.key].attempt, 'a1')

    def test_not_run_result_releases_the_key_once(self):
        self.log.append_intent(self.key, 'a1')
        self.assertEqual(
            self.log.append_result(self.key, 'a1', 'not-run'), EFFECTIVE
        )
        self.assertEqual(self.log.append_intent(self.key, 'a1'), DUPLICATE)
        self.assertEqual(
            self.log.append_intent(self.key, 'a2', 'other'), CONFLICT
        )
        self.assertEqual(self.log.append_intent(self.key, 'a2'), EFFECTIVE)
        self.assertEqual(
            self.log.append_result(self.key, 'a1', 'not-run'), DUPLICATE
        )
        self.assertEqual(self.log.state.keys[self.key].attempt, 'a2')

    def test_intent_after_its_not_run_result_never_holds_the_key(self):
        self.log.append_result(self.key, 'a1', 'not-run')
        self.assertEqual(self.log.append_intent(self.key, 'a1'), DUPLICATE)
        self.assertEqual(self.log.append_intent(self.key, 'a2'), EFFECTIVE)

    def test_run_and_unknown_results_keep_the_key_held(self):
        self.log.append_intent(self.key, 'a1')
        self.log.append_result(self.key, 'a1', 'unknown')
        self.assertEqual(self.log.append_intent(self.key, 'a2'), DUPLICATE)
        self.log.append_result(self.key, 'a1', 'run', 201)
        self.assertEqual(
            self.log.append_result(self.key, 'a1', 'not-run'), DUPLICATE
        )
        held = self.log.state.keys[self.key]
        self.assertEqual((held.outcome, held.status), ('run', 201))

    def test_key_below_the_floor_is_removed_and_rejected(self):
        self.log.append_intent(self.key, 'a1')
        self.log.append_intent(keys.build_key(20 * MINUTE_MS), 'b1')
        self.assertNotIn(self.key, self.log.state.keys)
        self.assertEqual(self.log.append_intent(self.key, 'a2'), INVALID)

    def test_record_with_malformed_key_is_invalid(self):
        for key in ('order-7', self.key.upper()):
            record = records.Intent(key, 'a', 'd', 'e1', 2**50)
            self.assertEqual(self.log.append(record), INVALID)


# Keys whose creation times are 3 minutes apart, over 30 minutes. With a
# lifetime of 2 minutes only a few keys are valid at a time.
KEYS = [
    keys.build_key((10 + minutes) * MINUTE_MS) for minutes in range(0, 30, 3)
]
DRAWN_RECORDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['intend', 'intend', 'result', 'checkpoint']),
        strategies.sampled_from(KEYS),
        strategies.sampled_from(['a1', 'a2', 'a3']),
        strategies.sampled_from(['run', 'not-run', 'unknown']),
        strategies.integers(10, 40),
    ),
    min_size=5,
    max_size=40,
)


def append_drawn(log, drawn):
    for kind, key, attempt, outcome, minute in drawn:
        if kind == 'intend':
            record_verdict = log.append_intent(key, attempt)
        elif kind == 'result':
            record_verdict = log.append_result(key, attempt, outcome)
        else:
            # The writer's clock may differ from the times of the keys.
            record_verdict = log.append(
                intent_fold.build_checkpoint(
                    log.state, minute * MINUTE_MS, LIFE_MS
                )
            )
        yield kind, key, attempt, outcome, record_verdict


class InterleavingTest(unittest.TestCase):
    """Rules of the fold hold for any order of records."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(DRAWN_RECORDS)
    def test_key_is_held_again_only_after_a_not_run_result(self, drawn):
        log = Log()
        holders = {}
        spent = set()
        for kind, key, attempt, outcome, record_verdict in append_drawn(
            log, drawn
        ):
            if record_verdict != EFFECTIVE:
                continue
            if kind == 'intend':
                # No second attempt may hold the key, even if the state no
                # longer contains it.
                self.assertNotIn(key, holders)
                self.assertNotIn((key, attempt), spent)
                holders[key] = attempt
            if kind == 'result' and outcome == 'not-run':
                spent.add((key, attempt))
                if holders.get(key) == attempt:
                    del holders[key]

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(DRAWN_RECORDS, strategies.data())
    def test_reader_after_truncation_ends_in_the_same_state(self, drawn, data):
        log = Log()
        at = data.draw(strategies.integers(0, len(drawn)))
        list(append_drawn(log, drawn[:at]))
        now_ms = data.draw(strategies.integers(10, 40)) * MINUTE_MS
        checkpoint = intent_fold.build_checkpoint(log.state, now_ms, LIFE_MS)
        list(append_drawn(log, drawn[at : at + 2]))
        log.append(checkpoint)
        list(append_drawn(log, drawn[at + 2 :]))
        first = data.draw(strategies.integers(0, checkpoint.covers + 1))
        state = intent_fold.start(
            log_service.Batch(first, len(log.entries), log.entries[first:])
        )
        for entry in log.entries[state.applied + 1 :]:
            state, _ = intent_fold.fold(state, entry)
        self.assertEqual(state, log.state)
