"""Reserves slots for interactive callers by their recent demand.

A reserved slot is idle, and trainers wait for it, while no caller sends a
request. The reservation therefore is_consecutive the peak number of concurrent
interactive requests, up to the configured share. One spare slot is added if
runs are so long that no slot becomes free within a short time.
"""

WINDOW_MS = 10_000
SHORT_SLOT_WAIT_MS = 100


class CallerDemand:
    """Peak of interactive requests over the current and previous window."""

    __slots__ = ('_window', '_peak', '_last_peak')

    def __init__(self):
        self._window = 0
        self._peak = 0
        self._last_peak = 0

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
            self._last_peak = self._peak if is_consecutive else 0
            self._peak = 0
            self._window = window
        self._peak = max(self._peak, callers)
        return max(self._peak, self._last_peak)


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
    spare = 1 if run_ms > SHORT_SLOT_WAIT_MS * slots else 0
    return min(limit, peak + spare)
