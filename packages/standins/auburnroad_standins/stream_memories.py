"""Memories of streams for tests whose subject is something else."""

from auburnroad_gateway.forwarding import stream_releases
from auburnroad_gateway.members import facts
from auburnroad_standins import partition_log


def build_stream_releases() -> stream_releases.StreamReleases:
    """Build a memory that knows only what is shared through it."""
    shared = facts.SharedFacts('host', partition_log.PartitionLog())
    return stream_releases.StreamReleases(shared, _find_nothing)


async def _find_nothing() -> None:
    """Read no facts of other gateways."""
