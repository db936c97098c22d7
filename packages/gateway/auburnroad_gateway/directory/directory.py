"""Directory of the registered replicas.

A replica without a registration gets no new work. Registrations that expired
while the log service was unavailable are an exception: live replicas register
again shortly after the outage, and until then the last known registrations
stay in use.
"""

import time

from auburnroad_gateway.directory import replica
from auburnroad_gateway.log import service
from auburnroad_gateway.model import registration
from auburnroad_gateway.telemetry import events

# Live replicas have registered again within this time after an outage.
REREGISTRATION_SECONDS = 2.0
# A reader that got no answer for this long may have missed an outage.
OUTAGE_SECONDS = 1.5


class Directory:
    """Replicas by service, updated from their registration records."""

    __slots__ = (
        '_adapter',
        '_replicas',
        '_lapsed',
        '_outage_ended_at',
        '_listeners',
    )

    def __init__(self, adapter):
        self._adapter = adapter
        self._replicas: dict[str, replica.Replica] = {}
        self._lapsed: dict[str, float] = {}
        self._outage_ended_at = float('-inf')
        self._listeners = []

    def on_change(self, listener) -> None:
        """Call a function after each change of the registrations.

        Args:
          listener: Function without arguments.
        """
        self._listeners.append(listener)

    def list_all(self, service_name: str) -> list[replica.Replica]:
        """List the replicas of a service, including draining ones."""
        return [
            entry
            for entry in self._replicas.values()
            if entry.registration.service == service_name
        ]

    def list_ready(self, service_name: str) -> list[replica.Replica]:
        """List the replicas of a service that accept new work."""
        return [
            entry
            for entry in self.list_all(service_name)
            if entry.registration.state is registration.ReplicaState.READY
        ]

    def is_ready(self, entry: replica.Replica) -> bool:
        """Tell whether a replica is registered and accepts new work."""
        return (
            self._replicas.get(entry.id) is entry
            and entry.registration.state is registration.ReplicaState.READY
        )

    def note_outage_end(self, now: float) -> None:
        """Record that the log service is readable again after an outage.

        Args:
          now: Monotonic time in seconds.
        """
        self._outage_ended_at = now

    def apply(self, record: service.KeyedRecord) -> None:
        """Apply a registration record of the log."""
        entry = None
        if record.value:
            entry = self._adapter.decode_registration(record)
        if entry is None:
            self._drop_registration(record.key)
        else:
            self._put_registration(entry)
        self._notify()

    def expire(self, now: float) -> None:
        """Remove replicas that did not register again after an outage.

        Args:
          now: Monotonic time in seconds.
        """
        if now - self._outage_ended_at < REREGISTRATION_SECONDS:
            return
        for key in list(self._lapsed):
            del self._lapsed[key]
            self._remove(key, 'lapsed in an outage')
            self._notify()

    def _put_registration(self, entry: registration.Registration) -> None:
        self._lapsed.pop(entry.id, None)
        current = self._replicas.get(entry.id)
        if current is None or _is_restarted(current.registration, entry):
            self._replicas[entry.id] = replica.Replica(entry)
            self._write('replica_registered', entry)
            return
        before = current.registration
        current.registration = entry
        if entry.versions != before.versions:
            current.versions.update(entry.versions)
        if entry.state is not before.state:
            self._write('replica_state_changed', entry)

    def _drop_registration(self, key: str) -> None:
        if key not in self._replicas:
            return
        if time.monotonic() - self._outage_ended_at < REREGISTRATION_SECONDS:
            self._lapsed[key] = self._outage_ended_at
            return
        self._remove(key, 'deregistered')

    def _remove(self, key: str, reason: str) -> None:
        removed = self._replicas.pop(key, None)
        if removed is not None:
            events.write(
                'replica_gone',
                replica=key,
                address=removed.address,
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
