"""Tests that responses without end are given up with bounded memory.

A server in trouble sends bytes until the client closes the connection, in the
head or the body of a response or in place of one.
"""

import asyncio
import contextlib
import itertools
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages

BUDGET_BYTES = 4 * 1024 * 1024
# What the sockets of both ends may hold beyond what the client has read.
SOCKET_BYTES = 16 * 1024 * 1024
TIMEOUT_SECONDS = 30.0
FILLER = b'x' * 8192
OK = b'HTTP/1.1 200 OK\r\nid: q\r\n'
STRAY = b'HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 2\r\n\r\nno'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'
CHUNK = b'2000\r\n' + FILLER + b'\r\n'
LARGE_STRAY = (
    b'HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 99999999\r\n\r\n'
)


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """One server that sends a first part and then another without end."""

    async def serve(self, first, repeated):
        async def accept(reader, writer):
            self.addCleanup(writer.close)
            await reader.readuntil(b'\r\n\r\n')
            with contextlib.suppress(OSError):
                for part in itertools.chain(
                    [first], itertools.repeat(repeated)
                ):
                    writer.write(part)
                    await writer.drain()
                    # drain() returns at once while the socket has room.
                    await asyncio.sleep(0)
                    self.sent_bytes += len(part)

        self.sent_bytes = 0
        listener = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(listener.close)
        host, port = listener.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self.client = client.HttpClient(body_budget_bytes=BUDGET_BYTES)
        self.addCleanup(self.client.close)

    async def open(self):
        request = messages.Request('GET', '/', {})
        return await self.client.open(
            self.address, request, lambda headers: headers.get('id') == 'q'
        )

    async def test_endless_head_breaks_the_request(self):
        """A client that skipped what is no response never returned."""
        for name, first, repeated in (
            ('no response', b'', FILLER),
            ('header without end', OK + b'a: ', FILLER),
            ('headers without end', OK, b'a: b\r\n'),
            ('interim responses', b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
            ('stray responses', b'', STRAY),
            ('stray body', LARGE_STRAY, FILLER),
            ('chunk size', CHUNKED, b'0' * 8192),
        ):
            with self.subTest(name):
                await self.serve(first, repeated)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    with self.assertRaises(client.BrokenError):
                        reply = await self.open()
                        await reply.read()
                self.assertLess(self.sent_bytes, SOCKET_BYTES)

    async def test_endless_body_is_given_up_within_the_budget(self):
        """A body without end took all memory of the process."""
        for name, first, repeated in (
            ('chunked', CHUNKED, CHUNK),
            ('until close', OK + b'\r\n', FILLER),
            ('long', OK + b'content-length: 9999999999\r\n\r\n', FILLER),
        ):
            with self.subTest(name):
                await self.serve(first, repeated)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    reply = await self.open()
                    with self.assertRaises(client.BrokenError):
                        await reply.read()
                self.assertLess(self.sent_bytes, BUDGET_BYTES + SOCKET_BYTES)
                self.assertEqual(0, self.client.body_budget.used_bytes)

    async def test_endless_body_that_is_not_used_is_not_read(self):
        await self.serve(CHUNKED, CHUNK)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            reply = await self.open()
            await reply.discard()
        self.assertLess(self.sent_bytes, SOCKET_BYTES)


class BodyBudgetTest(unittest.TestCase):
    """Memory that several bodies share."""

    def test_endless_body_leaves_memory_for_others(self):
        budget = client.BodyBudget(100)
        budget.add(50, 50)
        budget.add(25, 25)
        with self.assertRaises(client.BrokenError):
            budget.add(1, 51)
        budget.release(51)
        budget.add(10, 35)
        self.assertEqual(35, budget.used_bytes)
