"""Chooses a replica for a request or a batch item, without I/O.

The slowest run determines when a training step is complete, and each request
on a replica slows the replica's other requests slightly. Items are therefore
placed by measured pace (milliseconds per stream event), and failure domains
decide only between nearly equal paces. A run can be resumed on another replica
at the cost of a second prefill of its text, so long runs are moved off slow
replicas as soon as a fast replica has a free slot.
"""

import msgspec

from auburnroad_gateway.directory import pace
from auburnroad_gateway.directory import replica
from auburnroad_gateway.model import registration

# Relative increase of the time per event from an empty to a full replica.
FULL_LOAD_SLOWDOWN = 0.15
# Load, as a share of the slots, added to replicas in other failure domains.
REMOTE_LOAD_PENALTY = 0.1
# Relative increase of the pace for replicas in other failure domains. It is
# small because most items transfer few bytes.
REMOTE_PACE_PENALTY = 0.03
# A replica whose pace exceeds the median of the eligible replicas by more than
# this factor gets no items: an item that waits briefly for a slot on a faster
# replica finishes earlier.
SLOW_PACE_RATIO = 2.0
# Relative increase of the pace of a replica that is slow at present, over the
# length of a run, and of one of which nothing is known at present.
SLOW_AT_PRESENT = 1.25
UNKNOWN_AT_PRESENT = 1.05
# Share of a replica's KV cache up to which items are placed. When the cache is
# exhausted, the newest run loses its cached tokens.
USABLE_MEMORY_SHARE = 0.95


class ItemRequirements(msgspec.Struct, frozen=True):
    """Requirements of a batch item on a replica.

    Attributes:
      model: Model that generates the output; empty for any model.
      minimum_version: Oldest weight version that may generate the output.
      tokens: Tokens that the item will hold in the KV cache shortly.
      final_tokens: Tokens that the item is expected to hold at its end.
      memory_tokens: Capacity of a replica's KV cache in tokens; zero for no
        limit.
      release: Software that generated the text so far; None for any.
      tokens_per_event: Tokens in one event of the text.
    """

    model: str
    minimum_version: int
    tokens: int = 0
    final_tokens: int = 0
    memory_tokens: int = 0
    release: registration.Release | None = None
    tokens_per_event: int = 1


class Paces(msgspec.Struct, frozen=True):
    """Paces of a set of replicas, in milliseconds per event.

    Attributes:
      fastest_ms: Lowest pace.
      median_ms: Lower median.
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
      candidates: Replicas of the service that accept new work.
      failure_domain: Failure domain of this gateway.
      now: Monotonic time in seconds.
      avoided: Ids of replicas that were already tried.

    Returns:
      The replica with the lowest load. A replica that is avoided after a
      failure or refusal is returned only if no other untried replica exists.
      None if all candidates were tried.
    """
    untried = [target for target in candidates if target.id not in avoided]
    ordered = order_by_load(untried, failure_domain, now)
    return ordered[0] if ordered else None


def order_by_load(
    candidates: list[replica.Replica], failure_domain: str, now: float
) -> list[replica.Replica]:
    """Order replicas for a single request, the best one first.

    Args:
      candidates: Replicas of the service that accept new work.
      failure_domain: Failure domain of this gateway.
      now: Monotonic time in seconds.

    Returns:
      The replicas by load; those that are avoided after a failure or refusal
      come last.
    """
    return sorted(
        candidates,
        key=lambda target: (
            target.avoid_until > now,
            _score_load(target, failure_domain, now),
        ),
    )


def choose_for_item(
    candidates: list[replica.Replica],
    failure_domain: str,
    need: ItemRequirements,
    now: float,
) -> replica.Replica | None:
    """Choose a replica for an item of a batch.

    Args:
      candidates: Replicas of the service that accept new work.
      failure_domain: Failure domain of this gateway.
      need: Requirements of the item.
      now: Monotonic time in seconds.

    Returns:
      The replica with the best expected pace among those with a free slot,
      enough memory at present and, if it limits its rate, a permit. Replicas
      that are expected to hold all their runs in memory until completion come
      first. None if no replica qualifies.
    """
    fresh = list_with_minimum_version(
        candidates, need.model, need.minimum_version
    )
    median = find_median_pace(fresh, now)
    usable = [
        target
        for target in list_with_release(fresh, need.release)
        if target.avoid_until <= now
        and not target.is_loading(now)
        and target.count_free(now) > 0
        and target.may_send(now)
        and has_memory(target, need)
        and not is_too_slow(target, median, now)
    ]
    return min(
        usable,
        key=lambda target: (
            not has_memory_to_finish(target, need),
            _score_pace(target, failure_domain, now, median),
        ),
        default=None,
    )


def has_free_slot(candidates: list[replica.Replica], now: float) -> bool:
    """Tell whether any replica could take an item now.

    While all slots are in use, which is most of the time under load, this
    saves the work of ordering all waiting items.

    Args:
      candidates: Replicas of the service that accept new work.
      now: Monotonic time in seconds.
    """
    return any(
        target.count_free(now) > 0
        and target.avoid_until <= now
        and not target.is_loading(now)
        and target.may_send(now)
        for target in candidates
    )


def list_limited_with_slot(
    candidates: list[replica.Replica], now: float
) -> list[replica.Replica]:
    """List the replicas that limit their rate and could take an item now."""
    return [
        target
        for target in candidates
        if target.rate_limit is not None
        and target.count_free(now) > 0
        and target.avoid_until <= now
        and not target.is_loading(now)
    ]


def is_faster(
    better: replica.Replica,
    current: replica.Replica,
    candidates: list[replica.Replica],
    ratio: float,
    now: float,
) -> bool:
    """Tell whether moving a run to another replica makes it faster.

    Args:
      better: Replica that the run would move to.
      current: Replica that executes the run.
      candidates: All replicas of the service that accept new work.
      ratio: Minimum ratio of the current pace to the new pace.
      now: Monotonic time in seconds.

    Returns:
      Whether the ratio of the paces exceeds the minimum. A destination
      without a measured pace counts with the median of the candidates.
    """
    median = find_median_pace(candidates, now)
    new_pace = better.find_pace(now) or median
    return new_pace > 0 and current.find_pace(now) > ratio * new_pace


def is_too_slow(target: replica.Replica, median_ms: float, now: float) -> bool:
    """Tell whether a replica is too slow for any item.

    A measured pace expires without runs, so that the replica is tried again.

    Args:
      target: Replica to check.
      median_ms: Median pace of the eligible replicas; zero if unknown.
      now: Monotonic time in seconds.
    """
    return 0.0 < SLOW_PACE_RATIO * median_ms < target.find_pace(now)


def has_memory(target: replica.Replica, need: ItemRequirements) -> bool:
    """Tell whether a replica has enough free memory for an item at present.

    Memory for future tokens is not reserved: long runs fill the KV cache only
    late, and a run that loses its cached tokens resumes at the cost of another
    prefill. A replica without runs accepts any item.
    """
    if not need.memory_tokens or not target.in_flight:
        return True
    return (
        target.tokens + need.tokens <= USABLE_MEMORY_SHARE * need.memory_tokens
    )


def has_memory_to_finish(
    target: replica.Replica, need: ItemRequirements
) -> bool:
    """Tell whether an item is expected to fit in memory until its end."""
    if not need.memory_tokens:
        return True
    expected_tokens = target.final_tokens + need.final_tokens
    return expected_tokens <= USABLE_MEMORY_SHARE * need.memory_tokens


def has_minimum_version(
    target: replica.Replica, model: str, minimum: int
) -> bool:
    """Tell whether a replica's weights are new enough; True if unknown."""
    version = target.versions.get(model)
    return not model or version is None or version >= minimum


def list_with_minimum_version(
    candidates: list[replica.Replica], model: str, minimum: int
) -> list[replica.Replica]:
    """List the replicas whose weights are new enough or unknown."""
    return [
        target
        for target in candidates
        if has_minimum_version(target, model, minimum)
    ]


def list_with_release(
    candidates: list[replica.Replica], release: registration.Release | None
) -> list[replica.Replica]:
    """List the replicas that run a release; all if it is None."""
    return [
        target
        for target in candidates
        if release is None or target.release == release
    ]


def find_median_pace(candidates: list[replica.Replica], now: float) -> float:
    """Find the median pace of replicas in milliseconds per event.

    Returns:
      The lower median; zero if no pace is known.
    """
    paces = sorted(
        pace_ms for target in candidates if (pace_ms := target.find_pace(now))
    )
    return paces[(len(paces) - 1) // 2] if paces else 0.0


def expect_pace(
    target: replica.Replica, median_ms: float, now: float
) -> float:
    """Expect the pace of a run at a replica, without slow moments.

    Args:
      target: Replica.
      median_ms: Median pace of its service in milliseconds; zero if unknown.
      now: Monotonic time in seconds.

    Returns:
      Milliseconds between two events; zero if nothing is known. Without a
      measurement, the median and the replica's stated slowness count.
    """
    measured_ms = target.find_pace(now)
    if measured_ms or target.pace is None:
        return measured_ms or median_ms
    return median_ms * (target.pace.find_lasting_slowness(now) or 1.0)


def measure_paces(candidates: list[replica.Replica], now: float) -> Paces:
    """Summarize the measured paces of replicas.

    Args:
      candidates: Replicas of one service.
      now: Monotonic time in seconds.

    Returns:
      Their lowest and median pace; zero if no pace is known.
    """
    known = (
        pace_ms for target in candidates if (pace_ms := target.find_pace(now))
    )
    return Paces(min(known, default=0.0), find_median_pace(candidates, now))


def _score_load(target, failure_domain: str, now: float) -> float:
    load = target.count_load(now) / target.registration.slots
    if target.registration.failure_domain != failure_domain:
        load += REMOTE_LOAD_PENALTY
    return load


def _find_present_factor(estimate: pace.PaceEstimate, now: float) -> float:
    if estimate.is_slow(now):
        return SLOW_AT_PRESENT
    return 1.0 if estimate.is_normal(now) else UNKNOWN_AT_PRESENT


def _score_pace(target, failure_domain, now, median_pace_ms) -> float:
    """Score the expected pace with one more run; lower is better.

    Scores are only compared with each other, so they need no unit.
    """
    pace_ms = expect_pace(target, median_pace_ms, now) or 1.0
    if target.pace is not None:
        pace_ms *= _find_present_factor(target.pace, now)
    load = (target.count_load(now) + 1) / target.registration.slots
    pace_ms *= 1 + FULL_LOAD_SLOWDOWN * load
    if target.registration.failure_domain != failure_domain:
        pace_ms *= 1 + REMOTE_PACE_PENALTY
    return pace_ms
