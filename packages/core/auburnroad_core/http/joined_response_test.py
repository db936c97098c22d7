"""Tests that the beginning of another response becomes no part of one.

A faulty server sends bytes beyond a response, such as the beginning of a head.
The next response on the connection follows them without a line's end.
"""

import asyncio
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import cutting_server

TIMEOUT_SECONDS = 20.0
PARTS = (b'whole', b' body')
BODY = b''.join(PARTS)
HEADERS = {'id': 'q', 'signed': '1'}
FIRST = cutting_server.FRAMINGS['length'].build(HEADERS, PARTS)
STRAYS = (
    b'HTTP/1.1 200 OK\r\nid: other\r\nage: 1\r\ncontent-length: 0\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nage: 1\r\ncontent-length: 0\r\nid: other\r\n\r\n',
)
FAILURE = b'HTTP/1.1 500 Internal Server Error'
FRAMINGS = {
    'length': cutting_server.Framing(FAILURE, length=True),
    'chunked': cutting_server.Framing(FAILURE, chunked=True),
    'until-close': cutting_server.Framing(FAILURE),
}
# Iterations of the event loop in which bytes on loopback are received.
ITERATIONS = 10


class JoinedResponseTest(unittest.IsolatedAsyncioTestCase):
    """One server that sends a part of a head beyond its first response."""

    async def asyncSetUp(self):
        # Debugging would take most of the time of some thousand requests.
        asyncio.get_running_loop().set_debug(False)
        self.scripts = []
        self.server = cutting_server.CuttingServer(
            lambda request: self.scripts.pop(0)
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.client = client.HttpClient()
        self.addCleanup(self.client.close)

    async def fetch(self, *parts, ending=cutting_server.Ending.KEEP):
        """Fetch a response; None if it isn't whole."""
        self.scripts.append(cutting_server.Script(parts, ending))
        request = messages.Request('GET', '/', {})
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                reply = await self.client.open(
                    self.server.address,
                    request,
                    lambda headers: headers.get('id') == 'q',
                )
                return reply.status, await reply.read()
        except client.BrokenError:
            return None

    async def check_all(self, fetch, allowed):
        """Check the failure that follows each part of a stray head."""
        for name, framing in FRAMINGS.items():
            answer = framing.build(HEADERS, PARTS)
            for stray in STRAYS:
                for size in range(1, len(stray) + 1):
                    with self.subTest(name, stray=stray[:size]):
                        response = await fetch(stray[:size], answer)
                        self.assertIn(response, allowed)
                    self.client.close()

    async def test_part_of_a_head_before_a_response_changes_no_status(self):
        """A failure was a success, as its head went on with another one."""

        async def fetch(stray, answer):
            await self.fetch(*FIRST)
            return await self.fetch(
                stray, *answer, ending=cutting_server.Ending.CLOSE
            )

        await self.check_all(fetch, [(500, BODY), None])

    async def test_connection_that_receives_bytes_while_idle_is_not_used(self):
        """The bytes became the beginning of the next response."""

        async def fetch(stray, answer):
            await self.fetch(*FIRST, stray)
            for _ in range(ITERATIONS):
                await asyncio.sleep(0)
            return await self.fetch(
                *answer, ending=cutting_server.Ending.CLOSE
            )

        await self.check_all(fetch, [(500, BODY)])
        self.assertEqual(0, self.server.kept_requests)
