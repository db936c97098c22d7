"""Whether a request may wait at this side, decided when it arrives.

A request that would not be answered in time is refused at once, with the
time to come back, since a refusal that comes late helps nobody.
"""

import msgspec

from auburnroad_core import refusals
from auburnroad_core.wire import messages

MIN_RETRY_MS = 50
MAX_RETRY_MS = 5_000


class Refusal(msgspec.Struct, frozen=True):
    """Why a request is not run, and when to come back.

    Attributes:
      code: A name of refusals.py.
      retry_at_ms: Unix milliseconds.
    """

    code: str
    retry_at_ms: int


class ServiceView(msgspec.Struct):
    """One service on this host, as far as admission depends on it.

    Attributes:
      slots: Slots of the ready replicas.
      running: Requests that run on them.
      waiting: Requests that wait.
      own_slots: Slots that the request's trainer, or its caller, can count on.
      own_waiting: Requests of the same trainer, or of callers, that wait.
      queue_limit: How many of those may wait.
      run_ms: Usual time of one run in milliseconds; zero when unknown.
      replica_back_ms: Unix milliseconds at which a replica may be back.
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
    """Decide whether a request may wait or run.

    Args:
      view: The service on this host.
      submit: The request.
      now_ms: Unix milliseconds.

    Returns:
      None to admit it, or why not.
    """
    if submit.deadline_ms <= now_ms:
        return Refusal(refusals.DEADLINE_PASSED, now_ms)
    if view.slots == 0:
        retry_at_ms = clamp_retry(view.replica_back_ms, now_ms)
        return Refusal(refusals.NO_REPLICA, retry_at_ms)
    wait_ms = predict_wait_ms(view)
    if wait_ms > 0 and view.own_waiting >= view.queue_limit:
        retry_at_ms = clamp_retry(now_ms + int(wait_ms), now_ms)
        return Refusal(refusals.OVERLOADED, retry_at_ms)
    if now_ms + wait_ms >= submit.deadline_ms:
        retry_at_ms = clamp_retry(now_ms + int(wait_ms), now_ms)
        return Refusal(refusals.DEADLINE_TOO_NEAR, retry_at_ms)
    return None


def predict_wait_ms(view: ServiceView) -> float:
    """Predict how long a request that arrives now would wait for a slot.

    Args:
      view: The service on this host, with at least one slot.

    Returns:
      Milliseconds; zero when a slot is free.
    """
    if view.running + view.waiting < view.slots:
        return 0.0
    # Unknown times count as short, so that the first requests get through.
    run_ms = max(view.run_ms, 1.0)
    return (view.own_waiting + 1) * run_ms / view.own_slots


def clamp_retry(retry_at_ms: int, now_ms: int) -> int:
    """Keep the time to come back within reason.

    Args:
      retry_at_ms: Unix milliseconds as predicted.
      now_ms: Unix milliseconds.

    Returns:
      Unix milliseconds, soon but not at once.
    """
    earliest_ms = now_ms + MIN_RETRY_MS
    return max(earliest_ms, min(retry_at_ms, now_ms + MAX_RETRY_MS))
