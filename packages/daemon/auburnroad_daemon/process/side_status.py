"""The response body of /status at a side, and its heartbeat versions."""

import msgspec

from auburnroad_daemon.connection import replica as replica_module


class ReplicaStatus(msgspec.Struct):
    """Status of a replica in the response body of /status."""

    name: str
    service: str
    ready: bool
    running: int
    versions: dict[str, int]


class SideStatus(msgspec.Struct):
    """Response body of /status at a side."""

    daemon: str
    role: str
    host: str
    failure_domain: str
    incarnation: str
    revision: int
    leaving: bool
    replicas: list[ReplicaStatus]
    versions: dict[str, int]
    hosts: list = []
    trainers: list = []


def find_oldest_versions(
    replicas: list[replica_module.Replica],
) -> dict[str, int]:
    """Find the oldest weight version of each model on the ready replicas.

    Args:
      replicas: Replicas on the host.

    Returns:
      Weight version by model.
    """
    oldest: dict[str, int] = {}
    for replica in replicas:
        if not replica.health.up:
            continue
        for model, version in replica.versions.items():
            oldest[model] = min(oldest.get(model, version), version)
    return oldest


def build_status(side) -> SideStatus:
    """Build the status of a side.

    Args:
      side: The side.

    Returns:
      The status.
    """
    settings = side.settings
    return SideStatus(
        settings.name,
        'side',
        settings.host,
        settings.failure_domain,
        side.incarnation,
        side.revision,
        side.leaving,
        [
            ReplicaStatus(
                replica.name,
                replica.service,
                replica.health.up,
                len(replica.running),
                replica.versions,
            )
            for replica in side.replicas
        ],
        find_oldest_versions(side.replicas),
    )
