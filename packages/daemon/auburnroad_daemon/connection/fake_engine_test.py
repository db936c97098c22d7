"""A fake engine for the tests of the side, and tests of the HTTP client."""

import asyncio
import unittest

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import http_engine

GATE_TIMEOUT_SECONDS = 10.0


class FakeEngine:
    """Answers each completion with max_tokens tokens of one letter each.

    Attributes:
      versions: Weight versions to report, by model.
      gate: Event that must be set before any token after the first is sent.
      runs: Ids of the completions, in the order of their arrival.
      cancelled: Ids of the cancelled requests.
      orders: Received orders.
      order_statuses: HTTP status codes to answer the next orders with.
      break_after: Number of tokens after which a stream is cut, or None.
      reason: Finish reason of the completions.
    """

    def __init__(self):
        self.versions = {'m': 1}
        self.gate = asyncio.Event()
        self.gate.set()
        self.runs: list[str] = []
        self.cancelled: list[str] = []
        self.orders: list[engine.Order] = []
        self.order_statuses: list[int] = []
        self.break_after: int | None = None
        self.reason = 'length'
        self.address = ''
        self._server = server.HttpServer(self._handle)

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        host, port = await self._server.start('127.0.0.1', 0)
        self.address = f'{host}:{port}'
        return self.address

    async def stop(self) -> None:
        """Close the server and all its connections."""
        await self._server.close()

    async def _handle(self, request):
        if request.path == '/load':
            load = engine.EngineLoad(
                0, 0, 8, self.versions, at_ms=clock.time_now_ms()
            )
            return messages.build_json_response(200, load)
        if request.path == '/cancel':
            self.cancelled.append(
                msgspec.json.decode(request.body)['request_id']
            )
            return messages.build_json_response(200, {'cancelled': True})
        if request.path == '/orders':
            return self._handle_order(request)
        if request.path == '/v1/completions':
            completion = msgspec.json.decode(
                request.body, type=engine.Completion
            )
            self.runs.append(completion.request_id)
            return messages.Response(200, chunks=self._generate(completion))
        return messages.Response(200, request.headers, request.body)

    def _handle_order(self, request):
        order = msgspec.json.decode(request.body, type=engine.Order)
        self.orders.append(order)
        if self.order_statuses:
            return messages.build_json_response(self.order_statuses.pop(0), {})
        self.versions[order.model] = order.version
        return messages.build_json_response(200, {'versions': self.versions})

    async def _generate(self, completion):
        for index in range(completion.max_tokens):
            if index == self.break_after:
                raise ConnectionResetError('stream cut by the test')
            if index:
                async with asyncio.timeout(GATE_TIMEOUT_SECONDS):
                    await self.gate.wait()
            last = index + 1 == completion.max_tokens
            event = engine.Tokens(
                'x',
                1,
                self.versions.get(completion.model, 0),
                index,
                self.reason if last else None,
            )
            yield messages.build_server_sent_event(msgspec.json.encode(event))
        yield messages.build_server_sent_event(http_engine.END_OF_STREAM)


class HttpEngineTest(unittest.IsolatedAsyncioTestCase):
    """Each failure raises the error that tells whether the request ran.

    A request reported as not run although the engine has received it would
    be repeated, and would run twice.
    """

    async def asyncSetUp(self):
        self.fake = FakeEngine()
        await self.fake.start()
        self.http_client = client.HttpClient()
        self.engine = http_engine.HttpEngine(
            self.fake.address, self.http_client
        )

    async def asyncTearDown(self):
        self.http_client.close()
        await self.fake.stop()

    async def complete(self):
        completion = engine.Completion('r1', 'm', 'p', 3)
        return [
            event
            async for events in self.engine.complete(completion)
            for event in events
        ]

    async def test_complete_yields_tokens_with_versions_and_finish_reason(
        self,
    ):
        events = await self.complete()
        self.assertEqual([1, 1, 1], [event.version for event in events])
        self.assertEqual('length', events[-1].finish_reason)

    async def test_cut_stream_raises_broken_error(self):
        self.fake.break_after = 1
        with self.assertRaises(engine.EngineBrokenError):
            await self.complete()

    async def test_refused_connection_raises_unreachable_error(self):
        await self.fake.stop()
        with self.assertRaises(engine.EngineUnreachableError):
            await self.complete()

    async def test_stale_fence_and_failed_order_raise_different_errors(self):
        order = engine.Order('load_version', 'm', 2, 2, '127.0.0.1:1')
        self.fake.order_statuses = [409, 500]
        with self.assertRaises(engine.StaleFenceError):
            await self.engine.order(order)
        with self.assertRaises(engine.EngineRejectedError):
            await self.engine.order(order)
        self.assertEqual({'m': 2}, await self.engine.order(order))
