"""What a replica says of itself in the platform's registry."""

import enum

import msgspec


class ReplicaState(enum.StrEnum):
    """Whether a replica takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


class Registration(msgspec.Struct, frozen=True):
    """One replica's entry.

    Attributes:
      id: Names one start of the replica, together with started_ms.
      service: Service that it belongs to.
      address: 'IP number:port'.
      failure_domain: Failure domain of its host.
      slots: Requests that it runs at once.
      state: Whether it takes new work.
      started_ms: Unix milliseconds of its start, zero if it doesn't say.
      cold_ms: How much longer it stays slow after its start.
      versions: Weight version by model.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: ReplicaState
    started_ms: int = 0
    cold_ms: int = 0
    versions: dict[str, int] = {}
