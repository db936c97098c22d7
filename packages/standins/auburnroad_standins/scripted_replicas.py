"""Replicas that answer as a test tells them, without a network.

ScriptedClient takes the place of auburnroad_core.http.client.HttpClient: a
test registers a handler for each address, and the handler returns what the
replica does with a request.
"""

import asyncio
import typing

from auburnroad_core.http import client
from auburnroad_core.http import messages


class Reply:
    """An answer whose body comes from an iterator."""

    def __init__(self, status, headers, parts):
        self.status = status
        self.headers = headers
        self._parts = parts
        self.closed = False

    async def iterate(self) -> typing.AsyncIterator[bytes]:
        """Yield the body as it comes."""
        async for part in self._parts:
            yield part

    async def read(self) -> bytes:
        """Read the whole body."""
        return b''.join([part async for part in self.iterate()])

    def close(self) -> None:
        """Note that nobody reads on."""
        self.closed = True


class ScriptedClient:
    """Hands each request to the handler of its address.

    Attributes:
      requests: Address and request of each attempt, in order.
    """

    def __init__(self):
        self.requests: list[tuple[str, messages.Request]] = []
        self._handlers = {}

    def handle(self, address: str, handler) -> None:
        """Register a handler: an async function from request to Reply."""
        self._handlers[address] = handler

    def count(self, address: str) -> int:
        """Count the requests that an address got."""
        return sum(entry[0] == address for entry in self.requests)

    async def open(self, address, request, is_own=None, fresh=False):
        """Send a request; see HttpClient.open."""
        self.requests.append((address, request))
        await asyncio.sleep(0)
        if address not in self._handlers:
            raise client.ConnectError(f'{address}: nobody listens')
        return await self._handlers[address](request)

    async def fetch(self, address, request, timeout_seconds):
        """Send a request and read its whole answer."""
        reply = await self.open(address, request)
        return messages.Response(
            reply.status, reply.headers, await reply.read()
        )


async def iterate(parts, pause_seconds=0.0):
    """Yield parts with pauses; an exception among them is raised."""
    for part in parts:
        await asyncio.sleep(pause_seconds)
        if isinstance(part, Exception):
            raise part
        yield part


def build_event(number: int, data: str = '') -> bytes:
    """Build an event of a stream."""
    return f'id: {number}\ndata: {data or number}\n\n'.encode()


def answer(status=200, body=b'ok', **headers) -> Reply:
    """Build a signed answer with a whole body."""
    signed = {'signed': '1', **headers}
    return Reply(status, signed, iterate([body]))


def refuse(**headers) -> Reply:
    """Build a refusal that says that the request has not run."""
    return Reply(503, {'not-run': '1', **headers}, iterate([b'']))
