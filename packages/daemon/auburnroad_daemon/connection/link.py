"""Keeps one stream to another daemon up, and says when the peer is lost.

A stream that dies is opened anew. The peer is lost when nothing listens at
its address any more, or when it can't be reached for a while: only then is
what it held given up.
"""

import asyncio
import typing

from absl import logging

from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream as streams

RECONNECT_SECONDS = 0.2
CONNECT_TIMEOUT_SECONDS = 0.5
GIVE_UP_SECONDS = 1.0


class LinkUser(typing.Protocol):
    """What a link needs of whoever uses it."""

    def build_hello(self) -> messages.Hello:
        """Introduce this daemon."""

    def build_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for this peer."""

    def handle_message(self, stream, message: messages.Message) -> None:
        """Handle a message of the peer."""

    def handle_lost(self, reason: str) -> None:
        """Give up what the peer held."""


class Link:
    """A stream to one address, renewed for as long as the link is open."""

    __slots__ = ('_address', '_user', '_stream', '_task', '_give_up_at')

    def __init__(self, address: str, user: LinkUser):
        self._address = address
        self._user = user
        self._stream: streams.Stream | None = None
        self._task: asyncio.Task | None = None
        self._give_up_at: float | None = None

    @property
    def address(self) -> str:
        """'IP number:port' of the peer."""
        return self._address

    @property
    def connected(self) -> bool:
        """Whether the peer has introduced itself on a live stream."""
        return self.peer is not None

    @property
    def peer(self) -> messages.Hello | None:
        """The peer's introduction on the live stream, if there is one."""
        if self._stream is None or self._stream.closed:
            return None
        return self._stream.peer

    def start(self) -> None:
        """Begin to connect, and keep the stream up."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Give the link up."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._stream is not None:
            self._stream.close()
        self._user.handle_lost('the link was closed')

    def send(self, message: messages.Message) -> None:
        """Send a message; one without a live stream is dropped."""
        if self._stream is not None:
            self._stream.send(message)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    stream = await streams.open_stream(
                        self._address, self._user.build_hello()
                    )
            except ConnectionRefusedError:
                # Nothing listens there: the process and its work are gone.
                self._user.handle_lost('the peer is down')
            except (OSError, TimeoutError):
                self._give_up_late(loop.time())
            else:
                await self._serve(stream)
                self._give_up_late(loop.time())
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _serve(self, stream: streams.Stream) -> None:
        self._stream = stream
        try:
            await stream.run(self._handle, self._user.build_heartbeat)
        except codec.WireError as error:
            logging.warning('peer at %s: %s', self._address, error)
        finally:
            stream.close()

    def _handle(self, stream, message: messages.Message) -> None:
        if isinstance(message, messages.Hello):
            stream.peer = message
            self._give_up_at = None
        self._user.handle_message(stream, message)

    def _give_up_late(self, now: float) -> None:
        """Say that the peer is lost when it was away for too long."""
        if self._give_up_at is None:
            self._give_up_at = now + GIVE_UP_SECONDS
        elif now > self._give_up_at:
            self._user.handle_lost('the peer is unreachable')
