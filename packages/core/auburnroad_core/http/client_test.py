"""Tests the HTTP client and its connection pool."""

import asyncio
import unittest
from unittest import mock

from auburnroad_core.http import client
from auburnroad_core.http import connections
from auburnroad_core.http import messages
from auburnroad_core.http import server


class FetchTest(unittest.IsolatedAsyncioTestCase):
    """A complete response counts even if the server closes afterwards."""

    async def asyncSetUp(self):
        async def handle(request):
            return messages.Response(200, self.headers, b'whole')

        self.headers = {}
        self.server = server.HttpServer(handle)
        host, port = await self.server.start('127.0.0.1', 0)
        self.address = f'{host}:{port}'
        self.client = client.HttpClient()
        self.addAsyncCleanup(self.server.close)
        self.addCleanup(self.client.close)

    async def fetch(self):
        request = messages.Request('GET', '/', {})
        response = await self.client.fetch(self.address, request, 5.0)
        return response.body

    async def test_response_is_returned_when_the_server_closes(self):
        self.headers = {'connection': 'close'}
        self.assertEqual(b'whole', await self.fetch())
        self.assertEqual(b'whole', await self.fetch())

    async def test_second_request_succeeds_after_the_first(self):
        self.assertEqual(b'whole', await self.fetch())
        self.assertEqual(b'whole', await self.fetch())

    async def test_malformed_idle_timeout_is_ignored(self):
        """The number has more digits than int() converts."""
        for value in ('timeout=' + '9' * 5000, 'timeout=\xb2', 'timeout=-1'):
            self.headers = {'keep-alive': value}
            self.assertEqual(b'whole', await self.fetch())

    async def test_address_that_is_none_raises_connect_error(self):
        request = messages.Request('GET', '/', {})
        for address in ('127.0.0.1:65536', '127.0.0.1:-1', '127.0.0.1:x', ''):
            with self.assertRaises(client.ConnectError, msg=address):
                await self.client.fetch(address, request, 5.0)

    async def test_request_given_up_with_its_right_is_reset(self):
        """An order arrived after its sender had stopped waiting for it."""
        ends = asyncio.Queue()

        async def handle(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            try:
                ends.put_nowait(await reader.read())
            except ConnectionResetError as error:
                ends.put_nowait(error)
            writer.close()

        listener = await asyncio.start_server(handle, '127.0.0.1', 0)
        host, port = listener.sockets[0].getsockname()
        request = messages.Request('GET', '/', {})
        for may_send, end in ((None, bytes), (lambda: True, OSError)):
            with self.assertRaises(client.BrokenError):
                await self.client.fetch(
                    f'{host}:{port}', request, 0.1, may_send
                )
            self.assertIsInstance(await ends.get(), end)
        listener.close()

    async def test_request_that_must_no_longer_be_sent_is_not_run(self):
        """Its sender lost the right to send it while it connected."""
        request = messages.Request('GET', '/', {})
        with self.assertRaises(client.ConnectError):
            await self.client.open(
                self.address, request, may_send=lambda: False
            )


class StrayResponseTest(unittest.IsolatedAsyncioTestCase):
    """Responses that belong to no request are never returned.

    A server may send more responses than it received requests.
    """

    async def serve(self, *responses):
        """Start a server that sends the next bytes for each request."""
        remaining = list(responses)

        async def accept(reader, writer):
            self.connections += 1
            while remaining and await reader.readuntil(b'\r\n\r\n'):
                writer.write(remaining.pop(0))

        self.connections = 0
        listener = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(listener.close)
        host, port = listener.sockets[0].getsockname()
        return f'{host}:{port}'

    def build_response(self, name):
        body = name.encode()
        return b'HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: %d\r\n\r\n%s' % (
            body,
            len(body),
            body,
        )

    async def fetch(self, http_client, address, name, fresh=False):
        def is_own(headers):
            return headers['id'] == name

        request = messages.Request('GET', '/', {})
        reply = await http_client.open(address, request, is_own, fresh)
        return await reply.read()

    async def test_late_copy_of_a_response_is_skipped(self):
        first, second = self.build_response('a'), self.build_response('b')
        address = await self.serve(first, first + second)
        http_client = client.HttpClient()
        self.addCleanup(http_client.close)
        self.assertEqual(b'a', await self.fetch(http_client, address, 'a'))
        self.assertEqual(b'b', await self.fetch(http_client, address, 'b'))
        self.assertEqual(1, self.connections)

    async def test_connection_with_bytes_after_a_response_is_closed(self):
        address = await self.serve(
            self.build_response('a') + self.build_response('x'),
            self.build_response('b'),
        )
        http_client = client.HttpClient()
        self.addCleanup(http_client.close)
        self.assertEqual(b'a', await self.fetch(http_client, address, 'a'))
        self.assertEqual(b'b', await self.fetch(http_client, address, 'b'))
        self.assertEqual(2, self.connections)

    async def test_request_with_fresh_opens_a_new_connection(self):
        address = await self.serve(
            self.build_response('a'), self.build_response('b')
        )
        http_client = client.HttpClient()
        self.addCleanup(http_client.close)
        await self.fetch(http_client, address, 'a')
        await self.fetch(http_client, address, 'b', fresh=True)
        self.assertEqual(2, self.connections)


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Connections that carry nothing more, while new ones work."""

    RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'

    async def asyncSetUp(self):
        self.connections = 0
        self.silent = 0
        listener = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        self.addCleanup(listener.close)
        host, port = listener.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def accept(self, reader, writer):
        self.connections += 1
        number = self.connections
        while await reader.readuntil(b'\r\n\r\n'):
            if number > self.silent:
                writer.write(self.RESPONSE)

    async def fetch(self, http_client, timeout_seconds=10.0):
        request = messages.Request('GET', '/', {})
        return await http_client.fetch(self.address, request, timeout_seconds)

    async def open_two(self, **options):
        http_client = client.HttpClient(**options)
        self.addCleanup(http_client.close)
        await asyncio.gather(self.fetch(http_client), self.fetch(http_client))
        self.assertEqual(2, self.connections)
        return http_client

    async def test_idle_connections_are_discarded_after_a_silent_one(self):
        """Each retry met one more silent connection of the pool."""
        http_client = await self.open_two()
        self.silent = 2
        with self.assertRaises(client.BrokenError):
            await self.fetch(http_client, 2 * connections.SILENCE_SECONDS)
        await self.fetch(http_client)
        self.assertEqual(3, self.connections)

    @mock.patch.object(connections, 'SILENCE_SECONDS', 60.0)
    async def test_idle_connections_stay_if_a_request_ends_soon(self):
        http_client = await self.open_two()
        self.silent = 2
        call = asyncio.create_task(self.fetch(http_client))
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.silent = 0
        await self.fetch(http_client)
        self.assertEqual(2, self.connections)

    async def test_connection_is_not_reused_beyond_the_idle_limit(self):
        """After all connections went silent, every path failed in turn."""
        http_client = await self.open_two(max_idle_seconds=0.0)
        await self.fetch(http_client)
        self.assertEqual(3, self.connections)
