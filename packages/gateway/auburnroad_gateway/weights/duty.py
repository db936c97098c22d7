"""Which gateway gives the orders to load weights.

The holder stands in a keyed record of the log service. Taking the duty is an
append on the condition that nothing was appended since the taker last read,
so that of two takers one fails; the record's offset is the fencing number.
"""

import time

import msgspec

from auburnroad_gateway.log import service
from auburnroad_gateway.members import membership
from auburnroad_gateway.telemetry import events

TOPIC = 'keyed.duties'
KEY = 'weights'
# A holder whose heartbeats don't reach the log gives no orders: it is before
# anybody takes it for dead.
CONFIRMED_SECONDS = 1.5
RETRY_SECONDS = 0.5


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """Value of the record.

    Attributes:
      incarnation: Who holds the duty; empty after a planned stop.
    """

    incarnation: str


class Duty:
    """Watches the duty and takes it when nobody holds it.

    Attributes:
      fence: Fencing number of the newest holder, zero before the first.
    """

    __slots__ = (
        'fence',
        '_membership',
        '_log',
        '_lease_seconds',
        '_holder',
        '_act_from',
        '_retry_at',
    )

    def __init__(self, members: membership.Membership, log, lease_ms: int):
        self.fence = 0
        self._membership = members
        self._log = log
        self._lease_seconds = lease_ms / 1000
        self._holder: str | None = None
        self._act_from = 0.0
        self._retry_at = 0.0

    def apply(self, record: service.KeyedRecord) -> None:
        """Take the duty's record from the log."""
        if record.key != KEY:
            return
        try:
            holder = msgspec.msgpack.decode(record.value, type=Holder)
        except msgspec.DecodeError:
            return
        before = self._holder
        self._holder = holder.incarnation
        # Record offsets begin at zero, fencing numbers at one.
        self.fence = record.offset + 1
        now = time.monotonic()
        if before is not None:
            # The holder before may have ordered until a moment ago.
            self._act_from = now + self._lease_seconds
        events.write(
            'weights_duty_changed', holder=holder.incarnation, fence=self.fence
        )

    def may_act(self, now: float) -> bool:
        """Tell whether this gateway may give orders just now."""
        return (
            self._holder == self._membership.incarnation
            and not self._membership.leaving
            and now >= self._act_from
            and now - self._membership.confirmed_at < CONFIRMED_SECONDS
        )

    async def check(self, tail) -> None:
        """Take the duty if its holder is gone and it falls to us.

        Args:
          tail: The tail that hands records to apply().
        """
        now = time.monotonic()
        if not tail.loaded or tail.failing or now < self._retry_at:
            return
        if self._holder and self._membership.is_alive(self._holder):
            return
        own = self._membership.incarnation
        if self._membership.choose(KEY) != own:
            return
        self._retry_at = now + RETRY_SECONDS
        await self._append(own, tail.next_offset)

    async def release(self, tail) -> None:
        """Give the duty back before a planned stop."""
        if self._holder == self._membership.incarnation:
            await self._append('', tail.next_offset)

    async def _append(self, holder: str, expected_end: int) -> None:
        record = service.encode_keyed(
            KEY, msgspec.msgpack.encode(Holder(holder))
        )
        try:
            await self._log.append(
                TOPIC, 0, [record], expected_end=expected_end
            )
        except service.LogError as error:
            # Another one was faster, or the tail will show that it worked.
            events.write('weights_duty_not_taken', error=str(error))
