"""Tests that a caller can tell a complete stream from a truncated stream.

A replica may fail in the middle of a stream or of an event. The stream is
then resumed on another replica without a gap, or relaying it fails with an
error.
"""

import itertools
import time
import unittest
from unittest import mock

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import event_stream
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.forwarding import requests_test
from auburnroad_gateway.forwarding import stream_releases
from auburnroad_gateway.forwarding import streams
from auburnroad_gateway.log import service
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import registration
from auburnroad_standins import crash_watches
from auburnroad_standins import partition_log
from auburnroad_standins import permit_group
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas
from auburnroad_standins import stream_memories

EVENTS = [scripted_replicas.build_event(number) for number in range(4)]
STREAM = configuration.RouteKind.STREAM
TIMEOUT_SECONDS = 20


class StreamForwarderTest(unittest.IsolatedAsyncioTestCase):
    """Two replicas; the stream of the first replica breaks in some tests."""

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
        forwarder = requests.Forwarder(
            adapter,
            self.client,
            replicas,
            'near',
            permit_group.PermitGroup('own').permits['own'],
            crash_watches.build_crash_watch(),
        )
        self.stream_forwarder = streams.StreamForwarder(
            adapter,
            self.client,
            forwarder,
            crash_watches.build_crash_watch(),
            stream_memories.build_stream_releases(),
            stream_memories.build_replica_tail(replicas),
        )
        self.script('far:1', EVENTS)

    def script(self, address, parts):
        async def handle(request):
            first = int(request.headers.get('after', -1)) + 1
            return scripted_replicas.Reply(
                200,
                {'signed': '1', 'from': address},
                scripted_replicas.iterate(parts[first:]),
            )

        self.client.handle(address, handle)

    async def forward(self, **fields):
        pending = requests.PendingRequest(
            messages.Request('POST', '/x', {'host': 'h'}),
            call.CallHead('q'),
            requests_test.build_route(STREAM, **fields),
            time.monotonic(),
        )
        return await self.stream_forwarder.forward(pending)

    async def read(self, response):
        return b''.join([part async for part in response.chunks])

    async def test_complete_stream_is_relayed_unchanged(self):
        self.script('near:1', EVENTS)
        response = await self.forward()
        self.assertEqual(b''.join(EVENTS), await self.read(response))

    async def test_resumed_stream_keeps_headers_of_first_replica(self):
        broken = [*EVENTS[:2], b'id: 2\nda', client.BrokenError('reset')]
        self.script('near:1', broken)
        response = await self.forward(resumable=True)
        self.assertEqual('near:1', response.headers['from'])
        self.assertEqual(b''.join(EVENTS), await self.read(response))

    async def test_answer_of_the_next_replica_is_no_part_of_the_stream(self):
        """Its error or its head would stand in the middle of the stream."""
        signed = {'signed': '1'}
        error = b'{"error":"no"}'
        head = b'HTTP/1.1 500 Internal Server Error\r\n\r\n'
        for status, headers, parts in (
            (500, signed, [error]),
            (404, signed, [error + b'\n\n']),
            (503, {'not-run': '1'}, [error]),
            (204, signed, []),
            (200, {}, EVENTS[2:]),
            (200, signed, [error]),
            (200, signed, [error + b'\n\n']),
            (200, signed, [head, error, b'\n\n']),
            (200, signed, [head, *EVENTS[2:]]),
            (200, signed, EVENTS),
            (200, signed, EVENTS[3:]),
            (200, signed, [b'data: x\n\n', *EVENTS[2:]]),
        ):
            with self.subTest(status=status, parts=parts):
                self.setUp()
                self.script(
                    'near:1', [*EVENTS[:2], client.BrokenError('reset')]
                )
                reply = scripted_replicas.Reply(
                    status, headers, scripted_replicas.iterate(parts)
                )

                async def answer(request, reply=reply):
                    return reply

                self.client.handle('far:1', answer)
                response = await self.forward(resumable=True)
                sent = []
                with self.assertRaises(ConnectionResetError):
                    async for part in response.chunks:
                        sent.append(part)
                self.assertEqual(EVENTS[:2], sent)

    async def test_comments_between_events_are_passed_over(self):
        self.script('near:1', [EVENTS[0], b': busy\n\n', *EVENTS[1:]])
        response = await self.forward(resumable=True)
        self.assertEqual(b''.join(EVENTS), await self.read(response))

    async def test_unsigned_stream_is_not_forwarded(self):
        async def forge(request):
            return scripted_replicas.Reply(
                200, {}, scripted_replicas.iterate(EVENTS)
            )

        self.client.handle('near:1', forge)
        response = await self.forward(resumable=True)
        self.assertEqual('far:1', response.headers['from'])

    async def test_broken_stream_of_unresumable_route_raises(self):
        self.script('near:1', [EVENTS[0], client.BrokenError('reset')])
        response = await self.forward()
        with self.assertRaises(ConnectionResetError):
            await self.read(response)
        self.assertEqual(0, self.client.count('far:1'))

    async def test_stream_ending_within_event_raises(self):
        self.script('near:1', [EVENTS[0], b'id: 1\nda'])
        response = await self.forward()
        with self.assertRaises(ConnectionResetError):
            await self.read(response)

    async def test_stream_that_may_have_run_is_not_refused(self):
        """A 503 says that the request has not run."""

        async def break_off(request):
            raise client.BrokenError('reset')

        for address in ('near:1', 'far:1'):
            self.client.handle(address, break_off)
        response = await self.forward(resumable=True, max_attempts=3)
        self.assertEqual(502, response.status)

    async def test_refused_stream_opens_on_other_replica(self):
        async def refuse(request):
            return scripted_replicas.refuse()

        self.client.handle('near:1', refuse)
        response = await self.forward(max_attempts=1)
        self.assertEqual('far:1', response.headers['from'])


class ReleaseTest(unittest.IsolatedAsyncioTestCase):
    """Replicas of two software versions; the data of events tells which."""

    def setUp(self):
        adapter = plain_adapter.PlainAdapter()
        self.client = scripted_replicas.ScriptedClient()
        self.replicas = directory.Directory(adapter)
        forwarder = requests.Forwarder(
            adapter,
            self.client,
            self.replicas,
            'one',
            permit_group.PermitGroup('own').permits['own'],
            crash_watches.build_crash_watch(),
        )
        self.log = partition_log.PartitionLog()
        self.memory = stream_memories.build_stream_releases(self.log)
        self.streams = streams.StreamForwarder(
            adapter,
            self.client,
            forwarder,
            crash_watches.build_crash_watch(),
            self.memory,
            stream_memories.build_replica_tail(self.replicas),
        )

    def add(self, name, software, break_after=len(EVENTS)):
        value = (
            '{"id":"%s","service":"s","address":"%s:1","slots":2,'
            '"failure_domain":"%s","state":"ready","software_version":"%s"}'
        ) % (name, name, name, software)
        self.replicas.apply(service.KeyedRecord(name, value.encode(), 0))
        events = [
            scripted_replicas.build_event(number, f'{software}.{number}')
            for number in range(len(EVENTS))
        ]

        async def handle(request):
            first = int(request.headers.get('after', -1)) + 1
            parts = events[first:]
            if len(parts) > break_after:
                parts = [*parts[:break_after], client.BrokenError('reset')]
            return scripted_replicas.Reply(
                200, {'signed': '1'}, scripted_replicas.iterate(parts)
            )

        self.client.handle(f'{name}:1', handle)
        return b''.join(events)

    async def share(self, request_id, software):
        """Share the release of a stream as its gateway does."""
        release = registration.Release('s', software)
        await self.memory.share(request_id, 'h', release, set(), 0.0)

    async def record(self, software):
        """Record a release as gateways do before streams begin there."""
        release = registration.Release('s', software)
        self.assertTrue(
            await self.memory.in_service.record(
                [('h', release)], TIMEOUT_SECONDS
            )
        )

    def remove(self, name):
        self.replicas._outage_ended_at = float('-inf')
        self.replicas.apply(service.KeyedRecord(name, b'', 0))

    async def forward(self, head=call.CallHead('q')):
        pending = requests.PendingRequest(
            messages.Request('POST', '/x', {'host': 'h'}),
            head,
            requests_test.build_route(STREAM, resumable=True, max_attempts=4),
            time.monotonic(),
        )
        return await self.streams.forward(pending)

    async def read(self, head=call.CallHead('q')):
        response = await self.forward(head)
        return b''.join([part async for part in response.chunks])

    async def test_broken_stream_goes_on_at_its_own_version(self):
        """Streams went on at whichever replica had the lowest load."""
        events = self.add('one', 'v1', break_after=2)
        self.add('two', 'v2')
        self.add('three', 'v1')
        self.assertEqual(events, await self.read())
        self.assertEqual(0, self.client.count('two:1'))

    async def test_broken_stream_without_its_version_raises(self):
        self.add('one', 'v1', break_after=2)
        self.add('two', 'v2')
        with self.assertRaises(ConnectionResetError):
            await self.read()
        self.assertEqual(0, self.client.count('two:1'))

    async def test_stream_that_is_taken_up_goes_on_at_its_version(self):
        self.add('one', 'v1')
        events = self.add('two', 'v2')
        await self.share('begun', 'v2')
        head = call.CallHead('q', None, 1, 'begun')
        self.assertTrue(events.endswith(await self.read(head)))
        self.assertEqual(0, self.client.count('one:1'))

    async def test_stream_of_unknown_version_is_refused(self):
        self.add('one', 'v1')
        response = await self.forward(call.CallHead('q', None, 1, 'begun'))
        self.assertEqual(503, response.status)
        self.assertEqual([], self.client.requests)

    async def test_stream_whose_version_is_gone_is_refused_at_once(self):
        self.add('one', 'v1')
        await self.share('begun', 'v2')
        response = await self.forward(call.CallHead('q', None, 1, 'begun'))
        self.assertEqual(503, response.status)
        self.assertEqual([], self.client.requests)

    async def test_stream_without_its_first_attempt_needs_one_version(self):
        """Such a caller doesn't tell which stream it takes up."""
        events = self.add('one', 'v1')
        await self.record('v1')
        head = call.CallHead('q', None, 1)
        self.assertTrue(events.endswith(await self.read(head)))
        self.add('two', 'v2')
        self.assertEqual(503, (await self.forward(head)).status)

    async def test_stream_of_a_release_that_has_gone_is_refused(self):
        """The users' report: the rest came from the release that stands.

        Only one release was left when the caller came back, and the answer
        was joined from two.
        """
        self.add('one', 'v1')
        await self.record('v1')
        self.add('two', 'v2')
        self.remove('one')
        for begun_by in ('', 'lost'):
            head = call.CallHead('q', None, 1, begun_by)
            with mock.patch.object(stream_releases, 'FETCH_SECONDS', 0.1):
                self.assertEqual(503, (await self.forward(head)).status)
        self.assertEqual([], self.client.requests)

    async def test_stream_that_was_not_shared_goes_on_at_the_only_release(
        self,
    ):
        """Its gateway lost power before it had shared the release."""
        events = self.add('one', 'v1')
        await self.record('v1')
        head = call.CallHead('q', None, 1, 'lost')
        self.assertTrue(events.endswith(await self.read(head)))

    async def test_replicas_that_stand_prove_nothing(self):
        """A gateway that has just started may see one release of several."""
        self.add('one', 'v1')
        head = call.CallHead('q', None, 1)
        self.assertEqual(503, (await self.forward(head)).status)

    async def test_release_is_in_the_log_before_the_first_event(self):
        events = self.add('one', 'v1')
        self.log.down = True
        with mock.patch.object(streams, 'RECORD_SECONDS', 0.1):
            self.assertEqual(503, (await self.forward()).status)
        self.assertEqual([], self.client.requests)
        self.log.down = False
        self.assertEqual(events, await self.read())
        release = registration.Release('s', 'v1')
        self.assertTrue(self.memory.in_service.is_recorded('h', release))

    async def test_recorded_release_serves_while_another_cannot_be(self):
        """A release that comes in an outage of the log waits for its end."""
        self.add('one', 'v2')
        events = self.add('two', 'v1')
        await self.record('v1')
        self.log.down = True
        with mock.patch.object(streams, 'RECORD_SECONDS', 0.1):
            self.assertEqual(events, await self.read())
        self.assertEqual(0, self.client.count('one:1'))

    async def test_first_event_shares_the_version_of_a_stream(self):
        self.add('one', 'v1')
        self.assertIsNone(self.memory.find('q'))
        await self.read()
        self.assertEqual(
            registration.Release('s', 'v1'), self.memory.find('q')
        )

    async def test_stream_of_a_replica_that_was_replaced_breaks(self):
        """A process of another version answered under the same id."""
        self.add('one', 'v1')
        response = await self.forward()
        await anext(response.chunks)
        self.add('one', 'v2')
        with self.assertRaises(ConnectionResetError):
            await anext(response.chunks)

    async def test_stream_that_broke_before_an_event_may_begin_anywhere(self):
        self.add('one', 'v1', break_after=0)
        events = self.add('two', 'v2')
        self.assertEqual(events, await self.read())


class EndlessStreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams of bytes that are no events."""

    async def read(self, parts):
        async def iterate():
            for part in parts:
                self.read_bytes += len(part)
                yield part

        self.read_bytes = 0
        reply = scripted_replicas.Reply(200, {}, iterate())
        return [
            event.id
            async for event in event_stream.iterate_events(
                reply, plain_adapter.PlainAdapter()
            )
        ]

    async def test_bytes_without_events_break_the_stream(self):
        """They were collected until the process ran out of memory."""
        limit = 2 * event_stream.MAX_EVENT_BYTES
        for part in (b'x' * 5000, b': x\n\n' * 1000, b'\n' * 5000):
            with self.subTest(part[:5]):
                parts = itertools.repeat(part, 2 * limit // len(part))
                with self.assertRaises(client.BrokenError):
                    await self.read(itertools.chain(EVENTS[:1], parts))
                self.assertLess(self.read_bytes, limit)


class ParseEventTest(unittest.TestCase):
    """Parsing of the lines of one event."""

    def parse(self, raw):
        return event_stream.parse_event(raw, plain_adapter.PlainAdapter())

    def test_data_lines_are_joined(self):
        event = self.parse(b'id: 3\ndata: a\ndata:b')
        self.assertEqual(
            (3, 'a\nb', None), (event.id, event.data, event.version)
        )

    def test_leading_version_line_is_split_off(self):
        event = self.parse(b'version:7\nid: 3\ndata: a')
        self.assertEqual((7, 'a'), (event.version, event.data))
