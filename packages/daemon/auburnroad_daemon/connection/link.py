"""Keeps a stream to another daemon open and detects the loss of the peer.

A closed stream is reopened. The peer counts as lost when its address refuses
connections, or when it stays unreachable for LOST_AFTER_SECONDS. The loss of
the peer is reported only then, not each time a stream closes.
"""

import asyncio
import typing

from absl import logging

from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream as streams

RECONNECT_SECONDS = 0.2
CONNECT_TIMEOUT_SECONDS = 0.5
LOST_AFTER_SECONDS = 1.0


class LinkHandler(typing.Protocol):
    """Interface of the object that handles the messages of a link."""

    def build_hello(self) -> messages.Hello:
        """Build the Hello message of this daemon."""

    def build_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for this peer."""

    def handle_message(self, stream, message: messages.Message) -> None:
        """Handle a message from the peer."""

    def handle_lost(self, reason: str) -> None:
        """Fail the requests that are pending at the lost peer."""


class Link:
    """A stream to one address, reopened until the link is closed."""

    __slots__ = ('_address', '_handler', '_stream', '_task', '_lost_deadline')

    def __init__(self, address: str, handler: LinkHandler):
        self._address = address
        self._handler = handler
        self._stream: streams.Stream | None = None
        self._task: asyncio.Task | None = None
        self._lost_deadline: float | None = None

    @property
    def address(self) -> str:
        """Stream address of the peer, 'IP address:port'."""
        return self._address

    @property
    def connected(self) -> bool:
        """Whether the peer has sent its Hello message on the open stream."""
        return self.peer is not None

    @property
    def peer(self) -> messages.Hello | None:
        """The peer's Hello message on the open stream, or None."""
        if self._stream is None or self._stream.closed:
            return None
        return self._stream.peer

    def start(self) -> None:
        """Start connecting, and reopen the stream whenever it closes."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Close the stream and stop reconnecting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._stream is not None:
            self._stream.close()
        self._handler.handle_lost('the link was closed')

    def send(self, message: messages.Message) -> None:
        """Send a message; it is dropped while no stream is open."""
        if self._stream is not None:
            self._stream.send(message)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    stream = await streams.open_stream(
                        self._address, self._handler.build_hello()
                    )
            except ConnectionRefusedError:
                # No process listens, so the peer and its requests are lost.
                self._handler.handle_lost('the peer is down')
            except (OSError, TimeoutError):
                self._check_unreachable(loop.time())
            else:
                await self._serve(stream)
                self._check_unreachable(loop.time())
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _serve(self, stream: streams.Stream) -> None:
        self._stream = stream
        try:
            await stream.run(self._handle, self._handler.build_heartbeat)
        except codec.WireError as error:
            logging.warning(
                'invalid data from the peer at %s: %s', self._address, error
            )
        finally:
            stream.close()

    def _handle(self, stream, message: messages.Message) -> None:
        if isinstance(message, messages.Hello):
            stream.peer = message
            self._lost_deadline = None
        self._handler.handle_message(stream, message)

    def _check_unreachable(self, now: float) -> None:
        """Report the peer as lost once it is unreachable for too long."""
        if self._lost_deadline is None:
            self._lost_deadline = now + LOST_AFTER_SECONDS
        elif now > self._lost_deadline:
            self._handler.handle_lost('the peer is unreachable')
