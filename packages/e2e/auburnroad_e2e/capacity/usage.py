"""What processes use between two moments: processor time, memory, bytes."""

import asyncio
import statistics
import time

import msgspec

from auburnroad_core.settings import daemon
from auburnroad_e2e.capacity import fleet as fleets

MEGABYTE = 1_000_000
STREAM_BYTES = 'auburnroad_stream_bytes_total{{direction="{}"}}'
HTTP_BYTES = 'auburnroad_http_client_bytes_total{{direction="{}"}}'


class Usage(msgspec.Struct, frozen=True):
    """Use of one daemon, or the mean over several.

    Attributes:
      cpu_percent: Processor time in percent of a core.
      rss_mb: Resident memory in megabytes.
      stream_in: Bytes a second that came by streams.
      stream_out: Bytes a second that went by streams.
      http: Bytes a second of its HTTP client, both ways: log service, host
        list, probes of targets.
    """

    cpu_percent: float
    rss_mb: float
    stream_in: float
    stream_out: float
    http: float


class _Reading(msgspec.Struct):
    at: float
    cpu_seconds: float
    rss_mb: float
    counters: dict[str, float]


async def measure(
    fleet: fleets.Fleet, daemons: list[daemon.Daemon], seconds: float
) -> list[Usage]:
    """Measure what daemons use.

    Args:
      fleet: The running deployment.
      daemons: Settings of the daemons to measure.
      seconds: For how long.

    Returns:
      The use of each, in order.
    """
    before = [await _read(fleet, settings) for settings in daemons]
    await asyncio.sleep(seconds)
    after = [await _read(fleet, settings) for settings in daemons]
    return [build_usage(*pair) for pair in zip(before, after)]


async def _read(fleet, settings) -> _Reading:
    # The clock is read beside the processor time, since the reading of many
    # daemons takes a while itself.
    counters = await fleet.read_metrics(settings)
    process = fleet.find_process(settings.name)
    return _Reading(
        time.monotonic(),
        fleet.read_cpu(settings.name),
        process.memory_info().rss / MEGABYTE,
        counters,
    )


def build_usage(before: _Reading, after: _Reading) -> Usage:
    """Build the use between two readings of one daemon."""
    seconds = after.at - before.at

    def rate(pattern: str, direction: str) -> float:
        name = pattern.format(direction)
        return (after.counters[name] - before.counters[name]) / seconds

    return Usage(
        100 * (after.cpu_seconds - before.cpu_seconds) / seconds,
        after.rss_mb,
        rate(STREAM_BYTES, 'in'),
        rate(STREAM_BYTES, 'out'),
        rate(HTTP_BYTES, 'in') + rate(HTTP_BYTES, 'out'),
    )


def build_mean(usages: list[Usage]) -> Usage:
    """Build the mean of each figure over daemons.

    The system counts processor time in steps of 10 ms, which is much for one
    idle daemon and little for several.
    """
    return Usage(
        *(
            statistics.mean(getattr(usage, field) for usage in usages)
            for field in Usage.__struct_fields__
        )
    )
