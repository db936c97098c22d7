"""Which replicas are ordered to load which weight version, and when.

The plans are pure functions over what is known of the replicas. An order
carries its version as the fencing number, and a version lower than one that
was ordered before is never ordered, even where the engine would obey it.
"""

import typing

import msgspec

from auburnroad_core import registry

NO_VERSION = -1
FIRST_BACKOFF_MS = 200
MAX_BACKOFF_MS = 5_000


class Swap(msgspec.Struct):
    """One model on one replica, as far as its orders depend on it.

    Attributes:
      replica: Replica's name.
      model: Model's or adapter's name.
      reported: Version that the engine last reported, -1 for none.
      ordered: Highest version ordered, -1 for none.
      in_flight: Whether an order waits for its answer.
      up: Whether the replica takes work.
      running: Requests that run on the replica.
      failures: Orders that failed in a row.
      next_try_ms: Unix milliseconds before which it is left alone.
    """

    replica: str
    model: str
    reported: int = NO_VERSION
    ordered: int = NO_VERSION
    in_flight: bool = False
    up: bool = False
    running: int = 0
    failures: int = 0
    next_try_ms: int = 0


Plan = typing.Callable[[list[Swap], dict[str, int], int], list[Swap]]
SWAPPINGS: registry.Registry[Plan] = registry.Registry('swapping')


def is_due(swap: Swap, announced: dict[str, int], now_ms: int) -> bool:
    """Tell whether a replica is to be ordered to load a version now.

    Args:
      swap: The model on the replica.
      announced: Highest announced version by model.
      now_ms: Unix milliseconds.

    Returns:
      True when it serves an older version and can be tried.
    """
    version = announced.get(swap.model, NO_VERSION)
    if swap.in_flight or not swap.up or now_ms < swap.next_try_ms:
        return False
    return version > swap.reported and version >= swap.ordered


@SWAPPINGS.register('all')
def plan_all(
    swaps: list[Swap], announced: dict[str, int], now_ms: int
) -> list[Swap]:
    """Order every replica at once.

    Args:
      swaps: Every model on every replica of the host.
      announced: Highest announced version by model.
      now_ms: Unix milliseconds.

    Returns:
      Those to order now, at most one for each replica.
    """
    busy = {swap.replica for swap in swaps if swap.in_flight}
    chosen = {}
    for swap in swaps:
        if swap.replica not in busy and is_due(swap, announced, now_ms):
            chosen.setdefault(swap.replica, swap)
    return list(chosen.values())


@SWAPPINGS.register('rolling')
def plan_rolling(
    swaps: list[Swap], announced: dict[str, int], now_ms: int
) -> list[Swap]:
    """Order one replica of the host at a time, the least loaded first.

    A replica that went down in the middle of an order doesn't hold up the
    others.

    Args:
      swaps: Every model on every replica of the host.
      announced: Highest announced version by model.
      now_ms: Unix milliseconds.

    Returns:
      The one to order now, or none.
    """
    if any(swap.in_flight and swap.up for swap in swaps):
        return []
    due = plan_all(swaps, announced, now_ms)
    due.sort(key=lambda swap: (swap.running, swap.replica, swap.model))
    return due[:1]


def record_order(swap: Swap, version: int) -> None:
    """Note that an order leaves.

    Args:
      swap: The model on the replica.
      version: Version that is ordered.

    Raises:
      ValueError: If a higher version was ordered before, which the plans
        never do.
    """
    if version < swap.ordered:
        raise ValueError(f'{version} is older than {swap.ordered}')
    swap.ordered = version
    swap.in_flight = True


def record_end(swap: Swap, succeeded: bool, now_ms: int) -> None:
    """Note how an order ended; a failed one is tried again later.

    Args:
      swap: The model on the replica.
      succeeded: Whether the engine reported the version.
      now_ms: Unix milliseconds.
    """
    swap.in_flight = False
    if succeeded:
        swap.failures = 0
        swap.next_try_ms = 0
        return
    backoff_ms = FIRST_BACKOFF_MS << min(swap.failures, 10)
    swap.failures += 1
    swap.next_try_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)
