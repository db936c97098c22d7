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
    """An in-memory stream."""

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

    def intend(self, key, attempt, digest='d'):
        expires_ms = keys.read_time_ms(key) + LIFE_MS
        return self.append(
            records.Intent(key, attempt, digest, 'e1', expires_ms)
        )

    def result(self, key, attempt, outcome, status=0):
        return self.append(records.Result(key, attempt, outcome, status))


class IntentTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.key = keys.build_key(10 * MINUTE_MS)

    def test_first_attempt_holds_the_key(self):
        self.assertEqual(self.log.intend(self.key, 'a1'), EFFECTIVE)
        self.assertEqual(self.log.intend(self.key, 'a1'), DUPLICATE)
        self.assertEqual(self.log.intend(self.key, 'a2'), DUPLICATE)
        self.assertEqual(self.log.intend(self.key, 'a3', 'other'), CONFLICT)
        self.assertEqual(self.log.state.keys[self.key].attempt, 'a1')

    def test_attempt_that_was_not_run_frees_the_key_once(self):
        self.log.intend(self.key, 'a1')
        self.assertEqual(self.log.result(self.key, 'a1', 'not-run'), EFFECTIVE)
        self.assertEqual(self.log.intend(self.key, 'a1'), DUPLICATE)
        self.assertEqual(self.log.intend(self.key, 'a2', 'other'), CONFLICT)
        self.assertEqual(self.log.intend(self.key, 'a2'), EFFECTIVE)
        self.assertEqual(self.log.result(self.key, 'a1', 'not-run'), DUPLICATE)
        self.assertEqual(self.log.state.keys[self.key].attempt, 'a2')

    def test_attempt_given_up_before_its_intent_shows_never_holds(self):
        self.log.result(self.key, 'a1', 'not-run')
        self.assertEqual(self.log.intend(self.key, 'a1'), DUPLICATE)
        self.assertEqual(self.log.intend(self.key, 'a2'), EFFECTIVE)

    def test_run_and_unknown_keep_the_key_taken(self):
        self.log.intend(self.key, 'a1')
        self.log.result(self.key, 'a1', 'unknown')
        self.assertEqual(self.log.intend(self.key, 'a2'), DUPLICATE)
        self.log.result(self.key, 'a1', 'run', 201)
        self.assertEqual(self.log.result(self.key, 'a1', 'not-run'), DUPLICATE)
        held = self.log.state.keys[self.key]
        self.assertEqual((held.outcome, held.status), ('run', 201))

    def test_key_below_the_floor_is_forgotten_and_refused(self):
        self.log.intend(self.key, 'a1')
        self.log.intend(keys.build_key(20 * MINUTE_MS), 'b1')
        self.assertNotIn(self.key, self.log.state.keys)
        self.assertEqual(self.log.intend(self.key, 'a2'), INVALID)

    def test_texts_that_are_no_keys_are_invalid(self):
        for key in ('order-7', self.key.upper()):
            record = records.Intent(key, 'a', 'd', 'e1', 2**50)
            self.assertEqual(self.log.append(record), INVALID)


# Keys over half an hour, of which a few live at a time.
KEYS = [
    keys.build_key((10 + minutes) * MINUTE_MS) for minutes in range(0, 30, 3)
]
DRAWN = strategies.lists(
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


def play(log, drawn):
    for kind, key, attempt, outcome, minute in drawn:
        if kind == 'intend':
            effect = log.intend(key, attempt)
        elif kind == 'result':
            effect = log.result(key, attempt, outcome)
        else:
            # The clock of the writer is anywhere.
            effect = log.append(
                intent_fold.build_checkpoint(
                    log.state, minute * MINUTE_MS, LIFE_MS
                )
            )
        yield kind, key, attempt, outcome, effect


class InterleavingTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(DRAWN)
    def test_key_is_never_given_out_twice_unless_not_run(self, drawn):
        log = Log()
        holders = {}
        spent = set()
        for kind, key, attempt, outcome, effect in play(log, drawn):
            if effect != EFFECTIVE:
                continue
            if kind == 'intend':
                # Forgotten or not, nobody else may hold the key.
                self.assertNotIn(key, holders)
                self.assertNotIn((key, attempt), spent)
                holders[key] = attempt
            if kind == 'result' and outcome == 'not-run':
                spent.add((key, attempt))
                if holders.get(key) == attempt:
                    del holders[key]

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(DRAWN, strategies.data())
    def test_reader_after_truncation_ends_in_the_same_state(self, drawn, data):
        log = Log()
        at = data.draw(strategies.integers(0, len(drawn)))
        list(play(log, drawn[:at]))
        now_ms = data.draw(strategies.integers(10, 40)) * MINUTE_MS
        written = intent_fold.build_checkpoint(log.state, now_ms, LIFE_MS)
        list(play(log, drawn[at : at + 2]))
        log.append(written)
        list(play(log, drawn[at + 2 :]))
        first = data.draw(strategies.integers(0, written.covers + 1))
        state = intent_fold.start(
            log_service.Batch(first, len(log.entries), log.entries[first:])
        )
        for entry in log.entries[state.applied + 1 :]:
            state, _ = intent_fold.fold(state, entry)
        self.assertEqual(state, log.state)
