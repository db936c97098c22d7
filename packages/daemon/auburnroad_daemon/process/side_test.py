"""Tests of a complete side with streams, HTTP and a fake engine."""

import asyncio
import unittest
from unittest import mock

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages as http_messages
from auburnroad_core.http import server
from auburnroad_core import refusals
from auburnroad_core.settings import daemon
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream as stream_module
from auburnroad_daemon.connection import fake_engine_test
from auburnroad_daemon.connection import plain
from auburnroad_daemon.process import side as side_module
from auburnroad_daemon.request import run

WAIT_SECONDS = 10.0
REQUEST_TIMEOUT_MS = 60_000


def build_deployment(**limits) -> bytes:
    """Build a configuration with a model service and a plain service."""
    return msgspec.json.encode(
        deployment.Deployment(
            'test',
            ['a'],
            [
                deployment.Service(
                    'llm', 'model', slots_per_replica=2, queue_per_replica=1
                ),
                deployment.Service('api', 'plain'),
            ],
            [deployment.Trainer('t', 'llm', 'm')],
            limits=deployment.Limits(interactive_share=0.0, **limits),
        )
    )


class FakeEntry:
    """An entry that opens a stream to the side and records its messages."""

    def __init__(self, name='entry-1'):
        self.name = name
        self.received: list[messages.Message] = []
        self.versions: dict[str, int] = {}
        self.revision = 7
        self._changed = asyncio.Event()
        self._task = None
        self.stream = None

    async def connect(self, address) -> None:
        """Open the stream and send the Hello message."""
        hello = messages.Hello(
            self.name, 'i', 'entry', 'h', 'a', self.revision, []
        )
        self.stream = await stream_module.open_stream(
            f'{address[0]}:{address[1]}', hello
        )
        self._task = asyncio.ensure_future(
            self.stream.run(self._handle, self._build_heartbeat)
        )

    async def close(self) -> None:
        """Close the stream."""
        self.stream.close()
        await asyncio.wait([self._task])

    def _build_heartbeat(self):
        return messages.Heartbeat(self.revision, False, [], self.versions)

    def _handle(self, peer, message):
        self.received.append(message)
        self._changed.set()

    async def wait_for(self, message_type, request_id=None, **fields):
        """Wait for a message of a type, id and fields; return the first."""
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                for message in self.received:
                    if isinstance(message, message_type) and all(
                        getattr(message, name) == value
                        for name, value in fields.items()
                    ):
                        if request_id in (
                            None,
                            getattr(message, 'request_id', None),
                        ):
                            return message
                self._changed.clear()
                await self._changed.wait()

    def submit(self, request_id, **changes) -> None:
        """Submit a completion whose fields are replaced by the changes."""
        submit = messages.Submit(
            request_id,
            'llm',
            types.RequestClass.SAMPLE,
            clock.time_now_ms() + REQUEST_TIMEOUT_MS,
            True,
            False,
            'POST',
            '/v1/completions',
            {},
            b'{"model": "m", "prompt": "p", "max_tokens": 4}',
            model='m',
            trainer='t',
        )
        self.stream.send(msgspec.structs.replace(submit, **changes))


class SideCase(unittest.IsolatedAsyncioTestCase):
    """A side with one engine and one plain service, connected to an entry."""

    limits: dict = {}

    async def asyncSetUp(self):
        self.engine = fake_engine_test.FakeEngine()
        self.plain = fake_engine_test.FakeEngine()
        address = await self.engine.start()
        plain_address = await self.plain.start()
        self.store = server.HttpServer(self.read_weights)
        store_address = await self.store.start('127.0.0.1', 0)
        self.side = side_module.Side(
            daemon.Daemon(
                'side-1',
                'side',
                'h1',
                'a',
                '127.0.0.1:0',
                '127.0.0.1:0',
                '127.0.0.1:1',
                '127.0.0.1:1',
                f'{store_address[0]}:{store_address[1]}',
                replicas=[
                    daemon.Replica('llm-1', 'llm', address),
                    daemon.Replica('api-1', 'api', plain_address),
                ],
            )
        )
        await self.side.start()
        self.entry = FakeEntry()
        await self.entry.connect(self.side.stream_address)
        self.entry.stream.send(
            messages.Configuration(7, build_deployment(**self.limits))
        )
        await self.wait_until(
            lambda: all(r.health.up for r in self.side.replicas)
        )

    async def asyncTearDown(self):
        await self.side.close()
        await self.entry.close()
        await self.engine.stop()
        await self.plain.stop()
        await self.store.close()

    async def read_weights(self, request):
        return http_messages.Response(200, {}, b'weights')

    async def wait_until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.005)


class SubmitTest(SideCase):
    """A request runs at most once, and a refused request has not run.

    Callers repeat a refused request, so a refusal after the engine has
    received the request would make it run twice.
    """

    async def test_answer_has_text_and_version_spans(self):
        self.entry.submit('r1')
        done = await self.entry.wait_for(messages.Done)
        self.assertEqual('xxxx', done.text)
        self.assertEqual([types.VersionSpan(1, 0, 4)], done.spans)
        self.assertEqual('llm-1', done.replica)
        self.assertEqual(types.Outcome.RUN, done.outcome)
        self.assertEqual('llm', done.loads[1].service)

    async def test_streamed_chunks_join_to_answer(self):
        self.entry.submit('r1', streamed=True)
        done = await self.entry.wait_for(messages.Done)
        chunks = [
            m for m in self.entry.received if isinstance(m, messages.Chunk)
        ]
        self.assertEqual('xxxx', ''.join(chunk.text for chunk in chunks))
        self.assertEqual(done.chunks, len(chunks))
        self.assertEqual('', done.text)
        self.assertEqual(0, chunks[0].spans[0].start)
        self.assertEqual(4, chunks[-1].spans[-1].end)

    async def test_repeated_request_id_does_not_run_again(self):
        self.entry.submit('r1')
        await self.entry.wait_for(messages.Done)
        self.entry.received.clear()
        self.entry.submit('r1')
        await self.entry.wait_for(messages.Done)
        self.assertEqual(['r1'], self.engine.runs)

    async def test_request_to_full_queue_is_refused_at_once(self):
        self.engine.gate.clear()
        for number in range(4):
            self.entry.submit(f'r{number}')
        refused = await self.entry.wait_for(messages.Refused)
        self.assertEqual('r3', refused.request_id)
        self.assertEqual(refusals.OVERLOADED, refused.code)
        self.engine.gate.set()
        await self.entry.wait_for(messages.Done, 'r2')
        self.assertNotIn('r3', self.engine.runs)

    async def test_passed_deadline_and_unknown_service_are_refused(self):
        self.entry.submit('r1', deadline_ms=1)
        refused = await self.entry.wait_for(messages.Refused, 'r1')
        self.assertEqual(refusals.DEADLINE_PASSED, refused.code)
        self.entry.submit('r2', service='other')
        refused = await self.entry.wait_for(messages.Refused, 'r2')
        self.assertEqual(refusals.UNKNOWN_SERVICE, refused.code)
        self.assertEqual([], self.engine.runs)

    async def test_cancelled_waiting_request_is_not_run(self):
        self.engine.gate.clear()
        for number in range(3):
            self.entry.submit(f'r{number}')
        self.entry.stream.send(messages.Cancel('r2'))
        refused = await self.entry.wait_for(messages.Refused, 'r2')
        self.assertEqual(refusals.CANCELLED, refused.code)
        self.entry.stream.send(messages.Cancel('r0'))
        done = await self.entry.wait_for(messages.Done, 'r0')
        self.assertEqual(types.Outcome.UNKNOWN, done.outcome)
        await self.wait_until(lambda: 'r0' in self.engine.cancelled)
        self.assertNotIn('r2', self.engine.runs)

    async def test_cut_engine_stream_gives_unknown_outcome_and_ejects_replica(
        self,
    ):
        self.engine.break_after = 2
        self.entry.submit('r1')
        done = await self.entry.wait_for(messages.Done)
        self.assertEqual(types.Outcome.UNKNOWN, done.outcome)
        self.engine.break_after = None
        self.entry.submit('r2')
        refused = await self.entry.wait_for(messages.Refused)
        self.assertEqual(refusals.NO_REPLICA, refused.code)
        await self.wait_until(lambda: self.side.replicas[0].health.up)
        self.entry.submit('r3')
        await self.entry.wait_for(messages.Done, 'r3')

    async def test_answer_cancelled_by_engine_has_unknown_outcome(self):
        self.engine.reason = 'cancelled'
        self.entry.submit('r1')
        done = await self.entry.wait_for(messages.Done)
        self.assertEqual(types.Outcome.UNKNOWN, done.outcome)
        self.assertTrue(self.side.replicas[0].health.up)

    async def test_engine_silence_ends_request_as_unknown(self):
        self.engine.gate.clear()
        with mock.patch.object(run, 'ENGINE_SILENCE_SECONDS', 0.05):
            self.entry.submit('r1')
            done = await self.entry.wait_for(messages.Done)
        self.assertEqual(types.Outcome.UNKNOWN, done.outcome)
        self.assertEqual('x', done.text)

    async def test_request_to_stopped_engine_is_refused(self):
        await self.engine.stop()
        self.entry.submit('r1')
        refused = await self.entry.wait_for(messages.Refused)
        self.assertEqual(refusals.NO_REPLICA, refused.code)


class PlainCallTest(SideCase):
    """Calls are forwarded once to a plain service, without hop-by-hop headers.

    An answer that can't be forwarded must not count as not run, since the
    service has already run the call.
    """

    def call(self, request_id, **changes):
        call = {
            'service': 'api',
            'model': '',
            'trainer': '',
            'idempotent': False,
            'target': '/lookup?id=1',
            'headers': {'x-tenant': 'a', 'connection': 'close, x-hop'},
            'body': b'payload',
        }
        self.entry.submit(request_id, **{**call, **changes})

    async def test_body_and_end_to_end_headers_are_forwarded(self):
        self.call('r1')
        done = await self.entry.wait_for(messages.Done)
        self.assertEqual(200, done.status)
        self.assertEqual(b'payload', done.body)
        self.assertEqual('a', done.headers['x-tenant'])
        self.assertEqual('r1', done.headers['auburnroad-request-id'])
        self.assertNotIn('connection', done.headers)

    async def test_non_ascii_header_is_forwarded(self):
        self.call('r1', headers={'x-name': 'Szövetkezet'})
        done = await self.entry.wait_for(messages.Done)
        self.assertEqual(types.Outcome.RUN, done.outcome)
        self.assertEqual('Szövetkezet', done.headers['x-name'])

    async def test_too_large_answer_is_reported_as_run(self):
        with mock.patch.object(plain, 'MAX_ANSWER_BYTES', 3):
            self.call('r1')
            done = await self.entry.wait_for(messages.Done)
        self.assertEqual(types.Outcome.RUN, done.outcome)
        self.assertEqual(502, done.status)
        self.assertIn(b'answer_too_large', done.body)
        self.assertTrue(self.side.replicas[1].health.up)

    async def test_call_to_stopped_service_is_refused(self):
        await self.plain.stop()
        self.call('r1')
        refused = await self.entry.wait_for(messages.Refused)
        self.assertEqual(refusals.NO_REPLICA, refused.code)


class VersionTest(SideCase):
    """Announced versions are loaded, and spans name the producing version.

    A failed or stale order must not leave an engine on an older version, and
    a request must not run on a version below its minimum.
    """

    async def test_swap_during_answer_splits_version_spans(self):
        self.engine.gate.clear()
        self.entry.submit('r1')
        await self.wait_until(lambda: self.engine.runs)
        self.entry.versions = {'m': 2}
        await self.wait_until(lambda: self.engine.versions['m'] == 2)
        self.engine.gate.set()
        done = await self.entry.wait_for(messages.Done)
        spans = [types.VersionSpan(1, 0, 1), types.VersionSpan(2, 1, 4)]
        self.assertEqual(spans, done.spans)
        order = self.engine.orders[0]
        self.assertEqual((2, 2), (order.version, order.fence))

    async def test_failed_swap_is_retried(self):
        self.engine.order_statuses = [500, 500]
        self.entry.versions = {'m': 2}
        await self.wait_until(lambda: self.engine.versions['m'] == 2)
        await self.entry.wait_for(messages.Heartbeat, versions={'m': 2})
        self.assertEqual(3, len(self.engine.orders))

    async def test_missing_model_is_loaded(self):
        self.engine.versions.clear()
        self.side.replicas[0].remove_version('m')
        self.entry.versions = {'m': 2}
        await self.wait_until(lambda: self.engine.orders)
        self.assertEqual('load_adapter', self.engine.orders[0].order)

    async def test_version_lowered_by_stale_order_is_swapped_again(self):
        self.entry.versions = {'m': 3}
        await self.wait_until(lambda: self.engine.versions['m'] == 3)
        self.engine.versions['m'] = 2
        await self.wait_until(lambda: self.engine.versions['m'] == 3)

    async def test_request_waits_until_minimum_version_is_loaded(self):
        self.entry.submit('r1', minimum_version=4)
        done = await self.entry.wait_for(messages.Done)
        self.assertEqual([types.VersionSpan(4, 0, 4)], done.spans)

    async def test_request_is_refused_if_version_is_not_loaded(self):
        self.engine.order_statuses = [500] * 100
        self.entry.submit('r1', minimum_version=4)
        refused = await self.entry.wait_for(messages.Refused)
        self.assertEqual(refusals.VERSION_BEHIND, refused.code)
        self.assertEqual([], self.engine.runs)


class ConfigurationTest(SideCase):
    """Revisions never decrease, and outdated peers are updated.

    Messages can arrive late, so an older revision could otherwise replace a
    newer one.
    """

    async def test_lower_revision_is_ignored(self):
        lower = messages.Configuration(6, build_deployment(drain_ms=1))
        self.entry.stream.send(lower)
        self.entry.submit('r1')
        await self.entry.wait_for(messages.Done)
        self.assertEqual(7, self.side.revision)

    async def test_peer_with_lower_revision_is_sent_configuration(self):
        other = FakeEntry('entry-2')
        other.revision = 3
        await other.connect(self.side.stream_address)
        configuration = await other.wait_for(messages.Configuration)
        self.assertEqual(7, configuration.revision)
        self.assertEqual(build_deployment(), configuration.document)
        await other.close()

    async def test_invalid_document_is_ignored(self):
        self.entry.stream.send(messages.Configuration(9, b'{"name": 1}'))
        self.entry.submit('r1')
        await self.entry.wait_for(messages.Done)
        self.assertEqual(7, self.side.revision)
