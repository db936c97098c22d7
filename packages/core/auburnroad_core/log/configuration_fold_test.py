"""Tests the configuration fold with concurrent, duplicate and bad records.

Two operators may publish from the same base revision, and a retried append
may leave a second copy of a record behind later records.
"""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from auburnroad_core.log import configuration_fold
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

DEPLOYMENT = msgspec.Raw(
    b'{"name":"d","failure_domains":["a"],'
    b'"services":[{"name":"s","kind":"plain"}]}'
)
INVALID_DEPLOYMENT = msgspec.Raw(b'{"name":"d"}')
ANSWERS = msgspec.Raw(b'{}')


def build_publish(base, deployment=DEPLOYMENT, author='op'):
    return records.Publish(base, author, 1, 'change', deployment, ANSWERS)


class Log:
    """An in-memory stream with the state folded from it."""

    def __init__(self):
        self.state = configuration_fold.State()
        self.entries = []

    def append(self, record, record_id=''):
        offset = len(self.entries)
        data = msgspec.Raw(msgspec.json.encode(record))
        entry = records.Entry(offset, record_id or f'id-{offset}', data)
        self.entries.append(entry)
        self.state, outcome = configuration_fold.fold(self.state, entry)
        return outcome


class PublishTest(unittest.TestCase):
    """A Publish needs the current base revision and a valid deployment."""

    def test_only_first_of_two_concurrent_publishes_takes_effect(self):
        log = Log()
        log.append(build_publish(-1))
        first = log.append(build_publish(0, author='a'))
        second = log.append(build_publish(0, author='b'))
        self.assertEqual(first, verdict.Verdict.EFFECTIVE)
        self.assertEqual(second, verdict.Verdict.CONFLICT)
        self.assertEqual((log.state.revision, log.state.author), (1, 'a'))

    def test_invalid_deployment_does_not_take_effect(self):
        log = Log()
        outcome = log.append(build_publish(-1, INVALID_DEPLOYMENT))
        self.assertEqual(outcome, verdict.Verdict.INVALID)
        self.assertEqual(log.state.revision, -1)

    def test_unknown_record_type_of_a_later_release_is_skipped(self):
        log = Log()
        outcome = log.append({'type': 'unheard-of'})
        self.assertEqual(outcome, verdict.Verdict.INVALID)
        self.assertEqual(log.state.applied, 0)


class HostOrderTest(unittest.TestCase):
    """A delayed copy of a host order is ignored."""

    def test_late_copy_does_not_undo_a_later_order(self):
        log = Log()
        log.append(records.HostOrder('h', True, 'op', 1), 'drain')
        log.append(records.HostOrder('h', False, 'op', 2), 'take-back')
        outcome = log.append(records.HostOrder('h', True, 'op', 1), 'drain')
        self.assertEqual(outcome, verdict.Verdict.DUPLICATE)
        self.assertEqual(log.state.draining, {})


DRAWN_RECORDS = strategies.lists(
    strategies.one_of(
        # Publish with the current or an older base revision, of a valid or an
        # invalid deployment.
        strategies.tuples(
            strategies.just('publish'),
            strategies.integers(0, 2),
            strategies.sampled_from([DEPLOYMENT, INVALID_DEPLOYMENT]),
        ),
        strategies.tuples(
            strategies.just('order'),
            strategies.sampled_from(['h1', 'h2']),
            strategies.booleans(),
        ),
        # A copy of an earlier record.
        strategies.tuples(strategies.just('copy'), strategies.integers(0, 5)),
    ),
    min_size=4,
    max_size=30,
)


def append_drawn(log, drawn):
    for kind, *details in drawn:
        if kind == 'publish':
            base = log.state.revision - details[0]
            yield log.append(build_publish(base, details[1]))
        elif kind == 'order':
            yield log.append(records.HostOrder(*details, 'op', 1))
        elif details[0] < len(log.entries):
            earlier = log.entries[-1 - details[0]]
            yield log.append(
                msgspec.json.decode(earlier.data), earlier.record_id
            )


class InterleavingTest(unittest.TestCase):
    """Rules of the fold hold for any order of records and copies."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(DRAWN_RECORDS)
    def test_revision_never_decreases_and_copies_have_no_effect(self, drawn):
        log = Log()
        previous_revision = log.state.revision
        effective_ids = set()
        for outcome in append_drawn(log, drawn):
            self.assertGreaterEqual(log.state.revision, previous_revision)
            previous_revision = log.state.revision
            if outcome == verdict.Verdict.EFFECTIVE:
                record_id = log.entries[-1].record_id
                self.assertNotIn(record_id, effective_ids)
                effective_ids.add(record_id)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(DRAWN_RECORDS, strategies.data())
    def test_reader_after_truncation_ends_in_the_same_state(self, drawn, data):
        log = Log()
        at = data.draw(strategies.integers(0, len(drawn)))
        list(append_drawn(log, drawn[:at]))
        checkpoint = configuration_fold.build_checkpoint(log.state, 5, 0)
        list(append_drawn(log, drawn[at : at + 2]))
        log.append(checkpoint)
        list(append_drawn(log, drawn[at + 2 :]))
        first = data.draw(strategies.integers(0, checkpoint.covers + 1))
        state = configuration_fold.start(
            log_service.Batch(first, len(log.entries), log.entries[first:])
        )
        for entry in log.entries[state.applied + 1 :]:
            state, _ = configuration_fold.fold(state, entry)
        self.assertEqual(state, log.state)
