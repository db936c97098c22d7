"""Which waiting request a replica's next free slot goes to.

Orders are pure functions over what waits and what runs, so that they are
compared without a process. They are registered under the name that the
deployment's policies use.
"""

import typing

import msgspec

from auburnroad_core import registry

CALLERS = ''
CALLERS_SHARE = 1


class Waiting(msgspec.Struct, frozen=True):
    """A request that waits, as far as its order depends on it.

    Attributes:
      request_id: Request's id.
      trainer: Trainer that waits for it; CALLERS for interactive ones.
      step: Step of the trainer.
      group: Group of the step.
      arrived_ms: Unix milliseconds.
    """

    request_id: str
    trainer: str
    step: int
    group: str
    arrived_ms: int


class View(msgspec.Struct):
    """What an order decides from.

    Attributes:
      waiting: Requests that a free slot can take, at least one.
      running: Requests that run by trainer, with CALLERS for interactive.
      shares: Weights by trainer.
      progress: Samples done or running by trainer, step and group.
      slots: Slots of all ready replicas.
      reserved: Slots of them that only interactive requests may take.
    """

    waiting: list[Waiting]
    running: dict[str, int]
    shares: dict[str, int]
    progress: dict[tuple[str, int, str], int]
    slots: int
    reserved: int


Order = typing.Callable[[View], Waiting | None]
ORDERINGS: registry.Registry[Order] = registry.Registry('ordering')


@ORDERINGS.register('fifo')
def order_by_arrival(view: View) -> Waiting | None:
    """Take the oldest request, whoever waits for it.

    Args:
      view: What waits and runs.

    Returns:
      The request to run next.
    """
    return min(view.waiting, key=_get_arrival, default=None)


@ORDERINGS.register('fair')
def order_fairly(view: View) -> Waiting | None:
    """Share the slots by weight; within a trainer finish what is begun.

    Callers go first while they hold fewer slots than are reserved for them.
    Beyond that they count as one more trainer. The trainer that holds the
    fewest slots for its weight goes next. Within it the lowest step goes
    first, then the group of which most samples were begun, since a group
    counts only when it is whole.

    Args:
      view: What waits and runs.

    Returns:
      The request to run next, or None when every free slot is reserved.
    """
    callers = [w for w in view.waiting if w.trainer == CALLERS]
    if callers and view.running.get(CALLERS, 0) < view.reserved:
        return min(callers, key=_get_arrival)
    samples_running = sum(view.running.values()) - view.running.get(CALLERS, 0)
    if samples_running >= view.slots - view.reserved:
        return min(callers, key=_get_arrival, default=None)
    return min(view.waiting, key=lambda w: _rank(view, w), default=None)


def _rank(view: View, waiting: Waiting):
    share = view.shares.get(waiting.trainer, CALLERS_SHARE)
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


def _get_arrival(waiting: Waiting) -> int:
    return waiting.arrived_ms


def count_reserved(slots: int, share: float) -> int:
    """Compute how many of one replica's slots are kept for callers.

    Args:
      slots: Slots of the replica.
      share: Share to keep, from 0 to 1.

    Returns:
      Slots; at least one is left to samples.
    """
    return min(int(slots * share), slots - 1)
