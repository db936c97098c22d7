import unittest

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.platform import log_service


class FixedClient:
    """Gives one answer to every request, or raises one error."""

    def __init__(self, answer):
        self._answer = answer

    async def fetch(self, address, request, timeout_seconds):
        if isinstance(self._answer, Exception):
            raise self._answer
        return self._answer


class AppendTest(unittest.IsolatedAsyncioTestCase):
    async def append(self, answer):
        service = log_service.HttpLogService('a', FixedClient(answer))
        new = log_service.NewRecord('x', msgspec.Raw(b'{}'))
        return await service.append('s', [new])

    async def test_only_a_plain_refusal_says_that_nothing_was_appended(self):
        for answer in (
            client.ConnectError('no'),
            messages.Response(429, {}, b''),
            messages.Response(503, {}, b''),
        ):
            with self.assertRaises(log_service.LogUnavailableError):
                await self.append(answer)

    async def test_any_other_failure_leaves_it_open(self):
        for answer in (
            client.BrokenError('silent'),
            messages.Response(200, {}, b'cut of'),
            messages.Response(500, {}, b'{"error": 1}'),
            messages.Response(502, {}, b'<html>'),
        ):
            with self.assertRaises(log_service.AppendLostError):
                await self.append(answer)
