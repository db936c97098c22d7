"""Tests of what forwarded requests add to the counts.

Guards against a request that counts although no replica ran it, that counts
for each of its attempts, or that doesn't count because its connection broke.
"""

import asyncio
import time
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.forwarding import requests_test
from auburnroad_gateway.forwarding import streams
from auburnroad_gateway.log import service
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.usage import attempts
from auburnroad_gateway.usage import counting
from auburnroad_standins import crash_watches
from auburnroad_standins import permit_group
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas
from auburnroad_standins import stream_memories

STREAM = configuration.RouteKind.STREAM
EVENTS = [scripted_replicas.build_event(number) for number in range(4)]


class AttemptCountsTest(unittest.IsolatedAsyncioTestCase):
    """Two replicas, of which 'near' is tried first; one window."""

    def setUp(self):
        adapter = plain_adapter.PlainAdapter()
        self.client = scripted_replicas.ScriptedClient()
        replicas = directory.Directory(adapter)
        for name in ('near', 'far'):
            value = (
                '{"id":"%s","service":"s","address":"%s:1",'
                '"failure_domain":"%s","slots":2,"state":"ready"}'
            ) % (name, name, name)
            replicas.apply(service.KeyedRecord(name, value.encode(), 0))
        self.counter = counting.UsageCounter(5000, 0)
        self.forwarder = requests.Forwarder(
            adapter,
            self.client,
            replicas,
            'near',
            permit_group.PermitGroup('own').permits['own'],
            crash_watches.build_crash_watch(),
            attempts.AttemptCounts(self.counter, lambda: 1000),
        )
        self.streams = streams.StreamForwarder(
            adapter,
            self.client,
            self.forwarder,
            crash_watches.build_crash_watch(),
            stream_memories.build_stream_releases(),
            stream_memories.build_replica_tail(replicas),
        )

    def build_pending(self, account, **fields):
        pending = requests.PendingRequest(
            messages.Request('POST', '/x', {'host': 'h'}, b''),
            call.CallHead('q'),
            requests_test.build_route(**fields),
            time.monotonic(),
        )
        pending.account = account
        return pending

    async def forward(self, account='a', **fields):
        response = await self.forwarder.forward(
            self.build_pending(account, **fields)
        )
        return response.status

    def handle(self, name, result):
        async def answer(request):
            await asyncio.sleep(0)
            if isinstance(result, Exception):
                raise result
            return result()

        self.client.handle(f'{name}:1', answer)

    def check(self, **counts):
        self.assertEqual(counts, self.counter.find_counts(0))
        self.counter.close_windows(5000)
        self.assertTrue(self.counter.is_closed(0))

    async def test_answered_request_counts_for_its_account(self):
        self.handle('near', scripted_replicas.answer)
        self.assertEqual(200, await self.forward())
        self.check(a=1)

    async def test_request_without_account_is_not_counted(self):
        self.handle('near', scripted_replicas.answer)
        self.assertEqual(200, await self.forward(account=''))
        self.check()

    async def test_nothing_is_counted_without_a_usage_report(self):
        """Nobody would take the counts, and they would grow for ever."""
        self.forwarder._usage._is_on = lambda: False
        self.handle('near', scripted_replicas.answer)
        self.assertEqual(200, await self.forward())
        self.check()

    async def test_refused_request_counts_nowhere(self):
        for name in ('near', 'far'):
            self.handle(name, scripted_replicas.refuse)
        self.assertEqual(503, await self.forward())
        self.check()

    async def test_request_without_connection_counts_nowhere(self):
        self.assertEqual(503, await self.forward())
        self.check()

    async def test_refusal_and_answer_count_once(self):
        self.handle('near', scripted_replicas.refuse)
        self.handle('far', scripted_replicas.answer)
        self.assertEqual(200, await self.forward())
        self.check(a=1)

    async def test_retry_after_a_break_counts_once(self):
        self.handle('near', client.BrokenError('reset'))
        self.handle('far', scripted_replicas.answer)
        self.assertEqual(200, await self.forward())
        self.check(a=1)

    async def test_request_that_broke_off_counts(self):
        self.handle('near', client.BrokenError('reset'))
        self.assertEqual(502, await self.forward(max_attempts=1))
        self.check(a=1)

    async def test_hedged_request_counts_once_and_leaves_nothing_open(self):
        self.client.handle('near:1', requests_test.hang)
        self.handle('far', scripted_replicas.answer)
        self.assertEqual(200, await self.forward())
        await asyncio.sleep(0)
        self.check(a=1)

    async def test_resumed_stream_counts_once(self):
        def stream(parts):
            return lambda: scripted_replicas.Reply(
                200, {'signed': '1'}, scripted_replicas.iterate(parts)
            )

        self.handle('near', stream([EVENTS[0], client.BrokenError('reset')]))
        self.handle('far', stream(EVENTS[1:]))
        response = await self.streams.forward(
            self.build_pending('a', kind=STREAM, resumable=True)
        )
        body = b''.join([part async for part in response.chunks])
        self.assertEqual(b''.join(EVENTS), body)
        self.check(a=1)

    async def test_refused_stream_counts_nowhere(self):
        for name in ('near', 'far'):
            self.handle(name, scripted_replicas.refuse)
        response = await self.streams.forward(
            self.build_pending('a', kind=STREAM)
        )
        self.assertEqual(503, response.status)
        self.check()
