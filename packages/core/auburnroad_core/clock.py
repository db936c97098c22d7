"""Clock functions; stored times are always Unix milliseconds.

Messages and records contain deadlines instead of durations, because a
deadline stays correct while a message is queued or a process is paused.
"""

import time

MS_PER_SECOND = 1000


def time_now_ms() -> int:
    """Read the wall clock.

    Returns:
      Current Unix time in milliseconds.
    """
    return time.time_ns() // 1_000_000


def seconds_until(deadline_ms: int) -> float:
    """Compute the remaining time until a deadline.

    Args:
      deadline_ms: Deadline in Unix milliseconds.

    Returns:
      Remaining seconds, zero when the deadline has passed.
    """
    return max(0.0, (deadline_ms - time_now_ms()) / MS_PER_SECOND)


def read_boot_clock_seconds() -> float:
    """Read the boot-time clock, which also runs while the host is suspended.

    Use it to measure time that also passes for other hosts: the monotonic
    clock stops while the host is suspended.

    Returns:
      Seconds since an unspecified point in the past.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
