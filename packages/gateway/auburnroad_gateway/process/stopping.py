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


class Duration(msgspec.Struct, frozen=True):
    """How long a request may take at most.

    Attributes:
      begin_seconds: Seconds until its response begins.
      whole_seconds: Seconds until its response is complete.
    """

    begin_seconds: float
    whole_seconds: float


# The slowest call on a batch is a submission that waits for the log.
BATCH_CALL = Duration(
    intake.APPEND_TIMEOUT_SECONDS + 0.5, intake.APPEND_TIMEOUT_SECONDS + 0.5
)


class StopTimes(msgspec.Struct, frozen=True):
    """Times of a planned stop.

    Attributes:
      unready_until: Monotonic time in seconds until which the gateway serves
        requests in any case, and balancers may take it for ready.
      response_deadline_at: Monotonic time in seconds by which each request
        that is still accepted must have ended.
      drain_seconds: Time after that for requests that were accepted earlier.
    """

    unready_until: float
    response_deadline_at: float
    drain_seconds: float


def build_times(grace_seconds: float, now: float) -> StopTimes:
    """Build the times of a stop that begins now.

    Args:
      grace_seconds: Time until the process is killed.
      now: Monotonic time in seconds.

    Returns:
      The times.
    """
    most = MAX_GRACE_SHARE * grace_seconds
    drain_seconds = min(FINAL_DRAIN_SECONDS, most)
    left = grace_seconds - min(MARGIN_SECONDS, most) - drain_seconds
    return StopTimes(now + UNREADY_SECONDS, now + left, drain_seconds)


def find_duration(route: configuration.Route, head: call.CallHead) -> Duration:
    """Find how long a request may take at most.

    The route's timeout applies until a stream begins; its replica ends it at
    the caller's deadline, if there is one.

    Args:
      route: Route of the request.
      head: Head of the request.

    Returns:
      The duration; infinite for a stream without a deadline.
    """
    if route.kind is configuration.RouteKind.BATCH:
        return BATCH_CALL
    patience_seconds = float('inf')
    if head.patience_ms is not None:
        patience_seconds = head.patience_ms / 1000
    begin_seconds = min(route.timeout_ms / 1000, patience_seconds)
    if route.kind is configuration.RouteKind.STREAM:
        return Duration(begin_seconds, patience_seconds)
    return Duration(begin_seconds, begin_seconds)
