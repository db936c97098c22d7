"""Counts the requests of each account that replicas began to run.

Time is divided into windows of equal length. An account often has a single
request in a window, so that neither a lost count nor one in the wrong window
is tolerable. All functions take the time as an argument.
"""

import collections

# A difference between the clocks above this is a step of the wall clock.
STEP_MS = 1000
# A step that has lasted so long is believed.
STEP_LASTS_SECONDS = 60.0
# Smaller differences are drift of the boot clock, which is followed at most
# this fast: faster than a quartz drifts.
SLEW_MS_PER_SECOND = 0.5
# An attempt that is undecided so long after the end of its window counts.
UNDECIDED_MS = 2000
# Windows that are kept; the records of a host have as many slots.
KEPT_WINDOWS = 8


class WindowClock:
    """Wall clock that ignores steps until they have lasted.

    The time is that of the wall clock at a reference plus the time of the
    boot clock since then.
    """

    __slots__ = ('_offset_ms', '_observed_at', '_stepped_at')

    def __init__(self, wall_ms: int, boot_seconds: float):
        self._offset_ms = wall_ms - boot_seconds * 1000
        self._observed_at = boot_seconds
        self._stepped_at: float | None = None

    def observe(self, wall_ms: int, boot_seconds: float) -> None:
        """Compare the two clocks; call it at least once a second.

        Args:
          wall_ms: Wall clock in Unix milliseconds.
          boot_seconds: Seconds of the boot clock.
        """
        offset_ms = wall_ms - boot_seconds * 1000
        difference_ms = offset_ms - self._offset_ms
        if abs(difference_ms) <= STEP_MS:
            limit = SLEW_MS_PER_SECOND * (boot_seconds - self._observed_at)
            self._offset_ms += min(limit, max(-limit, difference_ms))
            self._stepped_at = None
        elif self._stepped_at is None:
            self._stepped_at = boot_seconds
        elif boot_seconds - self._stepped_at >= STEP_LASTS_SECONDS:
            self._offset_ms = offset_ms
            self._stepped_at = None
        self._observed_at = boot_seconds

    def find_time_ms(self, boot_seconds: float) -> int:
        """Find the time in Unix milliseconds at a time of the boot clock."""
        return int(self._offset_ms + boot_seconds * 1000)


class ClientAttempt:
    """What is counted of one client attempt, however often it is sent.

    Attributes:
      account: Account that it counts for.
      windows: Windows of its attempts at replicas that may have run.
      counted_window: Window in which it counts; None if in none.
    """

    __slots__ = ('account', 'windows', 'counted_window')

    def __init__(self):
        self.account = ''
        self.windows: list[int] = []
        self.counted_window: int | None = None


class UsageCounter:
    """Counts of one gateway by window and account.

    Attributes:
      first_open: First window that may still change.
      changed: Windows whose counts or end must be recorded.
    """

    __slots__ = (
        'first_open',
        'changed',
        '_window_ms',
        '_counts',
        '_undecided',
    )

    def __init__(self, window_ms: int, now_ms: int):
        """Create a counter without counts.

        Args:
          window_ms: Length of a window in milliseconds.
          now_ms: Time in Unix milliseconds; earlier windows are closed.
        """
        self._window_ms = window_ms
        self.first_open = now_ms // window_ms
        self.changed: set[int] = set()
        self._counts: dict[int, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        self._undecided: collections.Counter = collections.Counter()

    def note_sent(
        self, account: str, handle: ClientAttempt, now_ms: int
    ) -> int:
        """Count a client attempt at the moment it is sent to a replica.

        Args:
          account: Account of the request.
          handle: The client attempt; the same for hedges and retries.
          now_ms: Time in Unix milliseconds.

        Returns:
          The window, for note_ran() or note_not_run().
        """
        window = max(now_ms // self._window_ms, self.first_open)
        self._undecided[window] += 1
        handle.account = account
        handle.windows.append(window)
        if handle.counted_window is None:
            self._count(handle, window)
        return window

    def note_ran(self, window: int) -> None:
        """Note that an attempt at a replica ran, or may have run.

        Args:
          window: Window that note_sent() returned.
        """
        self._note_decided(window)

    def note_not_run(self, handle: ClientAttempt, window: int) -> None:
        """Note that an attempt at a replica certainly was not run.

        The client attempt counts in the window of its next attempt instead.
        In a closed window it stays counted.

        Args:
          handle: The client attempt.
          window: Window that note_sent() returned.
        """
        if not self._note_decided(window):
            return
        handle.windows.remove(window)
        if handle.counted_window == window and window not in handle.windows:
            self._counts[window][handle.account] -= 1
            self.changed.add(window)
            handle.counted_window = None
            if handle.windows:
                self._count(handle, min(handle.windows))

    def close_windows(self, now_ms: int) -> None:
        """Close the windows that are over and have no undecided attempt.

        Args:
          now_ms: Time in Unix milliseconds.
        """
        current = now_ms // self._window_ms
        if self.first_open > current + 1:
            self._move_back(current)
        oldest = current - KEPT_WINDOWS
        if self.first_open <= oldest:
            # The wall clock was set, perhaps by years.
            self.first_open = oldest + 1
            self._drop_undecided()
        while self.first_open < current:
            over_ms = now_ms - (self.first_open + 1) * self._window_ms
            if self._undecided[self.first_open] and over_ms < UNDECIDED_MS:
                break
            self.changed.add(self.first_open)
            self._undecided.pop(self.first_open, None)
            self.first_open += 1
        for window in [entry for entry in self._counts if entry <= oldest]:
            del self._counts[window]
        self.changed = {entry for entry in self.changed if entry > oldest}

    def close_all(self) -> None:
        """Close all windows, since nothing more will be sent."""
        newest = max((self.first_open, *self._counts))
        self.changed.update(range(self.first_open, newest + 1))
        self._undecided.clear()
        self.first_open = newest + 1

    def is_closed(self, window: int) -> bool:
        """Tell whether the counts of a window are final."""
        return window < self.first_open

    def find_counts(self, window: int) -> dict[str, int]:
        """Find the counts of a window by account, without zeros."""
        return {
            account: count
            for account, count in self._counts.get(window, {}).items()
            if count
        }

    def _move_back(self, current: int) -> None:
        """Go on at an earlier window: the wall clock had been ahead."""
        self.first_open = current
        for window in [entry for entry in self._counts if entry > current]:
            del self._counts[window]
        # All of them are in windows that were dropped or had been closed.
        self._undecided.clear()

    def _note_decided(self, window: int) -> bool:
        """Note that an attempt has ended.

        Returns:
          Whether its window is open; one that was dropped is not.
        """
        if not self._undecided.get(window):
            return False
        self._undecided[window] -= 1
        return True

    def _drop_undecided(self) -> None:
        """Forget the undecided attempts of windows that are closed."""
        for window in [
            entry for entry in self._undecided if entry < self.first_open
        ]:
            del self._undecided[window]

    def _count(self, handle: ClientAttempt, window: int) -> None:
        handle.counted_window = window
        self._counts[window][handle.account] += 1
        self.changed.add(window)
