"""History of a value, to read it with a lag.

Load reports, the host list and cache events lag in production. Tests with
up-to-date values would hide wrong decisions that are due to the lag.
"""

import collections
import typing

Value = typing.TypeVar('Value')
HISTORY_LENGTH = 10_000


class LaggedValue(typing.Generic[Value]):
    """A value with the times of its latest changes."""

    __slots__ = ('_history',)

    def __init__(self, value: Value):
        # Time 0 makes the first value readable with any lag.
        self._history = collections.deque([(0, value)], HISTORY_LENGTH)

    @property
    def newest(self) -> Value:
        """The current value, without lag."""
        return self._history[-1][1]

    def set(self, value: Value, now_ms: int) -> None:
        """Change the value.

        Args:
          value: The new value.
          now_ms: Current time in Unix milliseconds.
        """
        self._history.append((now_ms, value))

    def replace_first(self, value: Value) -> None:
        """Replace the history with one value that is readable with any lag.

        Args:
          value: The new first value.
        """
        self._history.clear()
        self._history.append((0, value))

    def get(self, now_ms: int, lag_ms: int) -> tuple[int, Value]:
        """Read the value of some time ago.

        Args:
          now_ms: Current time in Unix milliseconds.
          lag_ms: Age of the wanted value in milliseconds.

        Returns:
          The time at which the value was set, in Unix milliseconds, and the
          value.
        """
        until_ms = now_ms - lag_ms
        for at_ms, value in reversed(self._history):
            if at_ms <= until_ms:
                return at_ms, value
        return self._history[0]
