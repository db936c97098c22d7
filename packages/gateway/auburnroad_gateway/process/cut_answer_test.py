"""Tests that an answer cut in its head never reaches a caller as a whole one.

A gateway on loopback sends requests to replicas that stop at each byte of the
head of their answer and close or reset the connection. The id of a request
names the cut.
"""

import asyncio
import json
import unittest
from unittest import mock

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.directory import replica as replicas
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.process import gateway
from auburnroad_gateway.process import gateway_test
from auburnroad_standins import cutting_server
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

REPLICAS = 3
SLOTS = 1000
CONCURRENT_CALLERS = 32
BODY = b'whole body'
# Part of a head, sent before an answer whose body ends with its connection.
STRAY = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\nage: '
EVENTS = [scripted_replicas.build_event(number) for number in range(4)]
# The replica that begins a stream breaks it off behind these events.
FIRST_EVENTS = 2
LAST_EVENT_ID = str(FIRST_EVENTS - 1)
IDEMPOTENT = configuration.RouteKind.IDEMPOTENT
STREAM = configuration.RouteKind.STREAM


def build_route(prefix, kind, **options):
    """Build a route to the service 's'."""
    return configuration.Route(
        prefix, 'h', prefix, kind, (configuration.Backend('s'),), **options
    )


CONFIGURATION = configuration.Configuration(
    1,
    (
        build_route('/plain/', IDEMPOTENT, max_attempts=2),
        build_route('/once/', configuration.RouteKind.ONCE),
        build_route(
            '/hedged/',
            IDEMPOTENT,
            max_attempts=2,
            target_latency_ms=20,
            timeout_ms=200,
        ),
        build_route('/stream/', STREAM),
        build_route('/resumed/', STREAM, resumable=True, max_attempts=2),
        build_route('/mended/', STREAM, resumable=True, max_attempts=3),
        build_route('/batch/', configuration.RouteKind.BATCH, max_attempts=2),
        build_route('/reward/', IDEMPOTENT, max_attempts=2),
    ),
    {'s': configuration.Service('s', models=('m',))},
)


def build_answer(request_id, framing, parts, signed='whole'):
    """Build the head and the body of an answer."""
    headers = {'id': request_id, 'signed': signed}
    return cutting_server.FRAMINGS[framing].build(headers, parts)


def cut_answer(name, parts):
    """Cut an answer as the id of its request says."""
    framing, size, ending = name.split('.')
    answer = b''.join(build_answer(name, framing, parts, 'cut'))
    return cutting_server.Script(
        (answer[: int(size)],), cutting_server.Ending(ending)
    )


def list_cuts(framing, parts):
    """List the ids of requests whose answers are cut up to the head's end.

    A body without a length that ends behind its head is whole, unless its
    connection is reset.
    """
    names = []
    for ending in cutting_server.CUT_ENDINGS:
        sample = f'{framing}.000.{ending.value}'
        head, _ = build_answer(sample, framing, parts, 'cut')
        size = len(head)
        if not cutting_server.FRAMINGS[framing].is_whole(b'', ending):
            size += 1
        names.extend(f'{framing}.{n:03}.{ending.value}' for n in range(size))
    return names


class CutAnswerTest(unittest.IsolatedAsyncioTestCase):
    """One gateway and three replicas that cut their answers."""

    async def asyncSetUp(self):
        # Debugging would take most of the time of some thousand requests.
        asyncio.get_running_loop().set_debug(False)
        # Replicas are used again at once.
        self.enterContext(
            mock.patch.object(replicas, 'AVOID_MAX_SECONDS', 0.0)
        )
        self.log = partition_log.PartitionLog()
        self.put('operator_topic', 'configuration', CONFIGURATION)
        self.attempts = {}
        self.servers = [
            cutting_server.CuttingServer(self.answer) for _ in range(REPLICAS)
        ]
        for number, server in enumerate(self.servers):
            await server.start()
            self.addAsyncCleanup(server.close)
            self.register(f'r{number}', server.address)
        self.gateway = gateway.Gateway(
            gateway_test.build_settings('one'), gateway_test.Adapter(self.log)
        )
        await self.gateway.start()
        self.addAsyncCleanup(self.gateway.close)
        self.client = client.HttpClient()
        self.addCleanup(self.client.close)
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while len(self.gateway._directory.list_ready('s')) != REPLICAS:
                await asyncio.sleep(0.01)

    def put(self, topic, key, value):
        self.log.put(
            getattr(plain_adapter.PlainAdapter, topic),
            key,
            msgspec.json.encode(value),
        )

    def register(self, replica_id, address):
        entry = {
            'id': replica_id,
            'service': 's',
            'address': address,
            'failure_domain': 'a',
            'slots': SLOTS,
            'state': 'ready',
            'versions': {'m': 1},
        }
        self.put('replica_topic', replica_id, entry)

    def answer(self, request):
        """Tell what a replica sends."""
        name = request.headers['id']
        kind = request.path.split('/')[1]
        attempt = self.attempts.get((kind, name), 0) + 1
        self.attempts[kind, name] = attempt
        after = int(request.headers.get('after', '-1'))
        if name == 'whole':
            return cutting_server.Script(build_answer(name, 'length', [BODY]))
        if kind in ('resumed', 'mended') and after < 0:
            head, body = build_answer(name, 'chunked', EVENTS)
            size = body.index(EVENTS[FIRST_EVENTS])
            return cutting_server.Script(
                (head, body[:size]), cutting_server.Ending.CLOSE
            )
        if name == 'joined':
            answer = build_answer(name, 'until-close', [BODY])
            return cutting_server.Script(
                (STRAY, *answer), cutting_server.Ending.CLOSE
            )
        if kind == 'hedged' and attempt == 1:
            return None
        is_plain = kind in ('plain', 'once', 'hedged', 'reward')
        parts = [BODY] if is_plain else EVENTS[after + 1 :]
        if (kind, attempt) in (('mended', 3), ('batch', 2), ('reward', 2)):
            return cutting_server.Script(build_answer(name, 'length', parts))
        return cut_answer(name, parts)

    async def send(self, target, **headers):
        """Send a request.

        Returns:
          Status, body as far as it came, and whether the body has an end.
        """
        request = messages.Request('POST', target, {'host': 'h', **headers})
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            reply = await self.client.open(
                self.gateway.addresses['callers'], request
            )
            parts = []
            try:
                async for part in reply.iterate():
                    parts.append(part)
            except client.BrokenError:
                return reply.status, b''.join(parts), False
        return reply.status, b''.join(parts), True

    async def check_all(self, kind, framings, expected, parts, **headers):
        """Check the answers to requests of a kind, one for each cut."""
        limit = asyncio.Semaphore(CONCURRENT_CALLERS)

        async def send(name):
            async with limit:
                return await self.send(f'/{kind}/{name}', id=name, **headers)

        names = [
            name for framing in framings for name in list_cuts(framing, parts)
        ]
        answers = await asyncio.gather(*(send(name) for name in names))
        for name, answer in zip(names, answers):
            with self.subTest(kind=kind, cut=name):
                self.assertIn(answer, expected)

    async def test_plain_answer_is_502(self):
        """Callers got a 200 with an empty or a short body, framed as whole."""
        failed = (502, b'{"error":{"code":"no_answer"}}', True)
        for kind in ('plain', 'once'):
            await self.check_all(
                kind, ('length', 'until-close'), [failed], [BODY]
            )

    async def test_plain_answer_on_a_kept_connection_is_502(self):
        names = list_cuts('length', [BODY])
        for name in names:
            with self.subTest(cut=name):
                whole = await self.send('/plain/', id='whole')
                self.assertEqual((200, BODY, True), whole)
                status, _, _ = await self.send(f'/plain/{name}', id=name)
                self.assertEqual(502, status)
        kept = sum(server.kept_requests for server in self.servers)
        self.assertGreaterEqual(kept, len(names))

    async def test_answer_behind_a_part_of_another_head_is_502(self):
        """Callers got a 200 with an empty body, framed as whole."""
        status, _, _ = await self.send('/once/', id='joined')
        self.assertEqual(502, status)

    async def test_hedged_answer_is_504(self):
        timed_out = (504, b'{"error":{"code":"timed_out"}}', True)
        await self.check_all('hedged', ['length'], [timed_out], [BODY])

    async def test_stream_does_not_begin_or_has_no_end(self):
        """A stream that had not begun ended as if it were complete."""
        framings = ('chunked', 'until-close')
        failed = (502, b'{"error":{"code":"no_answer"}}', True)
        await self.check_all(
            'stream', framings, [failed, (200, b'', False)], EVENTS
        )
        rest = EVENTS[FIRST_EVENTS:]
        # Streams are taken up at a release that has begun one.
        await self.send('/resumed/', id=list_cuts('length', rest)[0])
        await self.check_all(
            'resumed',
            framings,
            [failed, (200, b'', False)],
            rest,
            after=LAST_EVENT_ID,
        )

    async def test_resumed_stream_has_no_end(self):
        """The cut head of the next replica became part of the stream."""
        begun = b''.join(EVENTS[:FIRST_EVENTS])
        await self.check_all(
            'resumed',
            ('chunked', 'until-close'),
            [(200, begun, False)],
            EVENTS[FIRST_EVENTS:],
        )

    async def test_stream_goes_on_behind_a_cut_head(self):
        await self.check_all(
            'mended',
            ('chunked', 'until-close'),
            [(200, b''.join(EVENTS), True)],
            EVENTS[FIRST_EVENTS:],
        )

    async def test_item_and_its_score_are_whole(self):
        """A cut answer must neither end a text nor be a score."""
        names = list_cuts('chunked', EVENTS)
        items = [
            batch.Item(
                name,
                f'/batch/{name}',
                {},
                b'',
                10,
                'g',
                reward=call.RewardCall(name, 'h', f'/reward/{name}', b''),
            )
            for name in names
        ]
        submission = msgspec.structs.replace(
            fold_test.build_submission(), path='/batch/', items=items
        )
        request = messages.Request(
            'POST',
            '/batch/',
            {'host': 'h'},
            msgspec.msgpack.encode(submission),
        )
        address = self.gateway.addresses['callers']
        response = await self.client.fetch(
            address, request, gateway_test.TIMEOUT_SECONDS
        )
        self.assertEqual(202, response.status)
        results = []
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while len(results) < len(names):
                _, page, _ = await self.send('/', batch='b', verb='read')
                results = json.loads(page)[2]
        text = '\n'.join(str(number) for number in range(len(EVENTS)))
        for item_id, outcome, found, _, score in results:
            with self.subTest(cut=item_id):
                self.assertEqual(
                    ('succeeded', text, 'whole'), (outcome, found, score)
                )
        self.assertEqual(sorted(names), sorted(entry[0] for entry in results))
