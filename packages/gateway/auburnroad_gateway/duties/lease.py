"""The right of this gateway to act as the holder of a duty.

Another gateway may claim a duty at any moment, and waits before it acts. The
holder before may therefore act until a deadline that only a read of the duty
records extends: half of that wait after the read was sent. The other half is
for what is on its way by then. Heartbeats don't extend it, since they show
that this gateway runs, not that it still holds the duty.
"""

import asyncio

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail as log_tail
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.weights import duty

# Share of the next holder's wait in which the holder before may act.
ACT_SHARE = 0.5
# The records are read again once this share of the time to act is over.
RENEW_SHARE = 0.5
# Leaves some of the time to act after a read that takes as long.
READ_TIMEOUT_SECONDS = 0.8


class HolderLease:
    """Tells whether this gateway may act, and reads what that rests on.

    Attributes:
      tail: The tail that passes duty records to the duties.
    """

    __slots__ = ('tail', '_duties', '_reading', '_failing')

    def __init__(self, duties: duty.Duties, tail: log_tail.KeyedTail):
        self.tail = tail
        self._duties = duties
        # One read for all that wait for it.
        self._reading: asyncio.Task | None = None
        self._failing = False

    @property
    def records_age(self) -> float:
        """Seconds since the duty records were known to be complete."""
        return clock.read_boot_clock_seconds() - self.tail.complete_at

    def may_act(self, key: str) -> bool:
        """Tell whether this gateway may act for a duty right now.

        Args:
          key: Key of the duty.

        Returns:
          Whether it holds the duty, its heartbeats are confirmed, and no other
          gateway that has claimed the duty since can have begun to act.
        """
        now = clock.read_boot_clock_seconds()
        return self._duties.is_holder(key, now) and now < self._find_deadline(
            key, ACT_SHARE
        )

    async def renew(self, key: str) -> bool:
        """Read the duty records unless that was done just now.

        Args:
          key: Key of the duty.

        Returns:
          Whether this gateway may act for the duty.
        """
        if not self._duties.is_holder(key, clock.read_boot_clock_seconds()):
            return False
        if self._is_due(key):
            if self._reading is None or self._reading.done():
                self._reading = asyncio.create_task(self._read())
            await asyncio.wait({self._reading})
        return self.may_act(key)

    def begin(self, key: str, fence: int) -> bool:
        """Decide right before the first byte of an act, and record the act.

        Args:
          key: Key of the duty.
          fence: Fencing number that the act carries.

        Returns:
          Whether to go on.
        """
        if not self.may_act(key) or self._duties.find_fence(key) != fence:
            return False
        self._duties.note_order(key, clock.read_boot_clock_seconds())
        return True

    def _is_due(self, key: str) -> bool:
        now = clock.read_boot_clock_seconds()
        return now > self._find_deadline(key, ACT_SHARE * RENEW_SHARE)

    def _find_deadline(self, key: str, share: float) -> float:
        """Find the end of a share of the next holder's wait.

        It is counted from the last read that reached the end of the records.
        """
        return self.tail.complete_at + share * self._duties.find_takeover_wait(
            key
        )

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                await self.tail.catch_up()
            self._failing = False
        except (service.LogError, TimeoutError) as error:
            if not self._failing:
                events.write('duty_not_read', error=str(error) or 'timed out')
            self._failing = True
