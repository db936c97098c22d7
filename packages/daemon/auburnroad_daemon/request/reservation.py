"""How many slots are kept for interactive callers, from their recent demand.

Slots that are kept stand idle while no caller comes, and the trainer waits
meanwhile. So as many are kept as callers have used of late, up to the
configured share. One more is kept where a slot would not free soon anyway.
"""

WINDOW_MS = 10_000
SOON_MS = 100


class Demand:
    """The most callers seen at once, over the present and the last window."""

    __slots__ = ('_window', '_peak', '_last_peak')

    def __init__(self):
        self._window = 0
        self._peak = 0
        self._last_peak = 0

    def note(self, callers: int, now_ms: int) -> int:
        """Note how many callers run or wait.

        Args:
          callers: Interactive requests that run or wait.
          now_ms: Unix milliseconds.

        Returns:
          The most of them at once, of late.
        """
        window = now_ms // WINDOW_MS
        if window != self._window:
            follows = window == self._window + 1
            self._last_peak = self._peak if follows else 0
            self._peak = 0
            self._window = window
        self._peak = max(self._peak, callers)
        return max(self._peak, self._last_peak)


def count_kept(limit: int, peak: int, slots: int, run_ms: float) -> int:
    """Count the slots to keep.

    Args:
      limit: Slots that may be kept at most.
      peak: The most callers at once, of late.
      slots: Slots of all ready replicas.
      run_ms: Usual time of a run in milliseconds, so that a slot frees
        every run_ms / slots while all are taken.

    Returns:
      Slots that only callers may take.
    """
    spare = 1 if run_ms > SOON_MS * slots else 0
    return min(limit, peak + spare)
