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
BROKEN = msgspec.Raw(b'{"name":"d"}')
ANSWERS = msgspec.Raw(b'{}')


def build_publish(base, deployment=DEPLOYMENT, author='op'):
    return records.Publish(base, author, 1, 'change', deployment, ANSWERS)


class Log:
    """An in-memory stream."""

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
    def test_one_of_two_racing_operators_gets_through(self):
        log = Log()
        log.append(build_publish(-1))
        first = log.append(build_publish(0, author='a'))
        second = log.append(build_publish(0, author='b'))
        self.assertEqual(first, verdict.Verdict.EFFECTIVE)
        self.assertEqual(second, verdict.Verdict.CONFLICT)
        self.assertEqual((log.state.revision, log.state.author), (1, 'a'))

    def test_deployment_that_does_not_check_stays_out(self):
        log = Log()
        outcome = log.append(build_publish(-1, BROKEN))
        self.assertEqual(outcome, verdict.Verdict.INVALID)
        self.assertEqual(log.state.revision, -1)

    def test_record_of_a_later_release_is_passed_over(self):
        log = Log()
        outcome = log.append({'type': 'unheard-of'})
        self.assertEqual(outcome, verdict.Verdict.INVALID)
        self.assertEqual(log.state.applied, 0)


class HostOrderTest(unittest.TestCase):
    def test_late_copy_does_not_undo_a_later_order(self):
        log = Log()
        log.append(records.HostOrder('h', True, 'op', 1), 'drain')
        log.append(records.HostOrder('h', False, 'op', 2), 'take-back')
        outcome = log.append(records.HostOrder('h', True, 'op', 1), 'drain')
        self.assertEqual(outcome, verdict.Verdict.DUPLICATE)
        self.assertEqual(log.state.draining, {})


DRAWN = strategies.lists(
    strategies.one_of(
        # Publish on top of one of the last revisions, or a broken one.
        strategies.tuples(
            strategies.just('publish'),
            strategies.integers(0, 2),
            strategies.sampled_from([DEPLOYMENT, BROKEN]),
        ),
        strategies.tuples(
            strategies.just('order'),
            strategies.sampled_from(['h1', 'h2']),
            strategies.booleans(),
        ),
        # A second copy of an earlier record.
        strategies.tuples(strategies.just('copy'), strategies.integers(0, 5)),
    ),
    min_size=4,
    max_size=30,
)


def play(log, drawn):
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
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(DRAWN)
    def test_revision_only_goes_up_and_copies_do_nothing(self, drawn):
        log = Log()
        before = log.state.revision
        effective_ids = set()
        for outcome in play(log, drawn):
            self.assertGreaterEqual(log.state.revision, before)
            before = log.state.revision
            if outcome == verdict.Verdict.EFFECTIVE:
                record_id = log.entries[-1].record_id
                self.assertNotIn(record_id, effective_ids)
                effective_ids.add(record_id)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(DRAWN, strategies.data())
    def test_reader_after_truncation_ends_in_the_same_state(self, drawn, data):
        log = Log()
        at = data.draw(strategies.integers(0, len(drawn)))
        list(play(log, drawn[:at]))
        written = configuration_fold.build_checkpoint(log.state, 5, 0)
        list(play(log, drawn[at : at + 2]))
        log.append(written)
        list(play(log, drawn[at + 2 :]))
        first = data.draw(strategies.integers(0, written.covers + 1))
        state = configuration_fold.start(
            log_service.Batch(first, len(log.entries), log.entries[first:])
        )
        for entry in log.entries[state.applied + 1 :]:
            state, _ = configuration_fold.fold(state, entry)
        self.assertEqual(state, log.state)
