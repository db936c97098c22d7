"""When a run is better off at another replica.

A run can go on elsewhere behind its last event for the price of reading its
text once more. It moves when its replica has fallen silent, is about to load
weights or drains, or when a faster one has a free slot.
"""

from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement

# Events come every 40 to 120 ms; a run that is silent for so long, at a
# replica that isn't loading, goes on elsewhere.
STALL_SECONDS = 0.6
# Until its first event a run may wait in the replica's queue.
FIRST_EVENT_SECONDS = 1.2
# A run that moves for speed stays so long where it is, so that runs don't
# chase each other.
SETTLE_SECONDS = 0.4
# A run moves to a replica that is faster by this factor: any run away from a
# slow replica, a long one already to a somewhat faster one. Below it,
# measuring errors and the moves themselves outweigh the gain.
SLOW_RATIO = 1.6
FAST_RATIO = 1.15
# Runs that have made so many events are mostly long ones, for which a small
# gain of pace pays for the move.
LONG_EVENTS = 30


def is_stalled(run: runs.ItemRun, now: float) -> bool:
    """Tell whether a run has been silent for too long.

    Args:
      run: A run at a replica; while that loads, its silence doesn't count.
      now: Monotonic time in seconds.

    Returns:
      Whether it is to go on elsewhere.
    """
    if run.replica.is_loading(now):
        run.progress_at = max(run.progress_at, now - STALL_SECONDS / 2)
        return False
    limit = STALL_SECONDS if run.texts else FIRST_EVENT_SECONDS
    return now - run.progress_at > limit


def find_reason(
    run: runs.ItemRun,
    need: placement.Need,
    replicas: directory.Directory,
    failure_domain: str,
    crowded: bool,
    paces: placement.Paces,
    now: float,
) -> str:
    """Find why a run is better off elsewhere.

    Args:
      run: A run at a replica.
      need: What it needs of one.
      replicas: All replicas.
      failure_domain: The gateway's own.
      crowded: Whether items wait for a slot; they go before a gain of pace.
      paces: Paces of the replicas that may run it.
      now: Monotonic time in seconds.

    Returns:
      'vacating', 'slow', 'crawling' if it had better wait than stay, or
      nothing if it stays.
    """
    current = run.replica
    vacate = current.vacating or not replicas.is_ready(current)
    settled = bool(run.texts) and now - run.started_at >= SETTLE_SECONDS
    if not vacate and not settled:
        return ''
    if not vacate and placement.crawls(current, paces.median_ms, now):
        return 'crawling'
    if not vacate and (
        crowded or current.find_pace(now) <= find_ratio(run) * paces.fastest_ms
    ):
        return ''
    ready = replicas.list_ready(current.registration.service)
    better = placement.choose_for_item(ready, failure_domain, need, now)
    if better is None or better is current:
        return ''
    if vacate:
        return 'vacating'
    faster = placement.is_faster(better, current, ready, find_ratio(run), now)
    return 'slow' if faster else ''


def find_ratio(run: runs.ItemRun) -> float:
    """Find how much faster a replica has to be to be worth a move."""
    return SLOW_RATIO if len(run.texts) < LONG_EVENTS else FAST_RATIO
