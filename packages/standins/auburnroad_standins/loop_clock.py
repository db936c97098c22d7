"""Clock of an event loop that a test moves forward.

Timeouts then expire when the test says so, after the condition that the test
waits for, and a pause of the process can't make them expire early.
"""

import asyncio


class LoopClock:
    """Replaces the clock of the running event loop."""

    __slots__ = ('_find_time', '_added_seconds')

    def __init__(self, frozen: bool = False):
        """Replace the clock.

        Args:
          frozen: Whether time passes only when the test moves the clock, so
            that the machine's load decides nothing.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._find_time = (lambda: now) if frozen else loop.time
        self._added_seconds = 0.0
        # The callback that moves the clock would be reported as slow.
        loop.slow_callback_duration = float('inf')
        loop.time = self._find_loop_time

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        Args:
          seconds: Seconds to add; timeouts that end in this time expire in
            the next iterations of the loop.
        """
        self._added_seconds += seconds

    def _find_loop_time(self) -> float:
        return self._find_time() + self._added_seconds
