"""Traces times in which the soak's own event loop stood still.

Log service, replicas and callers of a soak run in one process. While its loop
does not run, nothing of them answers, and a promise with a time bound says
nothing about the gateways.
"""

import asyncio

import msgspec

TIMER_SECONDS = 0.05
# Gaps between two wake-ups from which on the loop counts as standing still.
# The shortest time bound is 1.5 s, which a shorter gap does not use up.
STALL_SECONDS = 0.5


class Stall(msgspec.Struct, frozen=True):
    """A gap between two wake-ups of the timer.

    Attributes:
      start: Monotonic seconds of the first wake-up.
      end: The same of the next one.
    """

    start: float
    end: float


class LoopTrace:
    """Wake-ups of a timer of the event loop.

    Attributes:
      largest_gap: Largest time between two wake-ups, in seconds.
      stalls: Gaps in which the loop stood still, oldest first.
      left_out: Number of judgments that were left out for that.
    """

    __slots__ = ('largest_gap', 'stalls', 'left_out', '_woke_at')

    def __init__(self):
        self.largest_gap = 0.0
        self.stalls: list[Stall] = []
        self.left_out = 0
        self._woke_at: float | None = None

    def note_wake_up(self, now: float) -> None:
        """Record a wake-up of the timer.

        Args:
          now: Monotonic time in seconds.
        """
        if self._woke_at is not None:
            gap = now - self._woke_at
            self.largest_gap = max(self.largest_gap, gap)
            if gap >= STALL_SECONDS:
                self.stalls.append(Stall(self._woke_at, now))
        self._woke_at = now

    def leave_out(self, start: float, end: float) -> bool:
        """Tell whether to judge nothing of an interval, and count that.

        Args:
          start: Monotonic time in seconds.
          end: The same.

        Returns:
          Whether the loop stood still at any time of the interval.
        """
        has_stalled = any(
            stall.start < end and stall.end > start for stall in self.stalls
        )
        self.left_out += has_stalled
        return has_stalled

    async def run(self) -> None:
        """Record wake-ups until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.note_wake_up(loop.time())
            await asyncio.sleep(TIMER_SECONDS)

    def describe(self, since: float) -> str:
        """Describe the trace in one line.

        Args:
          since: Monotonic time in seconds from which stalls are counted.
        """
        stalls = ', '.join(
            f'{stall.end - stall.start:.2f} s at {stall.start - since:.1f} s'
            for stall in self.stalls
        )
        return (
            f'event loop: largest gap {self.largest_gap:.2f} s; '
            f'stood still: {stalls or "never"}; '
            f'{self.left_out} judgments left out'
        )
