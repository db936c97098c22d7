"""Ordering policies that choose the next waiting request for a free slot.

Policies are pure functions of the waiting and running requests, so that they
can be compared without running a daemon. Each is registered under its name
in the deployment's policies.
"""

import typing

import msgspec

from auburnroad_core import registry

# Used instead of a trainer's name for all interactive requests.
CALLERS = ''
# Weight of all callers together, and of a trainer without a configured weight.
DEFAULT_SHARE = 1


class WaitingRequest(msgspec.Struct, frozen=True):
    """The properties of a waiting request that determine its order.

    Attributes:
      request_id: Id of the request.
      trainer: Trainer that sent the request, or CALLERS if interactive.
      step: Training step that the request belongs to.
      group: Sample group within the step.
      arrived_ms: Arrival time in Unix milliseconds.
    """

    request_id: str
    trainer: str
    step: int
    group: str
    arrived_ms: int


class QueueView(msgspec.Struct):
    """Input of an ordering policy.

    Attributes:
      waiting: Waiting requests that a free replica can run.
      running: Number of running requests by trainer, with CALLERS for
        interactive requests.
      shares: Fair-share weight by trainer.
      progress: Number of samples started by trainer, step and group.
      slots: Slots of all ready replicas.
      reserved: Slots out of `slots` that only interactive requests may use.
    """

    waiting: list[WaitingRequest]
    running: dict[str, int]
    shares: dict[str, int]
    progress: dict[tuple[str, int, str], int]
    slots: int
    reserved: int


OrderingPolicy = typing.Callable[[QueueView], WaitingRequest | None]
ORDERINGS: registry.Registry[OrderingPolicy] = registry.Registry('ordering')


@ORDERINGS.register('fifo')
def choose_by_arrival(view: QueueView) -> WaitingRequest | None:
    """Choose the oldest request of any trainer or caller.

    Args:
      view: The waiting and running requests.

    Returns:
      The request to run next, or None if no request waits.
    """
    return min(view.waiting, key=_get_arrival, default=None)


@ORDERINGS.register('fair')
def choose_by_fair_share(view: QueueView) -> WaitingRequest | None:
    """Share slots by weight and finish started groups of a trainer first.

    Interactive requests have priority while they use fewer slots than are
    reserved for them. Beyond the reservation, all callers together count as
    one trainer. The next slot goes to the trainer that uses the fewest slots
    relative to its weight. Within a trainer, the lowest step has priority,
    then the group with the most started samples, since a trainer can only
    use a complete group.

    Args:
      view: The waiting and running requests.

    Returns:
      The request to run next, or None if no request waits or only reserved
      slots are free.
    """
    callers = [w for w in view.waiting if w.trainer == CALLERS]
    if callers and view.running.get(CALLERS, 0) < view.reserved:
        return min(callers, key=_get_arrival)
    samples_running = sum(view.running.values()) - view.running.get(CALLERS, 0)
    if samples_running >= view.slots - view.reserved:
        return min(callers, key=_get_arrival, default=None)
    return min(
        view.waiting, key=lambda w: _build_sort_key(view, w), default=None
    )


def _build_sort_key(view: QueueView, waiting: WaitingRequest):
    share = view.shares.get(waiting.trainer, DEFAULT_SHARE)
    progress = view.progress.get(
        (waiting.trainer, waiting.step, waiting.group), 0
    )
    return (
        view.running.get(waiting.trainer, 0) / share,
        waiting.trainer,
        waiting.step,
        -progress,
        waiting.arrived_ms,
    )


def _get_arrival(waiting: WaitingRequest) -> int:
    return waiting.arrived_ms


def count_reservable(slots: int, share: float) -> int:
    """Count the slots of one replica that may be reserved for callers.

    Args:
      slots: Slots of the replica.
      share: Fraction of the slots to reserve, from 0 to 1.

    Returns:
      Number of slots; at least one slot remains for samples.
    """
    return min(int(slots * share), slots - 1)
