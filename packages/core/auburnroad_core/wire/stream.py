"""One stream between two processes, with the application's heartbeats.

A TCP connection can go silent for good while new ones work. The end that
opened the stream sends a heartbeat at every interval, and the other end
answers each with its own; an end that has read nothing for the silence limit
closes the stream, and its owner opens a new one and resolves the requests
that were on it by their ids.

An idle entry has hundreds of streams, so their cost is that of waking up. All
streams of a process send at the same moment, and the answers then come close
together; a heartbeat that says nothing new is two bytes.
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

# Processes that share a machine must not all send at the same moment.
_PHASE_SECONDS = random.random() * HEARTBEAT_SECONDS
_ALIVE = messages.Alive()

# In no registry of its own: each role adds it to the one that it shows.
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
    """A connection that carries messages both ways."""

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
        """Whether the stream has been given up."""
        return self._closed

    def send(self, message: messages.Message) -> None:
        """Queue a message for the peer; a closed stream drops it.

        A peer that reads so slowly that the buffer fills is treated like a
        silent one: the stream is closed and the requests are resolved anew.

        Args:
          message: What to send.
        """
        if self._closed or self._writer.transport.is_closing():
            return
        data = codec.encode_message(self._shorten(message))
        self.bytes_out += len(data)
        _BYTES_OUT.inc(len(data))
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
            self.close()

    def close(self) -> None:
        """Give the stream up at once."""
        self._closed = True
        self._writer.transport.abort()

    async def run(self, handle: Handle, heartbeat: BuildHeartbeat) -> None:
        """Read messages until the stream ends, and keep it alive.

        Args:
          handle: Called with each message but heartbeats' own bookkeeping.
          heartbeat: Builds the heartbeat to send.
        """
        beat = asyncio.ensure_future(self._beat(heartbeat))
        try:
            while data := await self._reader.read(READ_BYTES):
                self._last_read = asyncio.get_running_loop().time()
                self.bytes_in += len(data)
                _BYTES_IN.inc(len(data))
                for message in self._decoder.feed(data):
                    self._take(message, handle, heartbeat)
        except OSError:
            pass
        finally:
            beat.cancel()
            self.close()

    def _shorten(self, message: messages.Message) -> messages.Message:
        """Put Alive in the place of a heartbeat that says nothing new."""
        if not isinstance(message, messages.Heartbeat):
            return message
        if message == self._heartbeat_out:
            return _ALIVE
        self._heartbeat_out = message
        return message

    def _take(self, message, handle: Handle, heartbeat) -> None:
        """Handle a message; the end that was connected to answers beats."""
        if isinstance(message, messages.Alive):
            message = self._heartbeat_in
            if message is None:
                raise codec.WireError('Alive came before any Heartbeat')
        handle(self, message)
        if isinstance(message, messages.Heartbeat):
            self._heartbeat_in = message
            if not self._opened:
                self.send(heartbeat())

    async def _beat(self, heartbeat: BuildHeartbeat) -> None:
        loop = asyncio.get_running_loop()
        while not self._closed:
            now = loop.time()
            if self._opened:
                self.send(heartbeat())
            await asyncio.sleep(compute_wait_seconds(now))
            # A pause of this process isn't the peer's silence: what arrived
            # meanwhile is read before the clock is believed.
            paused = loop.time() - now > 2 * HEARTBEAT_SECONDS
            if paused:
                await asyncio.sleep(HEARTBEAT_SECONDS)
            if loop.time() - self._last_read > SILENCE_SECONDS:
                self.close()


def compute_wait_seconds(now: float) -> float:
    """Compute how long to wait for the moment at which all streams send.

    Args:
      now: Seconds on the loop's clock.

    Returns:
      Seconds, between a tenth more and a tenth of the heartbeat interval:
      a timer that fires a little early must not send twice.
    """
    wait = HEARTBEAT_SECONDS - (now + _PHASE_SECONDS) % HEARTBEAT_SECONDS
    if wait < HEARTBEAT_SECONDS / 10:
        wait += HEARTBEAT_SECONDS
    return wait


async def open_stream(address: str, hello: messages.Hello) -> Stream:
    """Connect to a peer and introduce this process.

    Args:
      address: 'IP number:port'.
      hello: Introduction of this process.

    Returns:
      The stream; the peer's own Hello arrives as its first message.

    Raises:
      OSError: If the peer can't be reached.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    stream = Stream(reader, writer, opened=True)
    stream.send(hello)
    return stream
