"""Logs refusals of callers with the age of the configuration they rest on.

Whether a refusal was right depends on the revision in force and on how long
ago the operators' topic was read to its end.
"""

import collections
import math
import time

from auburnroad_gateway.configuration import currency as currencies
from auburnroad_gateway.configuration import holder as holders
from auburnroad_gateway.telemetry import events

# Minimum time between two lines of one kind, so that frequent refusals don't
# use up the lines of all other events.
EVENT_INTERVAL_SECONDS = 0.25
NO_REVISION = -1
NEVER_READ = -1


class RefusalLog:
    """Writes lines on refusals, a few per second of each kind."""

    __slots__ = ('_configuration', '_currency', '_due_at', '_unwritten')

    def __init__(
        self,
        holder: holders.ConfigurationHolder,
        currency: currencies.Currency,
    ):
        self._configuration = holder
        self._currency = currency
        self._due_at: dict[tuple[str, str], float] = {}
        self._unwritten: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def write(self, event: str, code: str = '', **fields) -> None:
        """Write a line, or count it as unwritten if another one just was.

        Args:
          event: Name of the event.
          code: Error code that callers get; one kind of lines for each.
          fields: Further fields of the line.
        """
        kind = (event, code)
        now = time.monotonic()
        if now < self._due_at.get(kind, now):
            self._unwritten[kind] += 1
            return
        self._due_at[kind] = now + EVENT_INTERVAL_SECONDS
        if code:
            fields['code'] = code
        current = self._configuration.current
        events.write(
            event,
            **fields,
            revision=NO_REVISION if current is None else current.revision,
            age_ms=self._find_age_ms(),
            unwritten=self._unwritten.pop(kind, 0),
        )

    def write_refused(self, status: int, code: str, **fields) -> None:
        """Write a line on an error response that no replica has made.

        Args:
          status: Status code of the response.
          code: Error code that the caller gets.
          fields: Further fields of the line.
        """
        self.write('request_refused', code, status=status, **fields)

    def _find_age_ms(self) -> int:
        """Find the milliseconds since the topic was read to its end."""
        age_seconds = self._currency.age_seconds
        return (
            NEVER_READ if math.isinf(age_seconds) else int(age_seconds * 1000)
        )
