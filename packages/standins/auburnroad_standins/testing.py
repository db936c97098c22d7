"""Base class of tests that run a stand-in in the test's own process."""

import asyncio
import inspect
import json
import typing
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import main
from auburnroad_standins import serving

TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.002


class StandinTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case that starts stand-ins and stops them after each test."""

    # Importing these modules registers the kinds of stand-ins.
    MODULES = main.MODULES

    async def asyncSetUp(self):
        self.http = client.HttpClient()
        self.addCleanup(self.http.close)

    async def start(self, kind: str, **options) -> str:
        """Start a stand-in.

        Args:
          kind: Name in serving.KINDS.
          options: Options of the stand-in.

        Returns:
          The address that it listens on.
        """
        standin = serving.build(kind, options)
        server, address = await serving.start(standin, '127.0.0.1:0')
        self.addAsyncCleanup(server.close)
        return address

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        value: object = None,
        headers: dict[str, str] | None = None,
    ) -> messages.Response:
        """Send a request and read its response."""
        request = client.build_json_request(method, target, value, headers)
        return await self.http.fetch(address, request, TIMEOUT_SECONDS)

    async def wait_until(self, condition: typing.Callable) -> None:
        """Wait for a condition, which may be a coroutine function."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                met = condition()
                if inspect.isawaitable(met):
                    met = await met
                if met:
                    return
                await asyncio.sleep(POLL_SECONDS)

    async def wait_for_count(self, address: str, name: str) -> None:
        """Wait until a count in a stand-in's books is above zero."""

        async def is_counted() -> bool:
            return bool((await self.read_books(address)).get(name))

        await self.wait_until(is_counted)

    async def inject_fault(
        self, address: str, fault: str, **arguments
    ) -> None:
        """Inject a fault into a stand-in."""
        body = {'fault': fault, **arguments}
        response = await self.send(address, 'POST', '/faults', body)
        self.assertEqual(response.status, 200, response.body)

    async def read_books(self, address: str) -> dict:
        """Read a stand-in's books."""
        response = await self.send(address, 'GET', '/books')
        return json.loads(response.body)
