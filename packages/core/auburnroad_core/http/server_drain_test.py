"""Tests what callers get whose requests meet the drain of a server."""

import asyncio
import socket
import unittest

from auburnroad_core.http import messages
from auburnroad_core.http import server

TIMEOUT_SECONDS = 5.0
REQUEST = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nwhole'
EMPTY_REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
SLOW_REQUEST = b'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n'
# More than a socket with small buffers takes, less than asyncio buffers before
# it lets a writer wait.
LARGE_BODY = b'x' * 60_000


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Whatever has been received whole is answered before a drain ends."""

    async def asyncSetUp(self):
        self.started = asyncio.Event()
        self.server = server.HttpServer(self.handle)
        self.host, self.port = await self.server.start('127.0.0.1', 0)
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request):
        if request.path == '/slow':
            self.started.set()
            await asyncio.Event().wait()
        return messages.Response(200, {}, request.body or LARGE_BODY)

    async def connect(self, **options):
        opened = await asyncio.open_connection(self.host, self.port, **options)
        self.addCleanup(opened[1].close)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.server.connections:
                await asyncio.sleep(0)
        return opened

    async def read(self, reader):
        return await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS)

    async def test_request_received_as_drain_begins_is_answered(self):
        """Its connection was closed as an idle one, without an answer."""
        reader, writer = await self.connect()
        writer.write(REQUEST)
        self.assertTrue(await self.server.drain(TIMEOUT_SECONDS))
        response = await self.read(reader)
        self.assertTrue(response.startswith(b'HTTP/1.1 200'))
        self.assertIn(b'connection: close', response)

    async def test_idle_connection_is_closed(self):
        reader, _ = await self.connect()
        self.assertTrue(await self.server.drain(TIMEOUT_SECONDS))
        self.assertEqual(b'', await self.read(reader))

    async def test_request_received_in_part_may_be_completed(self):
        """Its connection was closed although there was time left."""
        reader, writer = await self.connect()
        writer.write(REQUEST[:-2])
        async with asyncio.timeout(TIMEOUT_SECONDS):
            (connection,) = self.server._connections
            while connection._h11.their_state is not server.h11.SEND_BODY:
                await asyncio.sleep(0)
        drain = asyncio.create_task(self.server.drain(TIMEOUT_SECONDS))
        await asyncio.sleep(0)
        writer.write(REQUEST[-2:])
        self.assertTrue(await drain)
        self.assertTrue((await self.read(reader)).endswith(b'whole'))

    async def test_request_that_outlasts_drain_is_answered_with_504(self):
        """Its connection was closed without an answer."""
        reader, writer = await self.connect()
        writer.write(SLOW_REQUEST)
        await asyncio.wait_for(self.started.wait(), TIMEOUT_SECONDS)
        self.assertTrue(await self.server.drain(0.5))
        response = await self.read(reader)
        self.assertTrue(response.startswith(b'HTTP/1.1 504'))
        self.assertIn(b'auburnroad-outcome: unknown', response)

    async def test_drain_waits_until_kernel_has_the_response(self):
        """A process that ended right after a drain truncated responses."""
        self.server.draining = True
        listener = self.server._server.sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        caller.connect((self.host, self.port))
        caller.setblocking(False)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await loop.sock_sendall(caller, EMPTY_REQUEST)
            parts = [await loop.sock_recv(caller, 12)]
            drain = asyncio.create_task(self.server.drain(TIMEOUT_SECONDS))
            await asyncio.wait((drain,), timeout=0.05)
            self.assertFalse(drain.done())
            while parts[-1]:
                parts.append(await loop.sock_recv(caller, server.READ_BYTES))
        self.assertTrue(b''.join(parts).endswith(LARGE_BODY))
        self.assertTrue(await drain)
