"""Tests of the dispatcher and of the attempts of one call."""

import asyncio
import unittest

from auburnroad_core import clock
from auburnroad_core.platform import host_list
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.process import history
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.request import entry_attempt


class FakeLink:
    """A link to a side that answers each attempt by calling a function."""

    def __init__(self, name, answer):
        self.host = host_list.Host(name, 'side', '', 'a', 'live')
        self.loads = {}
        self.answer = answer
        self.submitted = []
        self.cancelled = []

    def estimate_outstanding(self, service):
        return len(self.submitted)

    def count_sent(self, service):
        return 0

    def submit(self, attempt):
        self.submitted.append(attempt.submit)
        self.answer(attempt)

    def cancel(self, attempt):
        self.cancelled.append(attempt.request_id)


def refuse(attempt):
    attempt.receive_end(messages.Refused(attempt.request_id, 'leaving', 0))


def lose(attempt):
    attempt.receive_end(entry_attempt.Lost('the side is down'))


def run(attempt):
    attempt.receive_end(
        messages.Done(attempt.request_id, types.Outcome.RUN, 200, text='whole')
    )


def ignore(attempt):
    pass


class FakeHosts:
    def __init__(self, links):
        self.links = links

    def find_links(self, service):
        return self.links


def build_call(idempotent=True, streamed=False, timeout_ms=5000):
    return dispatch.Call(
        messages.Submit(
            'call',
            'svc',
            types.RequestClass.INTERACTIVE,
            clock.time_now_ms() + timeout_ms,
            idempotent,
            streamed,
            'POST',
            '/',
            {},
            b'{}',
        )
    )


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong outcomes of calls when sides fail.

    Sides refuse an attempt, lose it, don't answer it, or break its stream. A
    call that may have been run must not be reported as not run, and a
    non-idempotent call must not be retried after an unknown outcome.
    """

    def build(self, *answers):
        links = [FakeLink(f'h{i}', a) for i, a in enumerate(answers)]
        dispatcher = dispatch.Dispatcher(
            FakeHosts(links), 'a', history.History()
        )
        dispatcher.policy = lambda candidates, context, rng: candidates[0]
        return dispatcher, links

    async def test_refused_call_is_retried_on_another_host(self):
        dispatcher, links = self.build(refuse, run)
        result = await dispatcher.run(build_call(idempotent=False))
        self.assertEqual(types.Outcome.RUN, result.outcome)
        self.assertEqual(2, result.attempts)

    async def test_lost_idempotent_call_is_retried_on_another_host(self):
        dispatcher, links = self.build(lose, run)
        result = await dispatcher.run(build_call())
        self.assertEqual('whole', result.text)

    async def test_lost_non_idempotent_call_is_unknown_and_not_retried(self):
        dispatcher, links = self.build(lose, run)
        result = await dispatcher.run(build_call(idempotent=False))
        self.assertEqual(types.Outcome.UNKNOWN, result.outcome)
        self.assertEqual([], links[1].submitted)

    async def test_call_refused_by_all_hosts_is_not_run(self):
        dispatcher, links = self.build(refuse, refuse)
        result = await dispatcher.run(build_call())
        self.assertEqual(types.Outcome.NOT_RUN, result.outcome)
        self.assertGreater(result.retry_at_ms, 0)

    async def test_call_unanswered_at_its_deadline_has_unknown_outcome(self):
        dispatcher, links = self.build(ignore)
        result = await dispatcher.run(build_call(timeout_ms=50))
        self.assertEqual(types.Outcome.UNKNOWN, result.outcome)
        self.assertEqual(['call.1'], links[0].cancelled)

    async def test_call_after_its_deadline_is_not_run(self):
        dispatcher, links = self.build(run)
        result = await dispatcher.run(build_call(timeout_ms=-1))
        self.assertEqual(types.Outcome.NOT_RUN, result.outcome)
        self.assertEqual([], links[0].submitted)

    async def test_call_without_hosts_fails_immediately(self):
        dispatcher, links = self.build()
        result = await dispatcher.run(build_call())
        self.assertEqual('no_replica', result.code)
        self.assertEqual(types.Outcome.NOT_RUN, result.outcome)

    async def test_resumed_stream_starts_after_delivered_tokens(self):
        def break_midway(attempt):
            span = types.VersionSpan(3, 0, 2)
            attempt.receive_chunk(
                messages.Chunk(attempt.request_id, 0, 'ab', [span])
            )
            lose(attempt)

        def finish(attempt):
            span = types.VersionSpan(4, 0, 1)
            attempt.receive_chunk(
                messages.Chunk(attempt.request_id, 0, 'c', [span])
            )
            attempt.receive_end(
                messages.Done(
                    attempt.request_id, types.Outcome.RUN, 200, chunks=1
                )
            )

        dispatcher, links = self.build(break_midway, finish)
        texts = []
        delivered = []

        async def collect_chunk(text, spans):
            texts.append(text)
            delivered.extend(spans)

        result = await dispatcher.run(build_call(streamed=True), collect_chunk)
        self.assertEqual(['ab', 'c'], texts)
        self.assertEqual(result.spans, delivered)
        self.assertIn(b'"resume_at":2', links[1].submitted[0].body)
        self.assertEqual(
            [types.VersionSpan(3, 0, 2), types.VersionSpan(4, 2, 3)],
            result.spans,
        )

    async def test_started_stream_is_retried_beyond_the_budget(self):
        count = 0

        def deliver_and_break(attempt):
            nonlocal count
            count += 1
            span = types.VersionSpan(3, 0, 1)
            attempt.receive_chunk(
                messages.Chunk(attempt.request_id, 0, 'a', [span])
            )
            if count <= dispatch.MAX_ATTEMPTS:
                lose(attempt)
                # For a short time no host accepts requests.
                hosts.links = [[], links][count % 2]
                asyncio.get_running_loop().call_later(
                    0.01, setattr, hosts, 'links', links
                )
                return
            attempt.receive_end(
                messages.Done(
                    attempt.request_id, types.Outcome.RUN, 200, chunks=1
                )
            )

        dispatcher, links = self.build(deliver_and_break)
        hosts = dispatcher._hosts
        dispatcher.retry_fraction = 0.0
        texts = []

        async def collect_chunk(text, spans):
            texts.append(text)

        result = await dispatcher.run(build_call(streamed=True), collect_chunk)
        self.assertEqual('', result.code)
        self.assertEqual(dispatch.MAX_ATTEMPTS + 1, len(texts))

    async def test_retries_stop_when_the_budget_is_exhausted(self):
        dispatcher, links = self.build(lose)
        dispatcher.retry_fraction = 0.0
        for _ in range(20):
            await dispatcher.run(build_call())
        self.assertEqual(30, len(links[0].submitted))


class AttemptTest(unittest.TestCase):
    """Guards against answers with duplicate or missing chunks.

    A side sends chunks again after a reconnect, and chunks may have been lost
    with the old connection.
    """

    def test_chunk_gap_is_reported_and_duplicate_is_dropped(self):
        attempt = entry_attempt.Attempt(build_call().submit, 'h')
        self.assertFalse(
            attempt.receive_chunk(messages.Chunk('call', 1, 'b', []))
        )
        self.assertTrue(
            attempt.receive_chunk(messages.Chunk('call', 0, 'a', []))
        )
        self.assertTrue(
            attempt.receive_chunk(messages.Chunk('call', 0, 'a', []))
        )
        self.assertEqual(1, attempt.next_index)

    def test_done_before_its_last_chunk_is_not_accepted(self):
        attempt = entry_attempt.Attempt(build_call().submit, 'h')
        done = messages.Done('call', types.Outcome.RUN, 200, chunks=1)
        self.assertFalse(attempt.receive_end(done))
        attempt.receive_chunk(messages.Chunk('call', 0, 'a', []))
        self.assertTrue(attempt.receive_end(done))
