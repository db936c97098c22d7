"""Plans which replicas load an announced weight version, and when.

Plans are pure functions of the replicas' known state. An order carries its
version as the fencing number. A version below the highest version
ordered before is never ordered, even if the engine does not check the fencing
number.
"""

import typing

import msgspec

from auburnroad_core import registry

NO_VERSION = -1
INITIAL_BACKOFF_MS = 200
MAX_BACKOFF_MS = 5_000


class Swap(msgspec.Struct):
    """Load state of one model on one replica.

    Attributes:
      replica: Replica's name.
      model: Model's or adapter's name.
      reported: Version that the engine last reported, -1 for none.
      ordered: Highest version ordered, -1 for none.
      in_flight: Whether an order is waiting for the engine's response.
      up: Whether the replica accepts work.
      running: Number of requests that run on the replica.
      failures: Number of consecutive failed orders.
      next_try_ms: Earliest time of the next order, in Unix milliseconds.
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
SWAP_POLICIES: registry.Registry[Plan] = registry.Registry('swapping')


def is_due(swap: Swap, announced: dict[str, int], now_ms: int) -> bool:
    """Decide whether a replica is ordered to load the announced version now.

    Args:
      swap: The model on the replica.
      announced: Highest announced version by model.
      now_ms: Unix milliseconds.

    Returns:
      True if the replica reports a lower version and is up, no order is in
      flight, the backoff has passed, and no higher version was ordered.
    """
    version = announced.get(swap.model, NO_VERSION)
    if swap.in_flight or not swap.up or now_ms < swap.next_try_ms:
        return False
    return version > swap.reported and version >= swap.ordered


@SWAP_POLICIES.register('all')
def plan_all(
    swaps: list[Swap], announced: dict[str, int], now_ms: int
) -> list[Swap]:
    """Order every replica at once.

    Args:
      swaps: Every model on every replica of the host.
      announced: Highest announced version by model.
      now_ms: Unix milliseconds.

    Returns:
      The swaps to order now, at most one per replica.
    """
    busy = {swap.replica for swap in swaps if swap.in_flight}
    chosen = {}
    for swap in swaps:
        if swap.replica not in busy and is_due(swap, announced, now_ms):
            chosen.setdefault(swap.replica, swap)
    return list(chosen.values())


@SWAP_POLICIES.register('rolling')
def plan_rolling(
    swaps: list[Swap], announced: dict[str, int], now_ms: int
) -> list[Swap]:
    """Order one replica of the host at a time, the least loaded first.

    An order in flight on a replica that is down does not block the other
    replicas.

    Args:
      swaps: Every model on every replica of the host.
      announced: Highest announced version by model.
      now_ms: Unix milliseconds.

    Returns:
      A list with the swap to order now, or an empty list.
    """
    if any(swap.in_flight and swap.up for swap in swaps):
        return []
    due = plan_all(swaps, announced, now_ms)
    due.sort(key=lambda swap: (swap.running, swap.replica, swap.model))
    return due[:1]


def record_order(swap: Swap, version: int) -> None:
    """Record that an order is about to be sent.

    Args:
      swap: The model on the replica.
      version: Ordered version.

    Raises:
      ValueError: If a higher version was ordered before; the plans never
        choose such a swap.
    """
    if version < swap.ordered:
        raise ValueError(
            f'{version} is below the ordered version {swap.ordered}'
        )
    swap.ordered = version
    swap.in_flight = True


def record_result(swap: Swap, succeeded: bool, now_ms: int) -> None:
    """Record the result of an order; a failure sets an exponential backoff.

    Args:
      swap: The model on the replica.
      succeeded: Whether the engine reported the ordered version.
      now_ms: Unix milliseconds.
    """
    swap.in_flight = False
    if succeeded:
        swap.failures = 0
        swap.next_try_ms = 0
        return
    backoff_ms = INITIAL_BACKOFF_MS << min(swap.failures, 10)
    swap.failures += 1
    swap.next_try_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)
