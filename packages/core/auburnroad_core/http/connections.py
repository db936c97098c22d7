"""Connections of the HTTP client, and what they tell of their servers."""

import asyncio

import h11
import prometheus_client

from auburnroad_core import decoding
from auburnroad_core.http import resets

READ_BYTES = 65536
# An idle connection is reused only within this fraction of the server's idle
# timeout, because the server's timer started earlier.
KEEP_ALIVE_FRACTION = 0.8
# For servers that don't send their idle timeout.
DEFAULT_IDLE_SECONDS = 30.0
# A request given up sooner tells nothing about its connection.
SILENCE_SECONDS = 0.1

# Created without a registry: each role adds it to the registry that it
# exports.
BYTES = prometheus_client.Counter(
    'auburnroad_http_client_bytes',
    'Bytes of requests to the platform and to targets, and of the answers.',
    ['direction'],
    registry=None,
)
_BYTES_IN = BYTES.labels('in')
_BYTES_OUT = BYTES.labels('out')


class _Reader(asyncio.StreamReader):
    """Counts the bytes that were received and not read.

    Attributes:
      unread_bytes: Number of these bytes.
    """

    def __init__(self, loop):
        super().__init__(loop=loop)
        self.unread_bytes = 0

    def feed_data(self, data):
        """Add received bytes."""
        self.unread_bytes += len(data)
        super().feed_data(data)


class Connection:
    """One connection, which may be pooled.

    Attributes:
      idle_seconds: How long the server keeps the connection open while idle.
      idle_since: Loop time in seconds of the last complete response; None
        before the first one.
      received_at: Loop time in seconds of the last bytes received.
    """

    __slots__ = (
        'h11',
        'reader',
        'writer',
        'idle_seconds',
        'idle_since',
        'received_at',
    )

    def __init__(self, reader, writer):
        self.h11 = h11.Connection(h11.CLIENT)
        self.reader = reader
        self.writer = writer
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self.idle_since: float | None = None
        self.received_at = 0.0

    async def next_event(self):
        """Read from the socket until h11 returns an event."""
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.reader.read(READ_BYTES)
            self.reader.unread_bytes -= len(data)
            _BYTES_IN.inc(len(data))
            self.received_at = find_time()
            self.h11.receive_data(data)

    def send(self, event) -> None:
        """Encode an event with h11 and write it to the socket."""
        data = self.h11.send(event)
        if data:
            _BYTES_OUT.inc(len(data))
            self.writer.write(data)

    def reset(self) -> None:
        """Close at once, and drop the bytes that have not arrived."""
        resets.reset(self.writer)

    def was_silent(self, sent_at: float) -> bool:
        """Tell whether a pooled connection never answered a request.

        Args:
          sent_at: Loop time of the request in seconds.
        """
        return (
            self.idle_since is not None
            and self.received_at < sent_at
            and find_time() - sent_at >= SILENCE_SECONDS
        )

    def is_stale(self, max_idle_seconds: float) -> bool:
        """Tell whether an idle connection must not be used.

        It has expired, was closed, or received bytes, which belong to no
        request (RFC 9112, section 9.2).

        Args:
          max_idle_seconds: Time after which it has expired, whatever the
            server allows.
        """
        idle_seconds = min(self.idle_seconds, max_idle_seconds)
        return (
            find_time() - self.idle_since >= idle_seconds
            or self.reader.at_eof()
            or self.reader.unread_bytes > 0
            or self.writer.is_closing()
            or self.h11.our_state is not h11.IDLE
        )


def find_time() -> float:
    """Find the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


def parse_keep_alive(headers: dict[str, str]) -> float:
    """Parse how long a connection may be idle.

    Args:
      headers: Headers of a response, by lower-case name.

    Returns:
      Seconds; a default if the server doesn't tell.
    """
    for part in headers.get('keep-alive', '').split(','):
        name, _, value = part.strip().partition('=')
        seconds = decoding.parse_count(value)
        if name.lower() == 'timeout' and seconds is not None:
            return seconds * KEEP_ALIVE_FRACTION
    return DEFAULT_IDLE_SECONDS


async def open_connection(address: str) -> Connection:
    """Open a connection.

    Args:
      address: 'IP address:port'.

    Returns:
      The connection.

    Raises:
      OSError, ValueError, OverflowError: The address can't be reached, or is
        none.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    reader = _Reader(loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(
        lambda: protocol, host, int(port)
    )
    return Connection(
        reader, asyncio.StreamWriter(transport, protocol, reader, loop)
    )
