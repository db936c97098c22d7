"""Crash watches for tests whose subject is something else."""

from auburnroad_core.http import listener
from auburnroad_gateway.forwarding import crash_watch
from auburnroad_gateway.members import facts
from auburnroad_standins import partition_log


def build_crash_watch() -> crash_watch.CrashWatch:
    """Build a watch to which all replicas seem to listen."""
    shared = facts.SharedFacts('host', partition_log.PartitionLog())
    return crash_watch.CrashWatch(shared, find_listening)


async def find_listening(address: str, timeout_seconds: float):
    """Find that an address accepts connections, without a connection."""
    return listener.Listener.LISTENING
