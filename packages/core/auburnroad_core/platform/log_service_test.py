"""Tests how failed appends are classified.

An append that may have taken effect must never be reported as a
LogUnavailableError, which means that no record was appended.
"""

import unittest

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.platform import log_service


class FixedClient:
    """Returns the same response to every request, or raises an error."""

    def __init__(self, result):
        self._result = result

    async def fetch(self, address, request, timeout_seconds):
        if isinstance(self._result, Exception):
            raise self._result
        return self._result


class AppendTest(unittest.IsolatedAsyncioTestCase):
    """Only refusals and connection failures mean that nothing was appended."""

    async def append(self, result):
        service = log_service.HttpLogService('a', FixedClient(result))
        new_record = log_service.NewRecord('x', msgspec.Raw(b'{}'))
        return await service.append('s', [new_record])

    async def test_refused_or_unsent_append_raises_log_unavailable(self):
        for result in (
            client.ConnectError('no'),
            messages.Response(429, {}, b''),
            messages.Response(503, {}, b''),
        ):
            with self.assertRaises(log_service.LogUnavailableError):
                await self.append(result)

    async def test_any_other_failure_raises_append_lost(self):
        for result in (
            client.BrokenError('silent'),
            messages.Response(200, {}, b'cut of'),
            messages.Response(500, {}, b'{"error": 1}'),
            messages.Response(502, {}, b'<html>'),
        ):
            with self.assertRaises(log_service.AppendLostError):
                await self.append(result)
