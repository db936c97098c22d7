"""Promises on requests that crash replicas; see promises.py."""

from auburnroad_e2e.soak import faults
from auburnroad_e2e.soak import world as worlds
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica

# From so long after a request has ended the third replica, gateways send it no
# more than three times.
CONTACT_SECONDS = 3.0
KNOWN_CRASHES = 3
ALLOWED_SENDS = 3


def check_kept_away(world, callers):
    """A request that ended three replicas reaches at most three more."""
    crashes: dict[str, list[platform_replica.Crash]] = {}
    for crash in world.books.crashes:
        crashes.setdefault(crash.path, []).append(crash)
    for path, ends in crashes.items():
        if len(ends) <= KNOWN_CRASHES + ALLOWED_SENDS:
            continue
        late_from = ends[KNOWN_CRASHES - 1].at + CONTACT_SECONDS
        late = 0
        for crash in ends:
            send = world.crashing_sends[crash.request_id]
            begin = send.started - CONTACT_SECONDS
            late += (
                crash.at > late_from
                and world.is_calm(
                    faults.find_gateway(world, send.gateway), begin, crash.at
                )
                and not world.loop_trace.leave_out(begin, crash.at)
            )
        if late > ALLOWED_SENDS:
            yield f'{path} ended {len(ends)} replicas, {late} too late'


def check_spared(world, callers):
    """A gateway ends no second replica of three before the first is back."""
    newest: dict[tuple[str, str], float] = {}
    for crash in world.books.crashes:
        send = world.crashing_sends[crash.request_id]
        since = newest.get((crash.path, send.gateway), float('-inf'))
        newest[crash.path, send.gateway] = crash.at
        if crash.at >= since + worlds.CRASHED_SECONDS:
            continue
        begin = since - faults.AFTERMATH_SECONDS
        if (
            world.is_calm(
                faults.find_gateway(world, send.gateway), begin, crash.at
            )
            and not _has_fault(world, begin, crash.at)
            and not world.loop_trace.leave_out(since, crash.at)
        ):
            took = crash.at - since
            yield f'{crash.path} ended {crash.replica} after {took:.2f} s'


def check_harmless(world, callers):
    """Only requests that crash replicas are refused for that."""
    for attempt in callers.attempts:
        if attempt.refused_as == platform_calls.CRASHES_REPLICAS:
            yield f'{attempt.request_id} was refused by {attempt.gateway}'


def _has_fault(world: worlds.World, start: float, end: float) -> bool:
    """Tell whether a plain replica had a fault other than a crash."""
    names = {replica.id for replica in world.plain}
    return any(
        entry.start < end and entry.end > start
        for entry in world.disturbances
        if entry.subject in names and entry.kind != worlds.CRASHED
    )
