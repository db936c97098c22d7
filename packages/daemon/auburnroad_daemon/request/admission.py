"""Admission control for requests that arrive at a side.

A request that can't be answered before its deadline is refused on arrival
with a retry time, since the sender can't use a refusal after the deadline.
"""

import msgspec

from auburnroad_core import refusals
from auburnroad_core.wire import messages

MIN_RETRY_DELAY_MS = 50
MAX_RETRY_DELAY_MS = 5_000


class Refusal(msgspec.Struct, frozen=True):
    """The reason why a request is not run, with a retry time.

    Attributes:
      code: Refusal code as defined in refusals.py.
      retry_at_ms: Earliest time to retry in Unix milliseconds.
    """

    code: str
    retry_at_ms: int


class ServiceView(msgspec.Struct):
    """State of one service on this host that admission depends on.

    Attributes:
      slots: Slots of the ready replicas.
      running: Number of running requests.
      waiting: Number of waiting requests.
      own_slots: Fair share of the slots for the request's trainer, or for all
        callers if the request is interactive.
      own_waiting: Number of waiting requests of the same trainer, or of all
        callers if the request is interactive.
      queue_limit: Limit of `own_waiting`.
      run_ms: Moving average of the run time in milliseconds; zero if unknown.
      replica_back_ms: Unix milliseconds at which a replica may become ready.
    """

    slots: int
    running: int
    waiting: int
    own_slots: float
    own_waiting: int
    queue_limit: int
    run_ms: float
    replica_back_ms: int


def check_admission(
    view: ServiceView, submit: messages.Submit, now_ms: int
) -> Refusal | None:
    """Check whether a request is admitted to the queue.

    Args:
      view: State of the service on this host.
      submit: The request.
      now_ms: Current time in Unix milliseconds.

    Returns:
      The refusal, or None if the request is admitted.
    """
    if submit.deadline_ms <= now_ms:
        return Refusal(refusals.DEADLINE_PASSED, now_ms)
    if view.slots == 0:
        retry_at_ms = clamp_retry_time(view.replica_back_ms, now_ms)
        return Refusal(refusals.NO_REPLICA, retry_at_ms)
    wait_ms = predict_wait_ms(view)
    if wait_ms > 0 and view.own_waiting >= view.queue_limit:
        retry_at_ms = clamp_retry_time(now_ms + int(wait_ms), now_ms)
        return Refusal(refusals.OVERLOADED, retry_at_ms)
    if now_ms + wait_ms >= submit.deadline_ms:
        retry_at_ms = clamp_retry_time(now_ms + int(wait_ms), now_ms)
        return Refusal(refusals.DEADLINE_TOO_NEAR, retry_at_ms)
    return None


def predict_wait_ms(view: ServiceView) -> float:
    """Predict how long a request that arrives now waits for a slot.

    Args:
      view: State of the service on this host, with at least one slot.

    Returns:
      Wait in milliseconds; zero if a slot is free.
    """
    if view.running + view.waiting < view.slots:
        return 0.0
    # An unknown run time counts as short, so that requests are admitted
    # until the first run time is known.
    run_ms = max(view.run_ms, 1.0)
    return (view.own_waiting + 1) * run_ms / view.own_slots


def clamp_retry_time(retry_at_ms: int, now_ms: int) -> int:
    """Limit a retry time to the minimum and maximum retry delay.

    Args:
      retry_at_ms: Predicted retry time in Unix milliseconds.
      now_ms: Current time in Unix milliseconds.

    Returns:
      The limited retry time in Unix milliseconds.
    """
    earliest_ms = now_ms + MIN_RETRY_DELAY_MS
    return max(earliest_ms, min(retry_at_ms, now_ms + MAX_RETRY_DELAY_MS))
