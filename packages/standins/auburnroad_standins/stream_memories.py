"""Memories of streams for tests whose subject is something else."""

from auburnroad_gateway.forwarding import stream_releases
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import facts
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter


def build_stream_releases(
    log: partition_log.PartitionLog | None = None,
) -> stream_releases.StreamReleases:
    """Build the memory of a gateway.

    Args:
      log: Log with the facts of other gateways; None for an empty one.
    """
    log = log or partition_log.PartitionLog()
    shared = facts.SharedFacts('host', log)
    records = tail.KeyedTail(log, facts.TOPIC, shared.apply, 0.0)
    return stream_releases.StreamReleases(shared, records.catch_up)


def build_replica_tail(
    replicas, log: partition_log.PartitionLog | None = None
) -> tail.KeyedTail:
    """Build the tail of the registrations of a gateway.

    Args:
      replicas: Directory that gets the registrations.
      log: Log with the registrations; None for an empty one.
    """
    return tail.KeyedTail(
        log or partition_log.PartitionLog(),
        plain_adapter.PlainAdapter.replica_topic,
        replicas.apply,
        0.0,
    )
