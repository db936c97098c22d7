"""Times of a planned stop, and how long a request may take until its end.

A request that may take longer than a stopping process has left is refused
before it runs, since only then may every caller send it again elsewhere.
"""

import msgspec

from auburnroad_gateway.batches import intake
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration

# Minimum time that a stopping gateway keeps serving requests. The balancer
# checks readiness once a second and sends new connections until two checks
# have failed.
UNREADY_SECONDS = 2.6
# Reserved at the end of the grace period for the exit of the process.
MARGIN_SECONDS = 0.5
# Time before MARGIN_SECONDS in which requests in flight finish and no new
# requests are accepted.
FINAL_DRAIN_SECONDS = 0.5
# Largest share of a short grace period for each of the two.
MAX_GRACE_SHARE = 0.125
POLL_SECONDS = 0.05


# The slowest call on a batch is a submission that waits for the log.
BATCH_CALL_SECONDS = intake.APPEND_TIMEOUT_SECONDS + 0.5


class RequestEnd(msgspec.Struct, frozen=True):
    """When a request has come to its end at the latest.

    Attributes:
      begun_at: Monotonic time in seconds at which its response has begun.
      whole_at: Monotonic time in seconds at which its response is complete.
    """

    begun_at: float
    whole_at: float


class StopTimes(msgspec.Struct, frozen=True):
    """Times of a planned stop.

    Attributes:
      unready_until: Monotonic time in seconds until which the gateway serves
        requests in any case, and balancers may take it for ready.
      response_deadline_at: Monotonic time in seconds by which each request
        that is still accepted must have ended.
      drained_at: Monotonic time in seconds by which requests that were
        accepted earlier must have ended.
    """

    unready_until: float
    response_deadline_at: float
    drained_at: float


def build_times(grace_seconds: float, now: float) -> StopTimes:
    """Build the times of a stop that begins now.

    Args:
      grace_seconds: Time until the process is killed.
      now: Monotonic time in seconds.

    Returns:
      The times.
    """
    most = MAX_GRACE_SHARE * grace_seconds
    drained_at = now + grace_seconds - min(MARGIN_SECONDS, most)
    return StopTimes(
        now + UNREADY_SECONDS,
        drained_at - min(FINAL_DRAIN_SECONDS, most),
        drained_at,
    )


def find_batch_call_end(now: float) -> RequestEnd:
    """Find when a call on a batch that arrives now has ended."""
    ends_at = now + BATCH_CALL_SECONDS
    return RequestEnd(ends_at, ends_at)


def find_end(
    route: configuration.Route, head: call.CallHead, now: float
) -> RequestEnd:
    """Find when a request that arrives now has ended.

    The route's timeout applies until a stream begins; its replica ends it at
    the caller's deadline, if there is one.

    Args:
      route: Route of the request.
      head: Head of the request.
      now: Monotonic time in seconds.

    Returns:
      The times; a stream without a deadline may never be complete.
    """
    if route.kind is configuration.RouteKind.BATCH:
        return find_batch_call_end(now)
    deadline_at = float('inf')
    if head.patience_ms is not None:
        deadline_at = now + head.patience_ms / 1000
    begun_at = min(now + route.timeout_ms / 1000, deadline_at)
    if route.kind is configuration.RouteKind.STREAM:
        return RequestEnd(begun_at, deadline_at)
    return RequestEnd(begun_at, begun_at)
