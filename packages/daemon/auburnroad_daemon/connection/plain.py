"""Client of a plain service: sends each HTTP call once, without retries."""

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
CONNECT_PROBE_TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


def remove_hop_by_hop_headers(headers: dict[str, str]) -> dict[str, str]:
    """Remove the hop-by-hop headers (RFC 9110, section 7.6.1).

    Args:
      headers: Header values by lower-case name.

    Returns:
      The end-to-end headers.
    """
    connection_options = {
        name.strip().lower()
        for name in headers.get('connection', '').split(',')
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS and name not in connection_options
    }


class PlainTarget:
    """Client of the plain service at one address."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def call(self, request: messages.Request) -> messages.Response:
        """Send a request and read the complete answer.

        Args:
          request: The request; its hop-by-hop headers are removed.

        Returns:
          The answer without hop-by-hop headers, or status 502 if its body
          exceeds MAX_ANSWER_BYTES.

        Raises:
          ConnectError: If no byte was sent, so the request was not run.
          BrokenError: If the request may have been run.
        """
        forwarded = messages.Request(
            request.method,
            request.target,
            remove_hop_by_hop_headers(request.headers),
            request.body,
        )
        reply = await self._client.open(self._address, forwarded)
        try:
            body = await _read_limited(reply)
        finally:
            reply.close()
        if body is None:
            return _build_too_large_response()
        return messages.Response(
            reply.status, remove_hop_by_hop_headers(reply.headers), body
        )

    async def probe(self) -> bool:
        """Tell whether the service accepts connections.

        Only a connection is opened, because the service could count a call
        as a run.

        Returns:
          True if the connection was accepted.
        """
        host, _, port = self._address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_PROBE_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True


async def _read_limited(reply: client.Reply) -> bytes | None:
    """Read a body; return None if it exceeds MAX_ANSWER_BYTES."""
    parts = []
    size = 0
    async for part in reply.iterate():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            return None
        parts.append(part)
    return b''.join(parts)


def _build_too_large_response() -> messages.Response:
    """Build the response that replaces an answer too large for a stream."""
    error = {
        'code': 'answer_too_large',
        'message': f'the answer is over {MAX_ANSWER_BYTES} bytes',
    }
    return messages.build_json_response(502, {'error': error})
