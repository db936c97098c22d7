"""Tests of the HTTP client."""

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
