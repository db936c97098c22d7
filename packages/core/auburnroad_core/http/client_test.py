"""Tests of the HTTP client."""

import asyncio
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.http import server


class FetchTest(unittest.IsolatedAsyncioTestCase):
    """A whole answer is an answer, however its connection ends."""

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

    async def test_takes_an_answer_whose_server_closes(self):
        self.headers = {'connection': 'close'}
        self.assertEqual(b'whole', await self.fetch())
        self.assertEqual(b'whole', await self.fetch())

    async def test_uses_a_connection_again(self):
        self.assertEqual(b'whole', await self.fetch())
        self.assertEqual(b'whole', await self.fetch())


class StrayAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A server that sends more answers than it was asked for."""

    async def serve(self, *answers):
        """Answer each request with the next bytes."""
        left = list(answers)

        async def accept(reader, writer):
            self.connections += 1
            while left and await reader.readuntil(b'\r\n\r\n'):
                writer.write(left.pop(0))

        self.connections = 0
        listener = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(listener.close)
        host, port = listener.sockets[0].getsockname()
        return f'{host}:{port}'

    def build(self, name):
        body = name.encode()
        return b'HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: %d\r\n\r\n%s' % (
            body,
            len(body),
            body,
        )

    async def fetch(self, subject, address, name, fresh=False):
        def is_own(headers):
            return headers['id'] == name

        request = messages.Request('GET', '/', {})
        reply = await subject.open(address, request, is_own, fresh)
        return await reply.read()

    async def test_a_late_copy_is_passed_over(self):
        first, second = self.build('a'), self.build('b')
        address = await self.serve(first, first + second)
        subject = client.HttpClient()
        self.addCleanup(subject.close)
        self.assertEqual(b'a', await self.fetch(subject, address, 'a'))
        self.assertEqual(b'b', await self.fetch(subject, address, 'b'))
        self.assertEqual(1, self.connections)

    async def test_bytes_behind_an_answer_end_the_connection(self):
        address = await self.serve(
            self.build('a') + self.build('x'), self.build('b')
        )
        subject = client.HttpClient()
        self.addCleanup(subject.close)
        self.assertEqual(b'a', await self.fetch(subject, address, 'a'))
        self.assertEqual(b'b', await self.fetch(subject, address, 'b'))
        self.assertEqual(2, self.connections)

    async def test_a_fresh_connection_is_asked_for(self):
        address = await self.serve(self.build('a'), self.build('b'))
        subject = client.HttpClient()
        self.addCleanup(subject.close)
        await self.fetch(subject, address, 'a')
        await self.fetch(subject, address, 'b', fresh=True)
        self.assertEqual(2, self.connections)
