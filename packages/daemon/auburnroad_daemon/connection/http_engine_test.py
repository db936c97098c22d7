"""Tests that an engine's answer without end is given up."""

import asyncio
import contextlib
import unittest

from auburnroad_core.http import client
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import http_engine

BUDGET_BYTES = 1 << 20
# What the sockets of both ends may hold beyond what the client has read.
SOCKET_BYTES = 16 << 20
TIMEOUT_SECONDS = 30.0
FILLER = b'x' * 8192
HEADS = {
    'no response': b'',
    'head': b'HTTP/1.1 200 OK\r\na: ',
    'body': b'HTTP/1.1 200 OK\r\n\r\n',
    'error': b'HTTP/1.1 500 Error\r\n\r\n',
}


class EndlessEngineTest(unittest.IsolatedAsyncioTestCase):
    """An engine that sends bytes until its caller closes."""

    async def serve(self, head):
        self.sent_bytes = 0

        async def accept(reader, writer):
            self.addCleanup(writer.close)
            with contextlib.suppress(OSError):
                writer.write(head)
                while True:
                    writer.write(FILLER)
                    await writer.drain()
                    # drain() returns at once while the socket has room.
                    await asyncio.sleep(0)
                    self.sent_bytes += len(FILLER)

        listener = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(listener.close)
        host, port = listener.sockets[0].getsockname()
        http_client = client.HttpClient(body_budget_bytes=BUDGET_BYTES)
        self.addCleanup(http_client.close)
        return http_engine.HttpEngine(f'{host}:{port}', http_client)

    async def assert_given_up(self, call):
        for name, head in HEADS.items():
            with self.subTest(name):
                subject = await self.serve(head)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    with self.assertRaises(engine.EngineError):
                        await call(subject)
                self.assertLess(self.sent_bytes, BUDGET_BYTES + SOCKET_BYTES)

    # Guards against a line without end that took the memory of a side.
    async def test_endless_completion_breaks(self):
        async def complete(subject):
            async for _ in subject.complete({}):
                pass

        await self.assert_given_up(complete)

    async def test_endless_report_breaks(self):
        await self.assert_given_up(lambda subject: subject.read_load())

    async def test_endless_answer_to_an_order_breaks(self):
        await self.assert_given_up(
            lambda subject: subject.order(
                engine.Order('load_version', 'm', 2, 1, 'a:1')
            )
        )
