"""An entry's link to one side, and the attempts sent over it.

Attempts outlive the stream. After a reconnect the entry sends a Resume
message with the id of each pending attempt. If the side is lost or has a new
incarnation, its attempts end as lost: their outcome is unknown and must not
be reported as not run.
"""

import collections
import typing

from auburnroad_core.platform import host_list
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import link as links
from auburnroad_daemon.request import entry_attempt


class LinkOwner(typing.Protocol):
    """Interface of the entry that owns a link to a side."""

    def build_hello(self) -> messages.Hello:
        """Build the Hello message of the entry."""

    def build_heartbeat(self, link: 'SideLink') -> messages.Heartbeat:
        """Build the heartbeat for the side of a link."""

    def handle_peer_message(self, stream, message: messages.Message) -> None:
        """Handle a message after the link has processed it."""


class SideLink:
    """Connection to one side, its last reported state and its attempts.

    Attributes:
      host: The side's host, as read from the host list.
      leaving: Whether the side has announced a planned stop.
      revision: Configuration revision of the side, -1 before the first report.
      versions: Weight version by model, as reported in heartbeats.
      versions_sent: Weight version by model, as sent on the current stream.
    """

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
        '_pending_counts_at_report',
        '_attempts',
        '_pending_counts',
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
        self._pending_counts_at_report: dict[str, int] = {}
        self._attempts: dict[str, entry_attempt.Attempt] = {}
        self._pending_counts: collections.Counter[str] = collections.Counter()

    @property
    def connected(self) -> bool:
        """Whether the side has sent its Hello message on the open stream."""
        return self._link.connected

    @property
    def services(self) -> list[str]:
        """Names of the services that the side's replicas provide."""
        return self._services

    @property
    def loads(self) -> dict[str, types.HostLoad]:
        """Latest load report by service."""
        return self._loads

    @property
    def attempts(self) -> dict[str, entry_attempt.Attempt]:
        """Pending attempts by request id."""
        return self._attempts

    def count_sent(self, service: str) -> int:
        """Count the pending requests of this entry for a service."""
        return self._pending_counts[service]

    def estimate_outstanding(self, service: str) -> int:
        """Estimate the current load of the host.

        Args:
          service: Name of the service.

        Returns:
          Number of running and waiting requests in the last report, adjusted
          by the change in this entry's pending requests since the report.
        """
        sent = self.count_sent(service)
        load = self._loads.get(service)
        if load is None:
            return sent
        change_since_report = sent - self._pending_counts_at_report.get(
            service, 0
        )
        return max(0, load.running + load.waiting + change_since_report)

    def start(self) -> None:
        """Start connecting, and reopen the stream whenever it closes."""
        self._link.start()

    async def close(self) -> None:
        """Close the link; its pending attempts end as lost."""
        await self._link.close()

    def submit(self, attempt: entry_attempt.Attempt) -> None:
        """Send a request to the side.

        Args:
          attempt: The attempt, which receives the events of the request.
        """
        self._attempts[attempt.request_id] = attempt
        self._pending_counts[attempt.submit.service] += 1
        self._link.send(attempt.submit)

    def cancel(self, attempt: entry_attempt.Attempt) -> None:
        """Cancel an attempt whose result is no longer needed."""
        if self._remove_attempt(attempt.request_id) is not None:
            self._link.send(messages.Cancel(attempt.request_id))

    def send(self, message: messages.Message) -> None:
        """Send a message; it is dropped while no stream is open."""
        self._link.send(message)

    def build_hello(self) -> messages.Hello:
        """Build the Hello message for a new stream."""
        self.versions_sent = {}
        return self._owner.build_hello()

    def build_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for the side."""
        return self._owner.build_heartbeat(self)

    def handle_lost(self, reason: str) -> None:
        """End all pending attempts as lost, and discard the load reports."""
        for attempt in list(self._attempts.values()):
            attempt.receive_end(entry_attempt.Lost(reason))
        self._attempts.clear()
        self._pending_counts.clear()
        self._pending_counts_at_report.clear()
        self._loads.clear()

    def handle_message(self, stream, message: messages.Message) -> None:
        """Handle a message from the side."""
        match message:
            case messages.Chunk():
                self._handle_chunk(message)
            case messages.Done() | messages.Refused():
                self._handle_end(message)
            case messages.UnknownRequest():
                self._end_attempt(
                    message.request_id, entry_attempt.Lost('never arrived')
                )
            case messages.Hello():
                self._handle_hello(stream, message)
            case messages.Heartbeat():
                self.leaving = message.leaving
                self.revision = message.revision
                self.versions.update(message.versions)
                self._record_loads(message.loads)
        self._owner.handle_peer_message(stream, message)

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
            self._send_resume(attempt)

    def _handle_end(self, message) -> None:
        attempt = self._attempts.get(message.request_id)
        if attempt is not None and not attempt.receive_end(message):
            self._send_resume(attempt)
            return
        self._remove_attempt(message.request_id)
        self._record_loads(message.loads)
        if isinstance(message, messages.Done):
            self.send(messages.Acknowledge(message.request_id))

    def _send_resume(self, attempt: entry_attempt.Attempt) -> None:
        self.send(messages.Resume(attempt.request_id, attempt.next_index))

    def _end_attempt(
        self, request_id: str, event: entry_attempt.Event
    ) -> None:
        attempt = self._remove_attempt(request_id)
        if attempt is not None:
            attempt.receive_end(event)

    def _remove_attempt(self, request_id: str) -> entry_attempt.Attempt | None:
        attempt = self._attempts.pop(request_id, None)
        if attempt is not None:
            self._pending_counts[attempt.submit.service] -= 1
        return attempt

    def _record_loads(self, loads: list[types.HostLoad]) -> None:
        for load in loads:
            self._loads[load.service] = load
            self._pending_counts_at_report[load.service] = self.count_sent(
                load.service
            )
