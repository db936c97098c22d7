"""An entry's link to another entry: forwarding and copies of ledgers."""

import asyncio
import typing
import uuid

from auburnroad_core import errors
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import link as links


class PeerLostError(errors.AuburnroadError):
    """The peer went before it answered."""


class PeerOwner(typing.Protocol):
    """What a link to a peer needs of its entry."""

    def build_hello(self) -> messages.Hello:
        """Introduce the entry."""

    def build_peer_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for a peer."""

    def handle_peer(self, stream, message: messages.Message) -> None:
        """Handle a message that answers no question of this link."""


class PeerLink:
    """What an entry knows of another entry."""

    __slots__ = (
        '_owner',
        '_link',
        '_questions',
        '_last_hello',
        'leaving',
        'lost',
    )

    def __init__(self, address: str, owner: PeerOwner):
        self._owner = owner
        self._link = links.Link(address, self)
        self._questions: dict[str, asyncio.Future] = {}
        self._last_hello: messages.Hello | None = None
        self.leaving = False
        self.lost = False

    @property
    def name(self) -> str:
        """Daemon's name, empty before it has introduced itself."""
        return self._last_hello.daemon if self._last_hello else ''

    @property
    def incarnation(self) -> str:
        """Incarnation of the daemon that introduced itself last."""
        return self._last_hello.incarnation if self._last_hello else ''

    @property
    def failure_domain(self) -> str:
        """Failure domain of the peer, empty before it is known."""
        return self._last_hello.failure_domain if self._last_hello else ''

    @property
    def connected(self) -> bool:
        """Whether the peer has introduced itself on a live stream."""
        return self._link.connected

    def start(self) -> None:
        """Begin to connect, and keep the link up."""
        self._link.start()

    async def close(self) -> None:
        """Give the link up."""
        await self._link.close()

    def send(self, message: messages.Message) -> None:
        """Send a message, if connected."""
        self._link.send(message)

    async def ask(self, build: typing.Callable[[str], messages.Message]):
        """Send a question and wait for its answer.

        Args:
          build: Builds the question from its request id.

        Returns:
          The answer.

        Raises:
          PeerLostError: If the peer goes before it answers.
        """
        if not self.connected:
            raise PeerLostError(f'{self.name} is not connected')
        request_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self._questions[request_id] = future
        try:
            self._link.send(build(request_id))
            return await future
        finally:
            self._questions.pop(request_id, None)

    def build_hello(self) -> messages.Hello:
        """Introduce this entry."""
        return self._owner.build_hello()

    def build_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for the peer."""
        return self._owner.build_peer_heartbeat()

    def handle_lost(self, reason: str) -> None:
        """End every question that waits for the peer."""
        self.lost = True
        self._fail_questions(reason)

    def handle_message(self, stream, message: messages.Message) -> None:
        """Handle a message of the peer."""
        match message:
            case messages.Hello():
                self.lost = False
                self._last_hello = message
                self.leaving = message.leaving
                # A question on the stream before can't be answered here.
                self._fail_questions('the stream was renewed')
            case messages.Heartbeat():
                self.leaving = message.leaving
            case messages.Forwarded() | messages.CopyAnswer():
                future = self._questions.get(message.request_id)
                if future is not None and not future.done():
                    future.set_result(message)
                return
        self._owner.handle_peer(stream, message)

    def _fail_questions(self, reason: str) -> None:
        for future in self._questions.values():
            if not future.done():
                future.set_exception(PeerLostError(reason))
