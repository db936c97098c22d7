"""Registration of a replica in the registry of the platform."""

import enum

import msgspec


class ReplicaState(enum.StrEnum):
    """Whether a replica accepts new work."""

    READY = 'ready'
    DRAINING = 'draining'


class Registration(msgspec.Struct, frozen=True):
    """Registry entry of a replica.

    Attributes:
      id: Id of the replica; unique per run together with started_ms.
      service: Name of the replica's service.
      address: Address as 'IP:port'.
      failure_domain: Failure domain of the replica's host.
      slots: Maximum number of concurrent requests.
      state: Whether the replica accepts new work.
      started_ms: Start time in Unix milliseconds; zero if not stated.
      cold_ms: Remaining warm-up time in milliseconds, during which the replica
        is slow.
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
