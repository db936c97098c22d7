"""Reserves slots for interactive callers by their recent demand.

While no caller sends a request, a reserved slot is idle although trainers may
wait for slots. The reservation is therefore the recent peak of concurrent
interactive requests, up to the configured share. One spare slot is added if
the average wait until a slot becomes free exceeds MAX_SLOT_WAIT_MS.
"""

WINDOW_MS = 10_000
MAX_SLOT_WAIT_MS = 100


class CallerDemand:
    """Peak of interactive requests over the current and previous window."""

    __slots__ = ('_window', '_peak', '_previous_peak')

    def __init__(self):
        self._window = 0
        self._peak = 0
        self._previous_peak = 0

    def record_callers(self, callers: int, now_ms: int) -> int:
        """Record the number of interactive requests and return their peak.

        Args:
          callers: Number of interactive requests that run or wait.
          now_ms: Current time in Unix milliseconds.

        Returns:
          The peak over the current and the previous window.
        """
        window = now_ms // WINDOW_MS
        if window != self._window:
            is_consecutive = window == self._window + 1
            self._previous_peak = self._peak if is_consecutive else 0
            self._peak = 0
            self._window = window
        self._peak = max(self._peak, callers)
        return max(self._peak, self._previous_peak)


def count_reserved(limit: int, peak: int, slots: int, run_ms: float) -> int:
    """Count the slots to reserve for callers.

    Args:
      limit: Maximum number of reserved slots.
      peak: Recent peak of concurrent interactive requests.
      slots: Slots of all ready replicas.
      run_ms: Average run time in milliseconds; while all slots are in use, a
        slot becomes free every run_ms / slots milliseconds on average.

    Returns:
      Number of slots that only interactive requests may use.
    """
    spare = 1 if run_ms > MAX_SLOT_WAIT_MS * slots else 0
    return min(limit, peak + spare)
