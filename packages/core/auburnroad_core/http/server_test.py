"""Tests the HTTP server, mainly with malformed and incomplete requests."""

import asyncio
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import limits
from auburnroad_core.http import messages
from auburnroad_core.http import server

TIMEOUT_SECONDS = 5.0


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    """An invalid request gets an error and affects no other request."""

    async def asyncSetUp(self):
        self.started = asyncio.Event()
        self.release = asyncio.Event()
        self.cancelled = asyncio.Event()
        small = limits.HttpLimits(header_bytes=2048, body_bytes=1000)
        self.server = server.HttpServer(self.handle, small)
        self.host, self.port = await self.server.start('127.0.0.1', 0)
        self.client = client.HttpClient()

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def break_off(self):
        yield b'part'
        raise ConnectionResetError

    async def handle(self, request):
        if request.path == '/part':
            return messages.Response(200, {}, chunks=self.break_off())
        if request.path == '/fault':
            raise KeyError('no such thing')
        if request.path == '/slow':
            self.started.set()
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        return messages.Response(200, {}, request.body)

    async def fetch(self, target, body=b''):
        request = messages.Request('POST', target, {}, body)
        return await self.client.fetch(
            f'{self.host}:{self.port}', request, TIMEOUT_SECONDS
        )

    async def send_raw(self, data):
        reader, writer = await asyncio.open_connection(self.host, self.port)
        writer.write(data)
        response = await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS)
        writer.close()
        return response

    async def test_exception_of_a_handler_is_answered_with_status_500(self):
        response = await self.fetch('/fault')
        self.assertEqual(500, response.status)
        self.assertEqual('unknown', response.headers['auburnroad-outcome'])

    async def test_body_over_the_limit_is_rejected_as_not_run(self):
        response = await self.fetch('/', b'x' * 1001)
        self.assertEqual(413, response.status)
        self.assertEqual('not-run', response.headers['auburnroad-outcome'])

    async def test_headers_over_the_limit_are_rejected(self):
        response = await self.send_raw(
            b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 4000 + b'\r\n\r\n'
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 431'))

    async def test_response_to_huge_headers_is_sent_before_the_close(self):
        response = await self.send_raw(
            b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 10_000_000
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 431'))

    async def test_request_after_an_ambiguous_length_is_not_run(self):
        response = await self.send_raw(
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
            b'GET /fault HTTP/1.1\r\nhost: a\r\n\r\n'
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 400'))
        self.assertEqual(1, response.count(b'HTTP/1.1'))

    async def test_incomplete_headers_time_out(self):
        self.server.limits = limits.HttpLimits(header_seconds=0.05)
        response = await self.send_raw(b'GET / HTTP/1.1\r\nhost: a\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 408'))

    async def test_incomplete_body_times_out(self):
        self.server.limits = limits.HttpLimits(idle_seconds=0.05)
        head = b'POST / HTTP/1.1\r\nhost: a\r\n'
        for rest in (
            b'content-length: 5\r\n\r\nab',
            b'transfer-encoding: chunked\r\n\r\nffffffff\r\nab',
        ):
            with self.subTest(rest=rest):
                response = await self.send_raw(head + rest)
                self.assertTrue(response.startswith(b'HTTP/1.1 408'))

    async def test_body_that_is_broken_off_has_no_end(self):
        """To a caller of HTTP/1.0, a close of the connection is the end."""
        response = await self.send_raw(
            b'GET /part HTTP/1.1\r\nhost: a\r\n\r\n'
        )
        self.assertNotIn(b'0\r\n\r\n', response)
        with self.assertRaises(ConnectionResetError):
            await self.send_raw(b'GET /part HTTP/1.0\r\n\r\n')

    async def test_idle_connection_is_closed(self):
        self.server.limits = limits.HttpLimits(idle_seconds=0.05)
        self.assertEqual(b'', await self.send_raw(b''))

    async def test_error_response_does_not_quote_the_request(self):
        response = await self.send_raw(b'SECRET' * 50 + b'\r\n\r\n')
        self.assertNotIn(b'SECRET', response)

    async def test_log_does_not_quote_a_malformed_request(self):
        """Guards against API keys in the log."""
        for line in (b'authorization : Bearer KEY', b'Bearer KEY'):
            with self.assertLogs(level='INFO') as logs:
                await self.send_raw(
                    b'GET / HTTP/1.1\r\nhost: a\r\n' + line + b'\r\n\r\n'
                )
            self.assertIn('illegal header line', ''.join(logs.output))
            self.assertNotIn('KEY', ''.join(logs.output))

    async def test_malformed_http_is_rejected(self):
        response = await self.send_raw(b'nonsense\r\n\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 400'))

    async def test_disconnected_caller_cancels_its_handler(self):
        _, writer = await asyncio.open_connection(self.host, self.port)
        writer.write(b'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n')
        await asyncio.wait_for(self.started.wait(), TIMEOUT_SECONDS)
        writer.close()
        await asyncio.wait_for(self.cancelled.wait(), TIMEOUT_SECONDS)

    async def test_drain_lets_requests_in_flight_finish(self):
        work = asyncio.create_task(self.fetch('/slow', b'whole'))
        await asyncio.wait_for(self.started.wait(), TIMEOUT_SECONDS)
        drain = asyncio.create_task(self.server.drain(TIMEOUT_SECONDS))
        await asyncio.sleep(0)
        self.release.set()
        self.assertTrue(await drain)
        self.assertEqual(b'whole', (await work).body)
