"""Gives the replicas that are lastingly slower to models with short texts.

Several trainers may share a pool on hosts of different speed. A training step
waits for its longest text, so a slow replica costs a model with long texts
whole steps, and a model with short texts next to nothing. Models with texts of
similar length get slow replicas in equal numbers.
"""

import statistics
import typing

from auburnroad_gateway.directory import replica

# Ratio of a replica's slowness to the median from which it is a slow one.
SLOW_RATIO = 1.15
# Ratio of text lengths from which a model differs from the next shorter one.
LONGER_RATIO = 1.3


class _Swap(typing.NamedTuple):
    """Two replicas that exchange their models."""

    slow_id: str
    fast_id: str


def improve(
    assigned: dict[str, str],
    replicas: list[replica.Replica],
    text_tokens: dict[str, float],
    now: float,
) -> None:
    """Exchange the models of two replicas if that serves long texts better.

    At most one exchange is made for each call, as each costs two loads. The
    number of replicas of each model stays the same.

    Args:
      assigned: Assigned model by replica id; changed in place.
      replicas: Replicas of one service.
      text_tokens: Mean expected output tokens of an item by model.
      now: Monotonic time in seconds.
    """
    slow_ids = _find_slow(replicas, now)
    if not slow_ids:
        return
    swap = _find_swap(assigned, slow_ids, text_tokens)
    if swap is not None:
        assigned[swap.slow_id], assigned[swap.fast_id] = (
            assigned[swap.fast_id],
            assigned[swap.slow_id],
        )


def _find_slow(replicas: list[replica.Replica], now: float) -> set[str]:
    """Find the slow replicas; none while the speed of half is unknown."""
    slowness = {
        target.id: value
        for target in replicas
        if target.pace is not None
        and (value := target.pace.find_lasting_slowness(now))
    }
    if 2 * len(slowness) <= len(replicas):
        return set()
    median = statistics.median_low(slowness.values())
    return {
        replica_id
        for replica_id, value in slowness.items()
        if value >= SLOW_RATIO * median
    }


def _find_swap(
    assigned: dict[str, str],
    slow_ids: set[str],
    text_tokens: dict[str, float],
) -> _Swap | None:
    slow: dict[str, list[str]] = {model: [] for model in text_tokens}
    fast: dict[str, list[str]] = {model: [] for model in text_tokens}
    for replica_id, model in sorted(assigned.items()):
        if model in text_tokens:
            group = slow if replica_id in slow_ids else fast
            group[model].append(replica_id)
    ranks = _rank_lengths(text_tokens)
    for giving in sorted(slow, key=lambda model: -len(slow[model])):
        for taking in sorted(fast, key=lambda model: len(slow[model])):
            if not slow[giving] or not fast[taking] or giving == taking:
                continue
            is_longer = ranks[giving] > ranks[taking]
            is_similar = ranks[giving] == ranks[taking]
            if is_longer or (
                is_similar and len(slow[giving]) > len(slow[taking]) + 1
            ):
                return _Swap(slow[giving][0], fast[taking][0])
    return None


def _rank_lengths(text_tokens: dict[str, float]) -> dict[str, int]:
    """Rank models by text length; models of similar length share a rank.

    Ranks are transitive, unlike ratios of two lengths: exchanges by ratio can
    go round among three models without end.
    """
    ranks: dict[str, int] = {}
    rank, previous = 0, None
    for model in sorted(text_tokens, key=text_tokens.__getitem__):
        length = text_tokens[model]
        if previous is not None and length >= LONGER_RATIO * previous:
            rank += 1
        ranks[model] = rank
        previous = length
    return ranks
