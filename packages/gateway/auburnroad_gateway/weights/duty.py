"""Which gateway runs a service's engines: its weights and its batches.

The holder stands in a keyed record of the log service. Taking the duty is an
append on the condition that nothing was appended since the taker last read,
so that of two takers one fails; the record's offset is the fencing number.
"""

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.log import service as log_service
from auburnroad_gateway.members import membership
from auburnroad_gateway.telemetry import events

TOPIC = log_service.KEYED_PREFIX + 'duties'
RETRY_SECONDS = 0.5


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """Value of a duty's record.

    Attributes:
      incarnation: Who holds the duty; empty after a planned stop.
      quiet_ms: How long before a planned stop the last order was given.
    """

    incarnation: str
    quiet_ms: int = 0


class Duty:
    """What is known of one service's duty.

    Attributes:
      holder: Incarnation of the holder; empty if nobody holds it.
      fence: Its fencing number.
      act_from: It must not act before, in seconds of the boot
        clock.
      acted_at: When this gateway last acted, in the same.
    """

    __slots__ = ('holder', 'fence', 'act_from', 'acted_at')

    def __init__(self, holder: str, fence: int, act_from: float):
        self.holder = holder
        self.fence = fence
        self.act_from = act_from
        self.acted_at = 0.0


class Duties:
    """Watches the duties and takes those that nobody holds."""

    __slots__ = ('_membership', '_log', '_lease_seconds', '_duties', '_retry')

    def __init__(self, members: membership.Membership, log, lease_ms: int):
        self._membership = members
        self._log = log
        self._lease_seconds = lease_ms / 1000
        self._duties: dict[str, Duty] = {}
        self._retry: dict[str, float] = {}

    def apply(self, record: log_service.KeyedRecord) -> None:
        """Take a duty's record from the log."""
        try:
            holder = msgspec.msgpack.decode(record.value, type=Holder)
        except msgspec.DecodeError:
            return
        act_from = self._find_start(
            record.key, holder, clock.time_boot_seconds()
        )
        # Offsets begin at zero, fencing numbers at one.
        self._duties[record.key] = Duty(
            holder.incarnation, record.offset + 1, act_from
        )
        events.write(
            'duty_changed',
            service=record.key,
            holder=holder.incarnation,
            fence=record.offset + 1,
        )

    def note_action(self, service: str, now: float) -> None:
        """This gateway gives an order now."""
        self._duties[service].acted_at = now

    def find_holder(self, service: str) -> str:
        """Find the live holder of a service's duty; empty for none."""
        duty = self._duties.get(service)
        if duty is None or not self._membership.is_alive(duty.holder):
            return ''
        return duty.holder

    def choose_runner(self, service: str) -> str:
        """Choose who runs a service's batches.

        Whoever orders the weights knows best where to run: it sees every
        run, and makes room at a replica before that loads.

        Args:
          service: The service.

        Returns:
          The live holder of its duty, or who is to take it; empty if that
          can't be told.
        """
        return self.find_holder(service) or self._membership.choose(service)

    def find_fence(self, service: str) -> int:
        """Find the fencing number of a service's duty."""
        return self._duties[service].fence

    def may_act(self, service: str, now: float) -> bool:
        """Tell whether this gateway may give orders just now.

        Args:
          service: Service whose replicas are ordered.
          now: Seconds of the boot clock.

        Returns:
          Whether it holds the duty, nobody before it can still order, and
          nobody can take it for dead yet.
        """
        duty = self._duties.get(service)
        return (
            duty is not None
            and duty.holder == self._membership.incarnation
            and not self._membership.leaving
            and now >= duty.act_from
            and now < self._membership.confirmed_until
        )

    async def check(self, service: str, tail) -> None:
        """Take a duty if its holder is gone and it falls to us.

        Args:
          service: Service whose duty it is.
          tail: The tail that hands records to apply().
        """
        now = clock.time_boot_seconds()
        if not tail.loaded or tail.failing:
            return
        if now < self._retry.get(service, 0.0) or self.find_holder(service):
            return
        own = self._membership.incarnation
        if self._membership.choose(service) != own:
            return
        self._retry[service] = now + RETRY_SECONDS
        await self._append(service, Holder(own), tail.next_offset)

    async def release(self, tail) -> None:
        """Give all duties back before a planned stop."""
        own = self._membership.incarnation
        now = clock.time_boot_seconds()
        for service, duty in list(self._duties.items()):
            if duty.holder == own:
                quiet_ms = int((now - duty.acted_at) * 1000)
                await self._append(
                    service, Holder('', quiet_ms), tail.next_offset
                )

    def _find_start(self, service: str, holder: Holder, now: float) -> float:
        """Find when a new holder may act: the one before may have just now.

        A released duty says how long ago that was. A holder that was taken
        for dead had been silent for a while, less one heartbeat.
        """
        if not holder.incarnation:
            return now + self._lease_seconds - holder.quiet_ms / 1000
        before = self._duties.get(service)
        if before is None:
            return 0.0
        if not before.holder:
            return before.act_from
        quiet = membership.DEAD_SECONDS - membership.BEAT_SECONDS
        return now + self._lease_seconds - quiet

    async def _append(self, service, holder: Holder, expected_end) -> None:
        record = log_service.encode_keyed(
            service, msgspec.msgpack.encode(holder)
        )
        try:
            await self._log.append(
                TOPIC, 0, [record], expected_end=expected_end
            )
        except log_service.LogError as error:
            # Another one was faster, or the tail will show that it worked.
            events.write('duty_not_written', service=service, error=str(error))
