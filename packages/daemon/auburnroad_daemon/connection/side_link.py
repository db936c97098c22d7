"""An entry's link to one side, and the attempts on it.

When the stream dies, the attempts stay. Over the next stream the side is
asked what became of each, by id. A side that answers with a new incarnation,
or is lost, has lost them: their outcome is unknown, and never 'not run'.
"""

import collections
import typing

from auburnroad_core.platform import host_list
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import link as links
from auburnroad_daemon.request import entry_attempt


class LinkOwner(typing.Protocol):
    """What a link to a side needs of its entry."""

    def build_hello(self) -> messages.Hello:
        """Introduce the entry."""

    def build_heartbeat(self, link: 'SideLink') -> messages.Heartbeat:
        """Build the heartbeat for one side."""

    def handle_peer(self, stream, message: messages.Message) -> None:
        """Handle a message that isn't about an attempt."""


class SideLink:
    """What an entry knows of one side."""

    __slots__ = (
        'host',
        'leaving',
        'revision',
        'versions',
        'versions_sent',
        '_owner',
        '_link',
        '_incarnation',
        '_services',
        '_loads',
        '_sent_at_report',
        '_attempts',
        '_sent',
    )

    def __init__(self, host: host_list.Host, owner: LinkOwner):
        self.host = host
        self.leaving = False
        self.revision = -1
        self.versions: dict[str, int] = {}
        self.versions_sent: dict[str, int] = {}
        self._owner = owner
        self._link = links.Link(host.address, self)
        self._incarnation = ''
        self._services: list[str] = []
        self._loads: dict[str, types.HostLoad] = {}
        self._sent_at_report: dict[str, int] = {}
        self._attempts: dict[str, entry_attempt.Attempt] = {}
        self._sent: collections.Counter[str] = collections.Counter()

    @property
    def connected(self) -> bool:
        """Whether the side has introduced itself on a live stream."""
        return self._link.connected

    @property
    def services(self) -> list[str]:
        """Services of the replicas behind the side."""
        return self._services

    @property
    def loads(self) -> dict[str, types.HostLoad]:
        """Newest load report by service."""
        return self._loads

    @property
    def attempts(self) -> dict[str, entry_attempt.Attempt]:
        """Attempts whose end has not arrived, by request id."""
        return self._attempts

    def count_sent(self, service: str) -> int:
        """Count this entry's unanswered requests for a service."""
        return self._sent[service]

    def estimate_outstanding(self, service: str) -> int:
        """Estimate the host's load now from its last report.

        Args:
          service: Service's name.

        Returns:
          Requests that run or wait there, with what was sent since.
        """
        sent = self.count_sent(service)
        load = self._loads.get(service)
        if load is None:
            return sent
        since = sent - self._sent_at_report.get(service, 0)
        return max(0, load.running + load.waiting + since)

    def start(self) -> None:
        """Begin to connect, and keep the link up."""
        self._link.start()

    async def close(self) -> None:
        """Give the link up; attempts on it become unknown."""
        await self._link.close()

    def submit(self, attempt: entry_attempt.Attempt) -> None:
        """Send a request to the side.

        Args:
          attempt: The attempt; its events arrive from now on.
        """
        self._attempts[attempt.request_id] = attempt
        self._sent[attempt.submit.service] += 1
        self._link.send(attempt.submit)

    def cancel(self, attempt: entry_attempt.Attempt) -> None:
        """Tell the side that nobody waits for an attempt any more."""
        if self._forget(attempt.request_id) is not None:
            self._link.send(messages.Cancel(attempt.request_id))

    def send(self, message: messages.Message) -> None:
        """Send a message that isn't about an attempt, if connected."""
        self._link.send(message)

    def build_hello(self) -> messages.Hello:
        """Introduce the entry."""
        self.versions_sent = {}
        return self._owner.build_hello()

    def build_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for this side."""
        return self._owner.build_heartbeat(self)

    def handle_lost(self, reason: str) -> None:
        """End every attempt as unknown."""
        for attempt in list(self._attempts.values()):
            attempt.receive_end(entry_attempt.Lost(reason))
        self._attempts.clear()
        self._sent.clear()
        self._sent_at_report.clear()
        self._loads.clear()

    def handle_message(self, stream, message: messages.Message) -> None:
        """Handle a message of the side."""
        match message:
            case messages.Chunk():
                self._handle_chunk(message)
            case messages.Done() | messages.Refused():
                self._handle_end(message)
            case messages.NotHere():
                self._end(
                    message.request_id, entry_attempt.Lost('never arrived')
                )
            case messages.Hello():
                self._handle_hello(stream, message)
            case messages.Heartbeat():
                self.leaving = message.leaving
                self.revision = message.revision
                self.versions.update(message.versions)
                self._take_loads(message.loads)
        self._owner.handle_peer(stream, message)

    def _handle_hello(self, stream, hello: messages.Hello) -> None:
        self.leaving = hello.leaving
        self.revision = hello.revision
        self._services = hello.services
        if self._incarnation and hello.incarnation != self._incarnation:
            self.handle_lost('the side restarted')
        self._incarnation = hello.incarnation
        for attempt in self._attempts.values():
            stream.send(
                messages.Resume(attempt.request_id, attempt.next_index)
            )

    def _handle_chunk(self, chunk: messages.Chunk) -> None:
        attempt = self._attempts.get(chunk.request_id)
        if attempt is not None and not attempt.receive_chunk(chunk):
            self._ask_again(attempt)

    def _handle_end(self, message) -> None:
        attempt = self._attempts.get(message.request_id)
        if attempt is not None and not attempt.receive_end(message):
            self._ask_again(attempt)
            return
        self._forget(message.request_id)
        self._take_loads(message.loads)
        if isinstance(message, messages.Done):
            self.send(messages.Acknowledge(message.request_id))

    def _ask_again(self, attempt: entry_attempt.Attempt) -> None:
        self.send(messages.Resume(attempt.request_id, attempt.next_index))

    def _end(self, request_id: str, event: entry_attempt.Event) -> None:
        attempt = self._forget(request_id)
        if attempt is not None:
            attempt.receive_end(event)

    def _forget(self, request_id: str) -> entry_attempt.Attempt | None:
        attempt = self._attempts.pop(request_id, None)
        if attempt is not None:
            self._sent[attempt.submit.service] -= 1
        return attempt

    def _take_loads(self, loads: list[types.HostLoad]) -> None:
        for load in loads:
            self._loads[load.service] = load
            self._sent_at_report[load.service] = self.count_sent(load.service)
