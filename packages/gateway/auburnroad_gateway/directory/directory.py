"""Directory of the registered replicas.

A replica without a registration gets no new work. Registrations that expired
while the log service was unavailable are an exception: live replicas register
again shortly after the outage, and until then the last known registrations
stay in use.

A replica also states in its answers that it is about to exit, possibly before
its registration does or without a path to the log service. Such a replica gets
no new work whatever its registrations say, until it is started again.
"""

import time

from auburnroad_gateway import adapter as adapters

from auburnroad_gateway.directory import replica
from auburnroad_gateway.log import service
from auburnroad_gateway.model import registration
from auburnroad_gateway.telemetry import events

# Time after an outage within which every live replica registers again.
REREGISTRATION_SECONDS = 2.0
# Time without an answer after which a reader may not have detected an outage.
OUTAGE_SECONDS = 1.5
# Number of removed replicas that are recognized if they register again.
MAX_REMOVED = 1000


class Directory:
    """Replicas by service, updated from their registration records."""

    __slots__ = (
        '_adapter',
        '_replicas',
        '_lapsed',
        '_removed',
        '_outage_ended_at',
        '_listeners',
    )

    def __init__(self, adapter):
        self._adapter = adapter
        self._replicas: dict[str, replica.Replica] = {}
        self._lapsed: dict[str, float] = {}
        self._removed: dict[str, replica.Replica] = {}
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
            target
            for target in self._replicas.values()
            if target.registration.service == service_name
        ]

    def list_ready(self, service_name: str) -> list[replica.Replica]:
        """List the replicas of a service that accept new work."""
        return [
            target for target in self.list_all(service_name) if target.is_ready
        ]

    def list_failure_domains(self) -> set[str]:
        """List the failure domains of the replicas of all services."""
        return {
            target.registration.failure_domain
            for target in self._replicas.values()
        }

    def is_ready(self, target: replica.Replica) -> bool:
        """Tell whether a replica is registered and accepts new work."""
        return self._replicas.get(target.id) is target and target.is_ready

    def note_outage(self, now: float) -> None:
        """Record that the log service is readable again after an outage.

        Args:
          now: Monotonic time in seconds.
        """
        self._outage_ended_at = now

    def apply(self, record: service.KeyedRecord) -> None:
        """Apply a registration record of the log."""
        decoded = self._decode(record) if record.value else None
        if decoded is None:
            self._drop_registration(record.key)
        else:
            self._put_registration(decoded)
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

    def _decode(
        self, record: service.KeyedRecord
    ) -> registration.Registration | None:
        try:
            return self._adapter.decode_registration(record)
        except adapters.InvalidMessageError as error:
            events.write_invalid_record(
                self._adapter.replica_topic, record.key, error
            )
            return None

    def _put_registration(self, new: registration.Registration) -> None:
        self._lapsed.pop(new.id, None)
        current = self._replicas.get(new.id) or self._restore(new)
        if current is not None and _is_superseded(new, current.registration):
            self._write('registration_outdated', new)
            return
        if current is None or _is_restarted(current.registration, new):
            if current is not None:
                current.superseded = current.release != new.release
            self._replicas[new.id] = replica.Replica(new)
            self._write('replica_registered', new)
            return
        previous = current.registration
        current.registration = new
        if new.versions != previous.versions:
            current.versions.update(new.versions)
        if new.state is not previous.state:
            self._write('replica_state_changed', new)

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
            self._removed[key] = removed
            if len(self._removed) > MAX_REMOVED:
                del self._removed[next(iter(self._removed))]
            events.write(
                'replica_gone',
                replica=key,
                address=removed.address,
                reason=reason,
            )

    def _restore(
        self, new: registration.Registration
    ) -> replica.Replica | None:
        """Restore a removed replica that registers again without a restart.

        What is known of it stays valid, and answers to requests that were
        sent before its removal may still tell that it leaves.
        """
        removed = self._removed.pop(new.id, None)
        if removed is None:
            return None
        if _is_restarted(removed.registration, new):
            removed.superseded = removed.release != new.release
            return None
        self._replicas[new.id] = removed
        self._write('replica_registered', new)
        return removed

    def _write(self, event: str, new) -> None:
        events.write(
            event,
            replica=new.id,
            service=new.service,
            address=new.address,
            state=new.state,
            versions=new.versions,
            software_version=new.software_version,
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _is_superseded(new, current) -> bool:
    """Tell whether a registration is of an earlier start than another one."""
    return (
        new.address == current.address
        and 0 < new.started_ms < current.started_ms
    )


def _is_restarted(previous, new) -> bool:
    """Tell whether a registration is of another start than a previous one."""
    return (
        previous.started_ms != new.started_ms
        or previous.address != new.address
        or previous.release != new.release
    )
