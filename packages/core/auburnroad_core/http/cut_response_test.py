"""Tests that a response cut at any byte is never taken for a whole one.

A server may end in the middle of a head. What was received of the head must
then be neither a response without a body nor a body.
"""

import asyncio
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import cutting_server

TIMEOUT_SECONDS = 20.0
HEADERS = {'id': 'q', 'signed': '1'}
PARTS = (b'whole', b' body')
BODY = b''.join(PARTS)
KEPT = cutting_server.FRAMINGS['length'].build(HEADERS, PARTS)


class CutResponseTest(unittest.IsolatedAsyncioTestCase):
    """One server that cuts its answers, by each framing."""

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

    async def fetch(self, *parts, ending=cutting_server.Ending.CLOSE):
        """Fetch a response; None if it isn't whole."""
        self.scripts.append(cutting_server.Script(parts, ending))
        request = messages.Request('GET', '/', {})
        try:
            response = await self.client.fetch(
                self.server.address, request, TIMEOUT_SECONDS
            )
        except client.BrokenError:
            return None
        return response.status, response.body

    async def fetch_on_kept(self, *parts, ending):
        """Fetch a second response on the connection of a whole one."""
        await self.fetch(*KEPT, ending=cutting_server.Ending.KEEP)
        count = self.server.kept_requests
        response = await self.fetch(*parts, ending=ending)
        self.assertEqual(count + 1, self.server.kept_requests)
        return response

    async def test_response_cut_at_any_byte_is_broken(self):
        """Clients got a status of 200 with an empty or a short body."""
        for name, framing in cutting_server.FRAMINGS.items():
            head, body = framing.build(HEADERS, PARTS)
            for size in range(len(head + body)):
                rest = body[max(0, size - len(head)) :]
                for ending in cutting_server.CUT_ENDINGS:
                    expected = None
                    if size >= len(head) and framing.is_whole(rest, ending):
                        expected = 200, body.removesuffix(rest)
                    for fetch in (self.fetch, self.fetch_on_kept):
                        with self.subTest(name, size=size, ending=ending):
                            response = await fetch(
                                (head + body)[:size], ending=ending
                            )
                            self.assertEqual(expected, response)

    async def test_body_without_length_is_broken_by_a_reset_at_its_end(self):
        for name, framing in cutting_server.FRAMINGS.items():
            if framing.until_close:
                with self.subTest(name):
                    response = await self.fetch(
                        *framing.build(HEADERS, PARTS),
                        ending=cutting_server.Ending.RESET,
                    )
                    self.assertIsNone(response)

    async def test_response_in_two_parts_is_whole(self):
        for name, framing in cutting_server.FRAMINGS.items():
            answer = b''.join(framing.build(HEADERS, PARTS))
            for size in range(len(answer) + 1):
                parts = answer[:size], answer[size:]
                with self.subTest(name, size=size):
                    self.assertEqual((200, BODY), await self.fetch(*parts))
                # A connection that the server closes isn't used again.
                self.client.close()
