"""Chooses a replica for a request or an item. Pure decisions on data.

Pattern: the slowest run decides when a step is whole, and every request that
a replica runs slows its others a little. Work therefore goes where the most
slots are free in relation to the measured pace, and a near replica only goes
first among equals.
"""

from auburnroad_gateway.directory import replica

# A replica is slow when an event takes it so much longer than the median.
SLOW_RATIO = 1.6
# A near replica is preferred up to this difference of the relative load.
NEAR_BONUS = 0.1


def choose_replica(
    candidates: list[replica.Replica],
    failure_domain: str,
    now: float,
    avoided: frozenset[str] | set[str] = frozenset(),
) -> replica.Replica | None:
    """Choose a replica for a single request.

    Args:
      candidates: Replicas of the service that take new work.
      failure_domain: The gateway's own.
      now: Monotonic time in seconds.
      avoided: Ids of replicas that were already tried.

    Returns:
      The one with the lowest load; one that is passed over at the moment
      only if there is no other. None if all were tried.
    """
    left = [entry for entry in candidates if entry.id not in avoided]
    calm = [entry for entry in left if entry.avoid_until <= now]
    return min(
        calm or left,
        key=lambda entry: _rate(entry, failure_domain, now, 0.0),
        default=None,
    )


def choose_for_item(
    candidates: list[replica.Replica],
    failure_domain: str,
    model: str,
    minimum_version: int,
    now: float,
) -> replica.Replica | None:
    """Choose a replica for an item of a batch.

    Args:
      candidates: Replicas of the service that take new work.
      failure_domain: The gateway's own.
      model: Model that generates; empty for any.
      minimum_version: Oldest weight version that may generate.
      now: Monotonic time in seconds.

    Returns:
      The best one with a free slot, None if no such replica has one.
    """
    usable = [
        entry
        for entry in candidates
        if entry.avoid_until <= now
        and not entry.is_loading(now)
        and entry.count_free(now) > 0
        and is_fresh(entry, model, minimum_version)
    ]
    median = find_median_pace(candidates)
    return min(
        usable,
        key=lambda entry: _rate(entry, failure_domain, now, median),
        default=None,
    )


def is_fresh(entry: replica.Replica, model: str, minimum: int) -> bool:
    """Tell whether a replica's weights are new enough, as far as known."""
    version = entry.versions.get(model)
    return not model or version is None or version >= minimum


def is_slow(entry: replica.Replica, median_pace_ms: float) -> bool:
    """Tell whether a replica is much slower than its peers."""
    return median_pace_ms > 0 and entry.pace_ms > SLOW_RATIO * median_pace_ms


def find_median_pace(candidates: list[replica.Replica]) -> float:
    """Find the median pace of replicas in milliseconds an event.

    Returns:
      The lower median, zero if no pace is known.
    """
    paces = sorted(entry.pace_ms for entry in candidates if entry.pace_ms)
    return paces[(len(paces) - 1) // 2] if paces else 0.0


def _rate(entry, failure_domain, now, median_pace_ms) -> tuple:
    load = entry.count_load(now) / entry.registration.slots
    if entry.registration.failure_domain != failure_domain:
        load += NEAR_BONUS
    return is_slow(entry, median_pace_ms), load
