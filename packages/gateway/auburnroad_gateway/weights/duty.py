"""Duties that one gateway at a time holds.

The holder of the duty for a service orders the weight loads of the service's
replicas and runs the service's batches. The holder of a duty at the platform's
API sends the calls of that duty (duties/platform_calls.py). A keyed record of
the log service names the holder. A gateway claims the duty with a conditional
append, which fails if anything was appended since the claimant's last read, so
that one of two concurrent claims fails. The fencing number is derived from the
record's offset.
"""

import msgspec

from auburnroad_core import clock
from auburnroad_core import decoding
from auburnroad_gateway.log import service as log_service
from auburnroad_gateway.members import membership
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.telemetry import events

TOPIC = log_service.KEYED_PREFIX + 'duties'
CLAIM_RETRY_SECONDS = 0.5
# A next holder waits at least for this share of the lease, however short.
MIN_WAIT_LEASE_SHARE = 2 / 3
# Keys of the duties at the platform's API. They end with a colon, so that they
# differ from the name of each service.
USAGE_KEY = 'usage:'
SCALE_KEY = 'scale:'
PLATFORM_KEYS = {
    gateway_settings.USAGE_REPORT: USAGE_KEY,
    gateway_settings.AUTOSCALE: SCALE_KEY,
}


class DutyRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value of the keyed record of a duty.

    Attributes:
      incarnation: Incarnation of the holder; empty after a release.
      idle_ms: Milliseconds from the last order to the release in a planned
        stop.
      act_not_before_ms: Always zero; older gateways wrote and read it.
      settled: Whether the holder has waited for the holder before.
      fence: Fencing number that the holder's claim has given; zero in a claim,
        which gives a new one.
    """

    incarnation: str
    idle_ms: int = 0
    act_not_before_ms: int = 0
    settled: bool = False
    fence: int = 0


class Duty:
    """State of one duty.

    Attributes:
      holder: Incarnation of the holder; empty if released.
      fence: Fencing number of the holder.
      offset: Offset of the record.
      act_not_before: Time before which the holder must not send orders, in
        seconds of the boot clock.
      settled: Whether the holder's host has waited for the holder before, as
        the log says.
      last_order_at: Time of the last order, in seconds of the boot clock: of
        this gateway, or the latest that the previous holder may have sent.
    """

    __slots__ = (
        'holder',
        'fence',
        'offset',
        'act_not_before',
        'settled',
        'last_order_at',
    )

    def __init__(
        self,
        record: DutyRecord,
        offset: int,
        act_not_before: float,
        lease_seconds: float,
    ):
        self.holder = record.incarnation
        self.settled = record.settled
        # Offsets start at zero, fencing numbers at one.
        self.fence = record.fence or offset + 1
        self.offset = offset
        self.act_not_before = act_not_before
        self.last_order_at = act_not_before - lease_seconds


class Duties:
    """Tracks the duties of all services and claims vacant ones."""

    __slots__ = (
        '_membership',
        '_log',
        '_lease_seconds',
        '_duties',
        '_retry_at',
    )

    def __init__(self, members: membership.Membership, log, lease_ms: int):
        self._membership = members
        self._log = log
        self._lease_seconds = lease_ms / 1000
        self._duties: dict[str, Duty] = {}
        self._retry_at: dict[str, float] = {}

    def apply(self, record: log_service.KeyedRecord) -> None:
        """Apply a duty record of the log."""
        if not record.value:
            return
        try:
            holder = decoding.decode_msgpack(record.value, DutyRecord)
        except msgspec.DecodeError as error:
            events.write_invalid_record(TOPIC, record.key, error)
            return
        before = self._duties.get(record.key)
        if before is not None and before.offset >= record.offset:
            # A snapshot repeats the record, or is older than what was read.
            return
        act_not_before = self._find_act_not_before(
            record.key, holder, clock.read_boot_clock_seconds()
        )
        after = Duty(
            holder, record.offset, act_not_before, self._lease_seconds
        )
        if before is not None and before.holder == after.holder:
            after.last_order_at = before.last_order_at
        elif before is not None and membership.is_same_host(
            before.holder, after.holder
        ):
            # The process before may have ordered until it ended.
            after.last_order_at = clock.read_boot_clock_seconds()
        self._duties[record.key] = after
        self._membership.holds_duty = any(
            duty.holder == self._membership.incarnation
            for duty in self._duties.values()
        )
        events.write(
            'duty_changed',
            service=record.key,
            holder=holder.incarnation,
            fence=after.fence,
        )

    def note_order(self, service: str, now: float) -> None:
        """Record the time of an order, or a call, of this gateway.

        Args:
          service: Service, or key of a duty at the platform's API.
          now: Seconds of the boot clock.
        """
        self._duties[service].last_order_at = now

    def find_holder(self, service: str) -> str:
        """Find the live holder of a service's duty; empty if vacant."""
        duty = self._duties.get(service)
        if duty is None or not self._membership.is_alive(duty.holder):
            return ''
        return duty.holder

    def choose_runner(self, service: str) -> str:
        """Choose the gateway that runs a service's batches.

        The duty holder is preferred, because it sees every run of the service
        and moves runs off a replica before the replica loads weights.

        Args:
          service: Name of the service.

        Returns:
          Incarnation of the live duty holder, or of the gateway that is to
          claim the duty; empty if no gateway can be chosen.
        """
        return self.find_holder(service) or self._membership.choose_member(
            service
        )

    def choose_granting(self, service: str) -> str:
        """Choose the gateway that grants the permits of a service.

        Without a holder of its own, a service shares the holder of another:
        holders change least when gateways are restarted, and their loss is
        noticed soonest.

        Args:
          service: Name of the service.

        Returns:
          Incarnation of the gateway; empty if no gateway can be chosen.
        """
        for name in (service, *sorted(self._duties)):
            if holder := self.find_holder(name):
                return holder
        return self._membership.choose_member(service)

    def find_fence(self, service: str) -> int:
        """Find the fencing number of a service's duty."""
        return self._duties[service].fence

    def find_takeover_wait(self, key: str) -> float:
        """Find how long a gateway waits after it has claimed a duty.

        A holder that was declared dead had sent no heartbeat for at least the
        dead timeout less one heartbeat interval. At the platform's API, where
        nothing else may reject a late call, the full lease is waited.

        Args:
          key: Key of the duty.

        Returns:
          Minimum time in seconds from the claim to the first act, if another
          host held the duty, was silent and has not released it. That one may
          act in the first half of it (duties/lease.py).
        """
        if key in PLATFORM_KEYS.values():
            return self._lease_seconds
        interval_seconds = membership.HOLDER_HEARTBEAT_SECONDS
        silent_seconds = (
            membership.find_dead_timeout(interval_seconds) - interval_seconds
        )
        return max(
            self._lease_seconds - silent_seconds,
            MIN_WAIT_LEASE_SHARE * self._lease_seconds,
        )

    def is_holder(self, service: str, now: float) -> bool:
        """Tell whether this gateway holds a duty, by what it has read.

        Another gateway may have claimed it since: duties/lease.py decides on
        acts.

        Args:
          service: Service, or key of a duty at the platform's API.
          now: Seconds of the boot clock.

        Returns:
          Whether this gateway holds the duty, has waited for the holder
          before, and can't be considered dead yet.
        """
        duty = self._duties.get(service)
        return (
            duty is not None
            and duty.holder == self._membership.incarnation
            and not self._membership.leaving
            and now >= duty.act_not_before
            and now < self._membership.presumed_alive_until
        )

    async def claim_if_vacant(self, service: str, tail) -> None:
        """Claim a duty without a live holder if this gateway is chosen.

        A holder records once that its wait is over. Its host need not wait
        again after a restart, and no clock has to tell.

        The host that held the duty claims it again right after its start,
        before the live members are known.

        Args:
          service: Name of the service.
          tail: The tail that passes duty records to apply().
        """
        now = clock.read_boot_clock_seconds()
        if not tail.is_loaded or tail.failing:
            return
        if now < self._retry_at.get(service, 0.0):
            return
        own = self._membership.incarnation
        if self.find_holder(service):
            if self._is_to_settle(service, now):
                fence = self._duties[service].fence
                await self._append_own(
                    service, DutyRecord(own, settled=True, fence=fence), tail
                )
            return
        duty = self._duties.get(service)
        was_own = duty and self._membership.is_former_self(duty.holder)
        if not was_own and self._membership.choose_member(service) != own:
            return
        waits_until = self._find_act_not_before(service, DutyRecord(own), now)
        claim = DutyRecord(own, settled=waits_until <= now)
        await self._append_own(service, claim, tail)

    def _is_to_settle(self, key: str, now: float) -> bool:
        """Tell whether the wait of this gateway is over, and not recorded."""
        return (
            key not in PLATFORM_KEYS.values()
            and not self._duties[key].settled
            and self.is_holder(key, now)
        )

    async def _append_own(self, service, record: DutyRecord, tail) -> None:
        self._retry_at[service] = (
            clock.read_boot_clock_seconds() + CLAIM_RETRY_SECONDS
        )
        await self._append(service, record, tail.next_offset)

    async def release(self, tail) -> None:
        """Release all duties of this gateway before a planned stop.

        Args:
          tail: The tail that passes duty records to apply().
        """
        own = self._membership.incarnation
        for key in [
            key for key, duty in self._duties.items() if duty.holder == own
        ]:
            await self.give_up(key, tail)
            try:
                # The release of the next duty states the end of the topic.
                await tail.catch_up()
            except log_service.LogError as error:
                events.write('duty_not_read', error=str(error))

    async def give_up(self, key: str, tail) -> None:
        """Release a duty if this gateway holds it.

        Args:
          key: Key of the duty.
          tail: The tail that passes duty records to apply().
        """
        duty = self._duties[key]
        if duty.holder == self._membership.incarnation:
            now = clock.read_boot_clock_seconds()
            idle_ms = int((now - duty.last_order_at) * 1000)
            await self._append(key, DutyRecord('', idle_ms), tail.next_offset)

    def _find_act_not_before(
        self, key: str, holder: DutyRecord, now: float
    ) -> float:
        """Find the time from which a new holder may send orders.

        The lease of the previous holder must expire first. A released duty
        states the time since the last order.
        """
        if not holder.incarnation:
            return now + self._lease_seconds - holder.idle_ms / 1000
        previous = self._duties.get(key)
        if previous is None:
            return 0.0
        if not previous.holder or previous.holder == holder.incarnation:
            return previous.act_not_before
        may_continue = previous.settled and key not in PLATFORM_KEYS.values()
        if may_continue and membership.is_same_host(
            previous.holder, holder.incarnation
        ):
            # Holders are told apart by their hosts, so that this one goes on.
            return now
        if self._membership.is_silent(previous.holder):
            return now + self.find_takeover_wait(key)
        return now + self._lease_seconds

    async def _append(self, service, holder: DutyRecord, expected_end) -> None:
        record = log_service.encode_keyed(
            service, msgspec.msgpack.encode(holder)
        )
        try:
            await self._log.append(
                TOPIC, 0, [record], expected_end=expected_end
            )
        except log_service.LogError as error:
            # Another gateway appended its claim first, or the append succeeded
            # without an answer and the tail will return the record.
            events.write('duty_not_written', service=service, error=str(error))
