"""Wall-clock time in the one unit that the product stores: Unix milliseconds.

Deadlines are stored, never durations: a duration loses its meaning while a
message waits in a queue or a process is paused, and a deadline does not.
"""

import time

MS_PER_SECOND = 1000


def time_now_ms() -> int:
    """Read the wall clock.

    Returns:
      The Unix time in milliseconds.
    """
    return time.time_ns() // 1_000_000


def seconds_until(deadline_ms: int) -> float:
    """Compute the time that is left until a deadline.

    Args:
      deadline_ms: Unix time in milliseconds.

    Returns:
      Seconds, zero when the deadline has passed.
    """
    return max(0.0, (deadline_ms - time_now_ms()) / MS_PER_SECOND)


def time_boot_seconds() -> float:
    """Read the clock that also counts while the host is suspended.

    What others decide meanwhile has to be judged by it: the monotonic clock
    stands still in a suspended host.

    Returns:
      Seconds since some point in the past.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
