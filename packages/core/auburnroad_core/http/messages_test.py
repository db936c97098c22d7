"""Tests that headers pass through server and client unchanged."""

import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.http import server


class HeadersTest(unittest.IsolatedAsyncioTestCase):
    """Header values are received byte for byte as they were sent."""

    async def test_non_ascii_bytes_are_kept_in_both_directions(self):
        async def echo_header(request):
            headers = {'x-name': request.headers['x-name']}
            return messages.Response(200, headers)

        http = server.HttpServer(echo_header)
        host, port = await http.start('127.0.0.1', 0)
        self.addAsyncCleanup(http.close)
        http_client = client.HttpClient()
        self.addCleanup(http_client.close)
        value = 'Szövetkezet'.encode().decode('latin-1')
        request = messages.Request('GET', '/', {'x-name': value})
        response = await http_client.fetch(f'{host}:{port}', request, 5.0)
        self.assertEqual(value, response.headers['x-name'])
