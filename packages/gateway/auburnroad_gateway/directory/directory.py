"""All registered replicas.

A replica whose registration is gone gets no new work. The exception are
registrations that lapsed while the log service was away: those of replicas
that live are back shortly after its return, and until then the last known
ones hold.
"""

import time

from auburnroad_gateway.directory import replica
from auburnroad_gateway.log import service
from auburnroad_gateway.model import registration
from auburnroad_gateway.telemetry import events

# Replicas that live have registered again so long after an outage.
RETURN_SECONDS = 2.0
# A reader that was not answered for so long may have missed an outage.
OUTAGE_SECONDS = 1.5


class Directory:
    """Replicas by service."""

    __slots__ = (
        '_adapter',
        '_replicas',
        '_lapsed',
        '_returned_at',
        '_listeners',
    )

    def __init__(self, adapter):
        self._adapter = adapter
        self._replicas: dict[str, replica.Replica] = {}
        self._lapsed: dict[str, float] = {}
        self._returned_at = float('-inf')
        self._listeners = []

    def on_change(self, listener) -> None:
        """Call a function after any registration has changed."""
        self._listeners.append(listener)

    def list_all(self, service_name: str) -> list[replica.Replica]:
        """List a service's replicas, draining ones among them."""
        return [
            entry
            for entry in self._replicas.values()
            if entry.registration.service == service_name
        ]

    def list_ready(self, service_name: str) -> list[replica.Replica]:
        """List the replicas of a service that take new work."""
        return [
            entry
            for entry in self.list_all(service_name)
            if entry.registration.state is registration.ReplicaState.READY
        ]

    def is_ready(self, entry: replica.Replica) -> bool:
        """Tell whether a replica still takes new work."""
        return (
            self._replicas.get(entry.id) is entry
            and entry.registration.state is registration.ReplicaState.READY
        )

    def note_outage_end(self, now: float) -> None:
        """The log service can be read again after an outage.

        Args:
          now: Monotonic time in seconds.
        """
        self._returned_at = now

    def apply(self, record: service.KeyedRecord) -> None:
        """Take a registration from the log."""
        entry = None
        if record.value:
            entry = self._adapter.decode_registration(record)
        if entry is None:
            self._drop(record.key)
        else:
            self._put(entry)
        self._notify()

    def expire(self, now: float) -> None:
        """Drop lapsed registrations that have not come back in time."""
        if now - self._returned_at < RETURN_SECONDS:
            return
        for key in list(self._lapsed):
            del self._lapsed[key]
            self._remove(key, 'lapsed in an outage')
            self._notify()

    def _put(self, entry: registration.Registration) -> None:
        self._lapsed.pop(entry.id, None)
        known = self._replicas.get(entry.id)
        if known is None or _is_restarted(known.registration, entry):
            self._replicas[entry.id] = replica.Replica(entry)
            self._write('replica_registered', entry)
            return
        before = known.registration
        known.registration = entry
        if entry.versions != before.versions:
            known.versions.update(entry.versions)
        if entry.state is not before.state:
            self._write('replica_state_changed', entry)

    def _drop(self, key: str) -> None:
        if key not in self._replicas:
            return
        if time.monotonic() - self._returned_at < RETURN_SECONDS:
            self._lapsed[key] = self._returned_at
            return
        self._remove(key, 'deregistered')

    def _remove(self, key: str, reason: str) -> None:
        gone = self._replicas.pop(key, None)
        if gone is not None:
            events.write(
                'replica_gone',
                replica=key,
                address=gone.address,
                reason=reason,
            )

    def _write(self, event: str, entry) -> None:
        events.write(
            event,
            replica=entry.id,
            service=entry.service,
            address=entry.address,
            state=entry.state,
            versions=entry.versions,
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _is_restarted(before, after) -> bool:
    return (
        before.started_ms != after.started_ms
        or before.address != after.address
        or before.service != after.service
    )
