"""Chooses a replica for a request or an item. Pure decisions on data.

Pattern: the slowest run decides when a step is whole, and every request that
a replica runs slows its others a little. Work therefore goes where the
measured pace is best, and a near replica only goes first among equals. A run
can be resumed elsewhere for the price of reading its text once more, so that
long ones leave slow replicas as soon as a fast one has a free slot.
"""

import msgspec

from auburnroad_gateway.directory import replica

# A full replica needs so much longer for an event than an empty one.
FULL_SLOWDOWN = 0.15
# A near replica is preferred up to this difference of the relative load.
NEAR_BONUS = 0.1
# The same for items, relative to the pace: most of their bytes are few.
NEAR_PACE_BONUS = 0.03
# A replica that is slower by this factor than the median of those that an item
# may run at gets none: one that waits a moment for a slot is done sooner.
CRAWL_RATIO = 2.0
# Share of a replica's memory that may be filled: when it runs out, the newest
# run loses what it has.
MEMORY_SHARE = 0.95


class Need(msgspec.Struct, frozen=True):
    """What an item needs of a replica.

    Attributes:
      model: Model that generates; empty for any.
      minimum_version: Oldest weight version that may generate.
      tokens: Tokens that it is about to hold in memory.
      final_tokens: Tokens that it is expected to hold when it ends.
      memory_tokens: Tokens that a replica holds; zero for no limit.
    """

    model: str
    minimum_version: int
    tokens: int = 0
    final_tokens: int = 0
    memory_tokens: int = 0


class Paces(msgspec.Struct, frozen=True):
    """How fast a number of replicas are, in milliseconds an event.

    Attributes:
      fastest_ms: The best pace.
      median_ms: The lower median.
    """

    fastest_ms: float
    median_ms: float


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
        key=lambda entry: _rate_load(entry, failure_domain, now),
        default=None,
    )


def choose_for_item(
    candidates: list[replica.Replica],
    failure_domain: str,
    need: Need,
    now: float,
) -> replica.Replica | None:
    """Choose a replica for an item of a batch.

    Args:
      candidates: Replicas of the service that take new work.
      failure_domain: The gateway's own.
      need: What the item needs.
      now: Monotonic time in seconds.

    Returns:
      The one that is expected to generate fastest, of those with a free
      slot and memory for now; those that are expected to keep all their runs
      in memory to the end go first. None if there is none.
    """
    fresh = list_fresh(candidates, need.model, need.minimum_version)
    median = find_median_pace(fresh, now)
    usable = [
        entry
        for entry in fresh
        if entry.avoid_until <= now
        and not entry.is_loading(now)
        and entry.count_free(now) > 0
        and has_memory(entry, need)
        and not crawls(entry, median, now)
    ]
    return min(
        usable,
        key=lambda entry: (
            not fits_to_the_end(entry, need),
            _rate_pace(entry, failure_domain, now, median),
        ),
        default=None,
    )


def is_faster(
    better: replica.Replica,
    current: replica.Replica,
    candidates: list[replica.Replica],
    ratio: float,
    now: float,
) -> bool:
    """Tell whether a run gains by moving from one replica to another.

    Args:
      better: Where it would go.
      current: Where it runs.
      candidates: All replicas of the service that take new work.
      ratio: How much faster it has to be.
      now: Monotonic time in seconds.

    Returns:
      Whether the pace there is better by that ratio.
    """
    median = find_median_pace(candidates, now)
    there = better.find_pace(now) or median
    return there > 0 and current.find_pace(now) > ratio * there


def crawls(entry: replica.Replica, median_ms: float, now: float) -> bool:
    """Tell whether a replica is too slow for any item.

    What is known of its pace is forgotten after a while without runs, so that
    it is tried again.
    """
    return 0.0 < CRAWL_RATIO * median_ms < entry.find_pace(now)


def has_memory(entry: replica.Replica, need: Need) -> bool:
    """Tell whether a replica has memory for an item at the moment.

    Long runs fill their memory late, and a run that loses it goes on for the
    price of reading its text again: slots aren't left free for what may come.
    One that runs nothing takes any item.
    """
    if not need.memory_tokens or not entry.in_flight:
        return True
    return entry.tokens + need.tokens <= MEMORY_SHARE * need.memory_tokens


def fits_to_the_end(entry: replica.Replica, need: Need) -> bool:
    """Tell whether a replica is expected to keep an item to its end."""
    if not need.memory_tokens:
        return True
    filled = entry.final_tokens + need.final_tokens
    return filled <= MEMORY_SHARE * need.memory_tokens


def is_fresh(entry: replica.Replica, model: str, minimum: int) -> bool:
    """Tell whether a replica's weights are new enough, as far as known."""
    version = entry.versions.get(model)
    return not model or version is None or version >= minimum


def list_fresh(
    candidates: list[replica.Replica], model: str, minimum: int
) -> list[replica.Replica]:
    """List the replicas whose weights are new enough, as far as known."""
    return [entry for entry in candidates if is_fresh(entry, model, minimum)]


def find_median_pace(candidates: list[replica.Replica], now: float) -> float:
    """Find the median pace of replicas in milliseconds an event.

    Returns:
      The lower median, zero if no pace is known.
    """
    paces = sorted(
        pace for entry in candidates if (pace := entry.find_pace(now))
    )
    return paces[(len(paces) - 1) // 2] if paces else 0.0


def measure_paces(candidates: list[replica.Replica], now: float) -> Paces:
    """Measure the paces of replicas.

    Args:
      candidates: Replicas of one service.
      now: Monotonic time in seconds.

    Returns:
      Their paces, zero where none is known.
    """
    known = (pace for entry in candidates if (pace := entry.find_pace(now)))
    return Paces(min(known, default=0.0), find_median_pace(candidates, now))


def _rate_load(entry, failure_domain: str, now: float) -> float:
    load = entry.count_load(now) / entry.registration.slots
    if entry.registration.failure_domain != failure_domain:
        load += NEAR_BONUS
    return load


def _rate_pace(entry, failure_domain, now, median_pace_ms) -> float:
    """Rate the expected pace with one more run; any unit will do."""
    pace = entry.find_pace(now) or median_pace_ms or 1.0
    load = (entry.count_load(now) + 1) / entry.registration.slots
    pace *= 1 + FULL_SLOWDOWN * load
    if entry.registration.failure_domain != failure_domain:
        pace *= 1 + NEAR_PACE_BONUS
    return pace
