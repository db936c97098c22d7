"""A plain service: any HTTP call is passed on once and never repeated."""

import asyncio

from auburnroad_core.http import client
from auburnroad_core.http import messages

HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
CONNECT_PROBE_SECONDS = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


def remove_hop_headers(headers: dict[str, str]) -> dict[str, str]:
    """Remove the headers that speak of one connection only.

    Args:
      headers: Header values by lower-case name.

    Returns:
      Those that go from end to end.
    """
    named = {
        name.strip().lower()
        for name in headers.get('connection', '').split(',')
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS and name not in named
    }


class PlainTarget:
    """One replica of a plain service, by its address."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def call(self, request: messages.Request) -> messages.Response:
        """Pass a request on and read the whole answer.

        Args:
          request: The request; headers of one connection are removed.

        Returns:
          The answer, without the headers of one connection.

        Raises:
          ConnectError: If no byte was sent: it was not run.
          BrokenError: If it may have been run.
        """
        passed = messages.Request(
            request.method,
            request.target,
            remove_hop_headers(request.headers),
            request.body,
        )
        reply = await self._client.open(self._address, passed)
        try:
            body = await _read_limited(reply)
        finally:
            reply.close()
        if body is None:
            return _refuse_answer()
        return messages.Response(
            reply.status, remove_hop_headers(reply.headers), body
        )

    async def probe(self) -> bool:
        """Tell whether the service takes connections.

        A call could be counted as a run, so that only a connection is tried.

        Returns:
          True when a connection was accepted.
        """
        host, _, port = self._address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_PROBE_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True


async def _read_limited(reply: client.Reply) -> bytes | None:
    """Read a body, or return None when it exceeds the limit."""
    parts = []
    size = 0
    async for part in reply.iterate():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            return None
        parts.append(part)
    return b''.join(parts)


def _refuse_answer() -> messages.Response:
    """Build what stands for an answer that no stream would carry."""
    error = {
        'code': 'answer_too_large',
        'message': f'the answer is over {MAX_ANSWER_BYTES} bytes',
    }
    return messages.json_response(502, {'error': error})
