"""An entry's link to another entry.

It carries forwarded trainer requests and the replicated copies of ledgers.
"""

import asyncio
import typing
import uuid

from auburnroad_core import errors
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import link as links


class PeerLostError(errors.AuburnroadError):
    """The connection to the peer was lost before it answered."""


class PeerOwner(typing.Protocol):
    """Interface of the entry that owns a link to a peer."""

    def build_hello(self) -> messages.Hello:
        """Build the Hello message of the entry."""

    def build_peer_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for a peer."""

    def handle_peer(self, stream, message: messages.Message) -> None:
        """Handle a message that doesn't answer a request of this link."""


class PeerLink:
    """Connection to another entry and the state that it last reported.

    Attributes:
      leaving: Whether the peer has announced a planned stop.
      lost: Whether the link has reported the peer as lost since its last
        Hello message.
    """

    __slots__ = (
        '_owner',
        '_link',
        '_pending',
        '_last_hello',
        'leaving',
        'lost',
    )

    def __init__(self, address: str, owner: PeerOwner):
        self._owner = owner
        self._link = links.Link(address, self)
        self._pending: dict[str, asyncio.Future] = {}
        self._last_hello: messages.Hello | None = None
        self.leaving = False
        self.lost = False

    @property
    def name(self) -> str:
        """Name of the peer; empty before its first Hello message."""
        return self._last_hello.daemon if self._last_hello else ''

    @property
    def incarnation(self) -> str:
        """Incarnation in the last Hello message; empty before the first."""
        return self._last_hello.incarnation if self._last_hello else ''

    @property
    def failure_domain(self) -> str:
        """Failure domain of the peer; empty before its first Hello."""
        return self._last_hello.failure_domain if self._last_hello else ''

    @property
    def connected(self) -> bool:
        """Whether the peer has sent its Hello message on the open stream."""
        return self._link.connected

    def start(self) -> None:
        """Start connecting, and reopen the stream whenever it closes."""
        self._link.start()

    async def close(self) -> None:
        """Close the link and fail the pending requests."""
        await self._link.close()

    def send(self, message: messages.Message) -> None:
        """Send a message; it is dropped while no stream is open."""
        self._link.send(message)

    async def ask(self, build: typing.Callable[[str], messages.Message]):
        """Send a request and wait for its answer.

        Args:
          build: Builds the request message for a request id.

        Returns:
          The answer.

        Raises:
          PeerLostError: If the peer is not connected, or if the peer is lost
            or its stream reopened before the answer arrives.
        """
        if not self.connected:
            raise PeerLostError(f'{self.name} is not connected')
        request_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            self._link.send(build(request_id))
            return await future
        finally:
            self._pending.pop(request_id, None)

    def build_hello(self) -> messages.Hello:
        """Build the Hello message of this entry."""
        return self._owner.build_hello()

    def build_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for the peer."""
        return self._owner.build_peer_heartbeat()

    def handle_lost(self, reason: str) -> None:
        """Mark the peer as lost and fail all pending requests."""
        self.lost = True
        self._fail_pending(reason)

    def handle_message(self, stream, message: messages.Message) -> None:
        """Handle a message from the peer."""
        match message:
            case messages.Hello():
                self.lost = False
                self._last_hello = message
                self.leaving = message.leaving
                # Answers to requests of the old stream never arrive here.
                self._fail_pending(
                    'the peer introduced itself on a new stream'
                )
            case messages.Heartbeat():
                self.leaving = message.leaving
            case messages.Forwarded() | messages.CopyAnswer():
                future = self._pending.get(message.request_id)
                if future is not None and not future.done():
                    future.set_result(message)
                return
        self._owner.handle_peer(stream, message)

    def _fail_pending(self, reason: str) -> None:
        for future in self._pending.values():
            if not future.done():
                future.set_exception(PeerLostError(reason))
