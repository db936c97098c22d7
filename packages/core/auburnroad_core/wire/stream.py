"""A message stream between two processes with application heartbeats.

A TCP connection can stop delivering data forever while new connections work.
The end that opened the stream sends a heartbeat at every interval, and the
other end responds to each with its own. An end that has read nothing for
SILENCE_SECONDS closes the stream. The code that owns the stream then opens a
new one and uses the request ids to resolve the requests in progress.

An idle entry has hundreds of streams, whose cost is dominated by process
wake-ups. So all streams of a process send at the same moment, which also
makes the responses arrive close together. An unchanged heartbeat takes two
bytes.
"""

import asyncio
import random
import typing

import prometheus_client

from auburnroad_core.wire import codec
from auburnroad_core.wire import messages

READ_BYTES = 262144
HEARTBEAT_SECONDS = 0.5
SILENCE_SECONDS = 1.6
WRITE_BUFFER_BYTES = 32 * 1024 * 1024

# Random, so that the processes on one machine don't all send at the same
# moment.
_PHASE_SECONDS = random.random() * HEARTBEAT_SECONDS
_ALIVE = messages.Alive()

# Created without a registry: each role adds it to the registry that it
# exports.
BYTES = prometheus_client.Counter(
    'auburnroad_stream_bytes',
    'Bytes on streams between daemons.',
    ['direction'],
    registry=None,
)
_BYTES_IN = BYTES.labels('in')
_BYTES_OUT = BYTES.labels('out')

Handle = typing.Callable[['Stream', messages.Message], None]
BuildHeartbeat = typing.Callable[[], messages.Heartbeat]


class Stream:
    """A connection that carries messages in both directions."""

    __slots__ = (
        '_reader',
        '_writer',
        '_decoder',
        '_last_read',
        '_closed',
        '_opened',
        '_heartbeat_in',
        '_heartbeat_out',
        'bytes_in',
        'bytes_out',
        'peer',
    )

    def __init__(self, reader, writer, opened: bool = False):
        self._opened = opened
        self._heartbeat_in: messages.Heartbeat | None = None
        self._heartbeat_out: messages.Heartbeat | None = None
        self._reader = reader
        self._writer = writer
        self._decoder = codec.Decoder()
        self._last_read = asyncio.get_running_loop().time()
        self._closed = False
        self.bytes_in = 0
        self.bytes_out = 0
        self.peer: messages.Hello | None = None

    @property
    def closed(self) -> bool:
        """Whether this end has closed the stream."""
        return self._closed

    def send(self, message: messages.Message) -> None:
        """Queue a message for the peer; drop it if the stream is closed.

        A peer that reads too slowly, so that the write buffer fills, is
        treated like an unresponsive one: the stream is closed, and the
        requests in progress are resolved over a new stream.

        Args:
          message: Message to send.
        """
        if self._closed or self._writer.transport.is_closing():
            return
        data = codec.encode_message(self._compress_heartbeat(message))
        self.bytes_out += len(data)
        _BYTES_OUT.inc(len(data))
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
            self.close()

    def close(self) -> None:
        """Close the stream immediately, without sending buffered data."""
        self._closed = True
        self._writer.transport.abort()

    async def run(self, handle: Handle, heartbeat: BuildHeartbeat) -> None:
        """Read messages until the stream ends, and send heartbeats.

        Args:
          handle: Called with each message; for Alive it is called with the
            Heartbeat that Alive repeats.
          heartbeat: Builds the heartbeat to send.

        Raises:
          WireError: If the peer sends an invalid message.
        """
        heartbeat_task = asyncio.ensure_future(
            self._send_heartbeats(heartbeat)
        )
        try:
            while data := await self._reader.read(READ_BYTES):
                self._last_read = asyncio.get_running_loop().time()
                self.bytes_in += len(data)
                _BYTES_IN.inc(len(data))
                for message in self._decoder.feed(data):
                    self._handle_message(message, handle, heartbeat)
        except OSError:
            pass
        finally:
            heartbeat_task.cancel()
            self.close()

    def _compress_heartbeat(
        self, message: messages.Message
    ) -> messages.Message:
        """Replace a heartbeat that equals the previous one by Alive."""
        if not isinstance(message, messages.Heartbeat):
            return message
        if message == self._heartbeat_out:
            return _ALIVE
        self._heartbeat_out = message
        return message

    def _handle_message(self, message, handle: Handle, heartbeat) -> None:
        """Handle a message; the accepting end responds to heartbeats."""
        if isinstance(message, messages.Alive):
            message = self._heartbeat_in
            if message is None:
                raise codec.WireError('Alive received before any Heartbeat')
        handle(self, message)
        if isinstance(message, messages.Heartbeat):
            self._heartbeat_in = message
            if not self._opened:
                self.send(heartbeat())

    async def _send_heartbeats(self, heartbeat: BuildHeartbeat) -> None:
        """Send heartbeats and close the stream if the peer is silent."""
        loop = asyncio.get_running_loop()
        while not self._closed:
            now = loop.time()
            if self._opened:
                self.send(heartbeat())
            await asyncio.sleep(compute_wait_seconds(now))
            # A pause of this process does not mean that the peer was silent:
            # data that arrived during the pause is read before the check.
            paused = loop.time() - now > 2 * HEARTBEAT_SECONDS
            if paused:
                await asyncio.sleep(HEARTBEAT_SECONDS)
            if loop.time() - self._last_read > SILENCE_SECONDS:
                self.close()


def compute_wait_seconds(now: float) -> float:
    """Compute the time until the process's next common send time.

    Args:
      now: Seconds on the event loop's clock.

    Returns:
      Seconds, between 0.1 and 1.1 heartbeat intervals. The lower bound
      prevents a second heartbeat when a timer fires slightly early.
    """
    wait = HEARTBEAT_SECONDS - (now + _PHASE_SECONDS) % HEARTBEAT_SECONDS
    if wait < HEARTBEAT_SECONDS / 10:
        wait += HEARTBEAT_SECONDS
    return wait


async def open_stream(address: str, hello: messages.Hello) -> Stream:
    """Connect to a peer and send the Hello of this process.

    Args:
      address: 'IP address:port'.
      hello: Hello message of this process.

    Returns:
      The stream; the peer's Hello arrives as its first message.

    Raises:
      OSError: If the peer is not reachable.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    stream = Stream(reader, writer, opened=True)
    stream.send(hello)
    return stream
