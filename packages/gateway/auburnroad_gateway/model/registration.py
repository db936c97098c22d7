"""Registration of a replica in the registry of the platform."""

import enum

import msgspec


class ReplicaState(enum.StrEnum):
    """Whether a replica accepts new work."""

    READY = 'ready'
    DRAINING = 'draining'


class Release(msgspec.Struct, frozen=True, array_like=True):
    """Software that replicas run.

    What replicas of two releases generate doesn't fit together in one text.

    Attributes:
      service: Name of the service.
      software_version: Version of the software, not of the weights; empty if
        not stated.
    """

    service: str
    software_version: str


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
      software_version: Version of the replica's software; empty if not
        stated.
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
    software_version: str = ''

    @property
    def release(self) -> Release:
        """Software that the replica runs."""
        return Release(self.service, self.software_version)
