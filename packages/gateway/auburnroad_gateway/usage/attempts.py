"""Connects the attempts at replicas with the counts of the usage report."""

import typing

from auburnroad_gateway.forwarding import attempt
from auburnroad_gateway.usage import counting


class AttemptCount:
    """What is counted of one attempt at a replica."""

    __slots__ = ('_counter', '_find_time_ms', '_account', '_handle', '_window')

    def __init__(self, counter, find_time_ms, account: str, handle):
        self._counter: counting.UsageCounter = counter
        self._find_time_ms = find_time_ms
        self._account = account
        self._handle: counting.ClientAttempt = handle
        self._window: int | None = None

    @property
    def on_send(self) -> typing.Callable[[], None] | None:
        """Function to call right before the first byte is sent, if any."""
        return self._note_sent if self._account else None

    def note_outcome(self, outcome) -> None:
        """Note the end of the attempt.

        An attempt that was cancelled or broke off may have run.

        Args:
          outcome: What the attempt returned; None if it was cancelled.
        """
        if self._window is None:
            return
        if (
            isinstance(outcome, attempt.Outcome)
            and outcome.end is attempt.AttemptOutcomeKind.NOT_RUN
        ):
            self._counter.note_not_run(self._handle, self._window)
        else:
            self._counter.note_ran(self._window)

    def _note_sent(self) -> None:
        self._window = self._counter.note_sent(
            self._account, self._handle, self._find_time_ms()
        )


class AttemptCounts:
    """Begins the count of each attempt of a caller's request."""

    __slots__ = ('_counter', '_find_time_ms', '_is_on')

    def __init__(
        self,
        counter: counting.UsageCounter | None = None,
        find_time_ms: typing.Callable[[], int] | None = None,
        is_on: typing.Callable[[], bool] = lambda: True,
    ):
        """Create the counts of a gateway.

        Args:
          counter: Counts of the gateway; None to count nothing.
          find_time_ms: Returns the time in Unix milliseconds.
          is_on: Tells whether there is a usage report; without one nobody
            would take the counts.
        """
        self._is_on = is_on
        self._counter = counter
        self._find_time_ms = find_time_ms

    def begin(
        self, account: str, handle: counting.ClientAttempt
    ) -> AttemptCount:
        """Begin the count of an attempt at a replica.

        Args:
          account: Account of the request; empty if it isn't counted.
          handle: The client attempt.

        Returns:
          The count, of which the outcome must be noted.
        """
        if self._counter is None or not self._is_on():
            account = ''
        return AttemptCount(self._counter, self._find_time_ms, account, handle)
