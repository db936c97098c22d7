"""Replicas with scripted responses, without a network.

ScriptedClient replaces auburnroad_core.http.client.HttpClient. A test
registers a handler for each address, and the handler returns the replica's
response to a request.
"""

import asyncio
import typing

from auburnroad_core.http import client
from auburnroad_core.http import messages


class Reply:
    """A response whose body is read from an asynchronous iterator."""

    def __init__(self, status, headers, parts):
        self.status = status
        self.headers = headers
        self._parts = parts
        self.closed = False

    def keep(self, part_bytes: int) -> None:
        """Accept any size, as there is no limit."""

    async def iterate(self) -> typing.AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive."""
        async for part in self._parts:
            yield part

    async def read(self) -> bytes:
        """Read the whole body."""
        return b''.join([part async for part in self.iterate()])

    async def discard(self) -> None:
        """Read the body to its end."""
        try:
            await self.read()
        except client.HttpError:
            return

    def close(self) -> None:
        """Record that the reader has closed the response."""
        self.closed = True


class ScriptedClient:
    """Passes each request to the handler of its address.

    Attributes:
      requests: Address and request of all attempts, in order.
    """

    def __init__(self):
        self.requests: list[tuple[str, messages.Request]] = []
        self._handlers = {}

    def handle(self, address: str, handler) -> None:
        """Register a handler: an async function from request to Reply."""
        self._handlers[address] = handler

    def count(self, address: str) -> int:
        """Count the requests to an address."""
        return sum(entry[0] == address for entry in self.requests)

    async def open(
        self, address, request, is_own=None, fresh=False, may_send=None
    ):
        """Send a request; see HttpClient.open."""
        self.requests.append((address, request))
        await asyncio.sleep(0)
        if address not in self._handlers:
            raise client.ConnectError(f'{address}: connection refused')
        if may_send is not None and not may_send():
            raise client.ConnectError(f'{address}: no longer to be sent')
        return await self._handlers[address](request)

    async def fetch(self, address, request, timeout_seconds, may_send=None):
        """Send a request and read the whole response."""
        reply = await self.open(address, request, may_send=may_send)
        return messages.Response(
            reply.status, reply.headers, await reply.read()
        )


async def iterate(parts, pause_seconds=0.0):
    """Yield parts with pauses; raise a part that is an exception."""
    for part in parts:
        await asyncio.sleep(pause_seconds)
        if isinstance(part, Exception):
            raise part
        yield part


def build_event(number: int, data: str = '') -> bytes:
    """Build the bytes of a server-sent event."""
    return f'id: {number}\ndata: {data or number}\n\n'.encode()


def answer(status=200, body=b'ok', **headers) -> Reply:
    """Build a signed response with a complete body."""
    signed = {'signed': '1', **headers}
    return Reply(status, signed, iterate([body]))


def refuse(**headers) -> Reply:
    """Build a refusal with the header 'not-run'."""
    return Reply(503, {'not-run': '1', **headers}, iterate([b'']))
