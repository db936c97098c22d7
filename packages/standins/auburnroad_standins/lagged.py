"""A value that is shown as it was some time ago.

Load reports, the host list and cache events all lag; a test that reads them
too freshly would hide the decisions that the lag makes wrong.
"""

import collections
import typing

Value = typing.TypeVar('Value')
HISTORY_LENGTH = 10_000


class LaggedValue(typing.Generic[Value]):
    """Remembers when a value changed."""

    __slots__ = ('_history',)

    def __init__(self, value: Value):
        # The first value counts as old, so that there always is one to show.
        self._history = collections.deque([(0, value)], HISTORY_LENGTH)

    @property
    def newest(self) -> Value:
        """The value as it is now."""
        return self._history[-1][1]

    def set(self, value: Value, now_ms: int) -> None:
        """Change the value.

        Args:
          value: What it is from now on.
          now_ms: Unix milliseconds.
        """
        self._history.append((now_ms, value))

    def replace_first(self, value: Value) -> None:
        """Forget the history and start with a value that counts as old.

        Args:
          value: What it has been since ever.
        """
        self._history.clear()
        self._history.append((0, value))

    def get(self, now_ms: int, lag_ms: int) -> tuple[int, Value]:
        """Read the value as it was.

        Args:
          now_ms: Unix milliseconds.
          lag_ms: How long ago, in milliseconds.

        Returns:
          When the value was set, in Unix milliseconds, and the value.
        """
        until_ms = now_ms - lag_ms
        for at_ms, value in reversed(self._history):
            if at_ms <= until_ms:
                return at_ms, value
        return self._history[0]
