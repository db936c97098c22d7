"""Detects that this process stood still, so that its knowledge may be old.

While a host is suspended, its boot clock runs and its monotonic clock does
not. A process that alone is stopped shows only as a gap between two of its
observations.
"""

# The two clocks are not read at the same instant.
CLOCK_TOLERANCE_SECONDS = 0.05
# Gap between observations that is taken for a suspension: shorter than the
# time after which a holder counts as dead, longer than a busy loop needs.
GAP_SECONDS = 0.9
OBSERVE_SECONDS = 0.05


class SuspensionWatch:
    """Tells how long ago this process was suspended.

    Attributes:
      resumed_at: End of the last suspension in seconds of the boot clock;
        minus infinity if there was none.
    """

    __slots__ = ('resumed_at', '_observed_at', '_ahead')

    def __init__(self):
        self.resumed_at = float('-inf')
        self._observed_at: float | None = None
        self._ahead = 0.0

    def observe(self, boot_seconds: float, monotonic_seconds: float) -> None:
        """Compare the clocks with those of the last observation.

        Args:
          boot_seconds: Seconds of the boot clock.
          monotonic_seconds: Seconds of the monotonic clock.
        """
        ahead = boot_seconds - monotonic_seconds
        if self._observed_at is not None and (
            ahead - self._ahead > CLOCK_TOLERANCE_SECONDS
            or boot_seconds - self._observed_at > GAP_SECONDS
        ):
            self.resumed_at = boot_seconds
        self._observed_at = boot_seconds
        self._ahead = ahead
