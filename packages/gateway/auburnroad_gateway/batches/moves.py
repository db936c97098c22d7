"""Decides when a run moves to another replica.

A run can be resumed at another replica after its last event, at the cost of
prefilling its text again. It moves when its replica sends no events, is about
to load weights or is draining, or when a faster replica has a free slot.
"""

from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.batches import speed_gain
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement

# Maximum time between two events of a run, which arrive every 40 to 120 ms.
# The run is moved after this time, unless its replica is loading weights.
STALL_SECONDS = 0.6
# Maximum time until the first event, which includes the wait in the replica's
# queue.
FIRST_EVENT_TIMEOUT_SECONDS = 1.2
# Minimum time at a replica before a run may move for speed, so that runs don't
# keep displacing each other.
MIN_STAY_SECONDS = 0.4
# Speedup that justifies a move; it is smaller for long runs. Below these
# factors, measurement errors and the cost of the move outweigh the gain.
SHORT_RUN_MIN_SPEEDUP = 1.6
LONG_RUN_MIN_SPEEDUP = 1.15
# Number of events from which most runs turn out to be long, so that a small
# speedup outweighs the cost of the move.
LONG_RUN_EVENTS = 30


def is_stalled(run: runs.ItemRun, now: float) -> bool:
    """Tell whether the next event of a run is overdue.

    Args:
      run: A run at a replica. While the replica loads weights, the run never
        counts as stalled, and its progress time is moved forward.
      now: Monotonic time in seconds.

    Returns:
      Whether the run is to be moved.
    """
    if run.replica.is_loading(now):
        run.progress_at = max(run.progress_at, now - STALL_SECONDS / 2)
        return False
    limit = STALL_SECONDS if run.texts else FIRST_EVENT_TIMEOUT_SECONDS
    return now - run.progress_at > limit


def find_move_reason(
    run: runs.ItemRun,
    need: placement.ItemRequirements,
    replicas: directory.Directory,
    failure_domain: str,
    has_waiting_items: bool,
    paces: placement.Paces,
    now: float,
) -> str:
    """Find the reason for which a run should move to another replica.

    Args:
      run: A run at a replica.
      need: Requirements of the run on a replica.
      replicas: All replicas.
      failure_domain: Failure domain of this gateway.
      has_waiting_items: Whether items wait for a slot; they get free slots
        before runs on replicas that state no slowness.
      paces: Paces of the replicas that may run the item.
      now: Monotonic time in seconds.

    Returns:
      'vacating' if the replica is not ready or about to load weights and
      another replica has a free slot, 'slow' if a faster replica has a free
      slot, 'slow moment' if the replica is slow at present and another one
      with a free slot isn't, 'crawling' if the run ends sooner by waiting for
      a slot at another replica, or an empty string if the run stays. A replica
      of another release than the text's is no other replica.
    """
    current = run.replica
    must_vacate = current.vacating or not replicas.is_ready(current)
    may_move = bool(run.texts) and now - run.started_at >= MIN_STAY_SECONDS
    if not must_vacate and not may_move:
        return ''
    ready = replicas.list_ready(current.registration.service)
    if not must_vacate and placement.is_too_slow(
        current, paces.median_ms, now
    ):
        others = placement.list_with_release(ready, need.release)
        return 'crawling' if set(others) - {current} else ''
    if must_vacate:
        candidate = placement.choose_for_item(ready, failure_domain, need, now)
        return '' if candidate in (None, current) else 'vacating'
    if current.pace is not None:
        return speed_gain.find_reason(
            run, need, ready, failure_domain, paces, now
        )
    if has_waiting_items:
        return ''
    return _find_speed_reason(run, need, ready, failure_domain, paces, now)


def _find_speed_reason(
    run, need, ready, failure_domain: str, paces: placement.Paces, now: float
) -> str:
    """Find whether a run leaves a replica that states no slowness."""
    min_speedup = find_min_speedup(run)
    if run.replica.find_pace(now) <= min_speedup * paces.fastest_ms:
        return ''
    candidate = placement.choose_for_item(ready, failure_domain, need, now)
    if candidate in (None, run.replica):
        return ''
    faster = placement.is_faster(
        candidate, run.replica, ready, min_speedup, now
    )
    return 'slow' if faster else ''


def find_min_speedup(run: runs.ItemRun) -> float:
    """Find the minimum speedup for which a run moves, as a factor."""
    return (
        SHORT_RUN_MIN_SPEEDUP
        if len(run.texts) < LONG_RUN_EVENTS
        else LONG_RUN_MIN_SPEEDUP
    )
