"""Failure detection among the gateways, by heartbeats in the log service.

A member is declared dead only if its heartbeat has been missing for the dead
timeout, throughout which the log was readable. An outage of the log service or
a suspension of this process therefore causes no member to be declared dead.
"""

import asyncio
import uuid

import msgspec
import xxhash

from auburnroad_core import clock
from auburnroad_core import decoding
from auburnroad_gateway.log import service
from auburnroad_gateway.members import member
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.telemetry import events

TOPIC = service.KEYED_PREFIX + 'members'
HEARTBEAT_SECONDS = 0.5
# Interval of a gateway that holds a duty. All runs of a service stop with it,
# so that its loss is detected sooner than that of the others, of which there
# are too many for a shorter interval.
HOLDER_HEARTBEAT_SECONDS = 0.2
# A failed heartbeat is repeated sooner, over another route to the log service.
HEARTBEAT_RETRY_SECONDS = 0.2
# Minimum number of missing heartbeats of a dead member.
DEAD_HEARTBEATS = 3
# Time for an append through a peer and for the pauses between two reads and
# two checks; two missing heartbeats and this time make a member dead, too.
DEAD_ALLOWANCE_SECONDS = 0.6
# Minimum heartbeat interval as a multiple of the append latency: all members
# append to a single partition, one after the other.
HEARTBEAT_LATENCY_RATIO = 2.0
HEARTBEAT_MAX_SECONDS = 1.5
# Allowance for the drift between the clocks of two hosts within one heartbeat
# interval.
CLOCK_MARGIN_SECONDS = 0.2
# Multiple of this gateway's append latency that is added to the timeout of
# other members.
APPEND_LATENCY_RATIO = 2.0
# Maximum gap between checks or log reads; after a longer gap, a missing
# heartbeat doesn't show that its member is dead.
CHECK_GAP_SECONDS = 1.2
CHECK_INTERVAL_SECONDS = 0.2
# Time after which every live member has been observed: one heartbeat interval
# and the time of an append.
DISCOVERY_SECONDS = 0.7
# Number of members that one log line names.
MAX_MEMBERS_LOGGED = 8
# Random hexadecimal digits of an incarnation.
INCARNATION_DIGITS = 16
# Maximum age of the heartbeat of a dead member that is still tried as a relay.
PEER_MAX_AGE_SECONDS = 5.0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of a member.

    Attributes:
      incarnation: Unique id of one run of the member's process.
      address: Address for other gateways as 'IP:port'.
      leaving: Whether the member hands over its work before a planned stop.
      failure_domain: Failure domain of the member's host.
      started_ms: Start time of the process in Unix milliseconds.
      on_detour: Whether the member reaches the log service only through
        other gateways.
      interval_ms: Milliseconds until the next heartbeat.
      cores: Processor capacity of the process, in reference cores.
    """

    incarnation: str
    address: str
    leaving: bool
    failure_domain: str = ''
    started_ms: int = 0
    on_detour: bool = False
    interval_ms: int = 500
    cores: float = 1.0


class Membership:
    """Sends the heartbeats of this gateway and monitors the other members.

    Attributes:
      incarnation: Unique id of this run of the process.
      leaving: Whether a planned stop has begun.
      presumed_alive_until: Time before which no other gateway declares this
        gateway dead, in seconds of the boot clock; zero before the first
        heartbeat.
    """

    __slots__ = (
        'incarnation',
        'leaving',
        'presumed_alive_until',
        '_settings',
        '_log',
        '_members',
        '_checked_at',
        '_observing_since',
        '_alive',
        '_started_ms',
        '_append_latency',
        '_sent_at',
        '_heartbeat_requested',
        '_listeners',
        '_changed',
        '_holds_duty',
    )

    def __init__(self, settings: gateway_settings.Settings, log):
        self.incarnation = build_incarnation(settings.name)
        self.leaving = False
        self.presumed_alive_until = 0.0
        self._settings = settings
        self._log = log
        self._members: dict[str, member.Member] = {}
        self._checked_at = 0.0
        self._observing_since = 0.0
        self._alive: frozenset[str] | None = None
        self._append_latency = 0.0
        self._sent_at: float | None = None
        self._started_ms = clock.time_now_ms()
        self._heartbeat_requested = asyncio.Event()
        self._listeners = []
        self._holds_duty = False
        self._changed: dict[str, Heartbeat] = {}

    @property
    def holds_duty(self) -> bool:
        """Whether this gateway holds a duty, and is watched closely."""
        return self._holds_duty

    @holds_duty.setter
    def holds_duty(self, holds: bool) -> None:
        if holds != self._holds_duty:
            self._holds_duty = holds
            self._heartbeat_requested.set()

    @property
    def _shortest_interval(self) -> float:
        if self._holds_duty:
            return HOLDER_HEARTBEAT_SECONDS
        return HEARTBEAT_SECONDS

    @property
    def has_discovered_members(self) -> bool:
        """Whether every live member has been observed by now."""
        return (
            self._observing_since > 0
            and self._checked_at - self._observing_since > DISCOVERY_SECONDS
        )

    @property
    def alive(self) -> frozenset[str]:
        """Live incarnations that are not leaving, including this one."""
        if self._alive is None:
            alive = {
                entry.heartbeat.incarnation
                for entry in self._members.values()
                if entry.alive
                and not entry.heartbeat.leaving
                and not self.is_former_self(entry.heartbeat.incarnation)
            }
            alive.add(self.incarnation)
            if self.leaving:
                alive.remove(self.incarnation)
            self._alive = frozenset(alive)
        return self._alive

    @property
    def live_gateways(self) -> dict[str, str]:
        """Incarnations of all live gateways by host, also of leaving ones."""
        live = {
            entry.name: entry.heartbeat.incarnation
            for entry in self._members.values()
            if entry.alive
        }
        live[self._settings.name] = self.incarnation
        return live

    def is_alive(self, incarnation: str) -> bool:
        """Tell whether an incarnation is alive and not leaving."""
        return incarnation in self.alive

    def is_silent(self, incarnation: str) -> bool:
        """Tell whether an incarnation is known to send no heartbeats.

        One that leaves, or that is not known to have been missing, may have
        acted a moment ago.
        """
        return any(
            entry.heartbeat.incarnation == incarnation and not entry.alive
            for entry in self._members.values()
        )

    def is_former_self(self, incarnation: str) -> bool:
        """Tell whether an incarnation is an earlier one of this host.

        Its process has ended, since a host runs one gateway.
        """
        return incarnation != self.incarnation and is_same_host(
            incarnation, self.incarnation
        )

    def find_address(self, incarnation: str) -> str:
        """Find the address of a gateway for others; empty if unknown."""
        for entry in self._members.values():
            if entry.heartbeat.incarnation == incarnation:
                return entry.heartbeat.address
        return ''

    def list_peers(self) -> list[str]:
        """List the addresses of gateways that may relay calls to the log.

        Gateways with a direct connection to the log service come first, then
        those in the same failure domain, then those seen most recently.
        """
        now = clock.read_boot_clock_seconds()
        own = self._settings.name
        peers = [
            entry
            for entry in self._members.values()
            if entry.name != own
            and (entry.alive or now - entry.seen_at < PEER_MAX_AGE_SECONDS)
        ]
        domain = self._settings.failure_domain
        peers.sort(
            key=lambda entry: (
                entry.heartbeat.on_detour,
                entry.heartbeat.failure_domain != domain,
                -entry.seen_at,
            )
        )
        return [entry.heartbeat.address for entry in peers]

    def choose_member(self, key: str) -> str:
        """Choose the live member that is responsible for a key.

        Gateways that see the same members choose the same member (rendezvous
        hashing within the highest rank).

        Args:
          key: Key of the work, such as the name of a service.

        Returns:
          An incarnation; empty if no member is available, or while the live
          members are unknown.
        """
        if not self.has_discovered_members:
            return ''
        ranks = {
            entry.heartbeat.incarnation: member.build_rank(
                entry.heartbeat.cores, entry.heartbeat.started_ms
            )
            for entry in self._members.values()
        }
        ranks[self.incarnation] = member.build_rank(
            self._settings.cores, self._started_ms
        )

        def rank(name: str) -> tuple:
            digest = xxhash.xxh64_intdigest(f'{key}/{name}'.encode())
            return ranks.get(name, ()), digest

        return max(self.alive, key=rank, default='')

    def on_change(self, listener) -> None:
        """Call a function after a member joined, left or died.

        Args:
          listener: Function without arguments.
        """
        self._listeners.append(listener)

    def leave(self) -> None:
        """Announce to the other gateways that this gateway is stopping."""
        self.leaving = True
        self._alive = None
        self._heartbeat_requested.set()

    def apply(self, record: service.KeyedRecord) -> None:
        """Apply a heartbeat record of the log."""
        heartbeat = _decode_heartbeat(record)
        if heartbeat is None:
            self._members.pop(record.key, None)
            self._alive = None
            return
        now = clock.read_boot_clock_seconds()
        before = self._members.get(record.key)
        if before is not None and before.has_same_state(heartbeat):
            before.heartbeat = heartbeat
            before.seen_at = now
            return
        former = ()
        if before is not None:
            if before.alive and heartbeat.incarnation in before.former:
                # Carried out late: its process has ended.
                return
            former = before.list_former(heartbeat.incarnation)
        self._members[record.key] = member.Member(
            record.key, heartbeat, now, former
        )
        self._changed[record.key] = heartbeat
        self._notify()

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._heartbeat_requested.clear()
            sent_at = self._sent_at = clock.read_boot_clock_seconds()
            # Heartbeats must not saturate a slow log service.
            interval = min(
                HEARTBEAT_MAX_SECONDS,
                max(
                    self._shortest_interval,
                    HEARTBEAT_LATENCY_RATIO * self._append_latency,
                ),
            )
            heartbeat = Heartbeat(
                self.incarnation,
                f'{self._settings.host}:{self._settings.peer_port}',
                self.leaving,
                self._settings.failure_domain,
                self._started_ms,
                self._log.on_detour,
                int(interval * 1000),
                self._settings.cores,
            )
            record = service.encode_keyed(
                self._settings.name, msgspec.msgpack.encode(heartbeat)
            )
            self._limit_presumption(sent_at, interval)
            try:
                await self._log.append(TOPIC, 0, [record])
                self._note_sent(sent_at, interval)
            except service.LogError as error:
                interval = HEARTBEAT_RETRY_SECONDS
                events.write('heartbeat_not_sent', error=str(error))
            self._append_latency = clock.read_boot_clock_seconds() - sent_at
            self._sent_at = None
            try:
                async with asyncio.timeout(interval):
                    await self._heartbeat_requested.wait()
            except TimeoutError:
                pass

    async def run_checks(self, tail) -> None:
        """Check all members for missing heartbeats until cancelled.

        Args:
          tail: The tail that passes heartbeat records to apply().
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.check(
                clock.read_boot_clock_seconds(),
                tail.read_at,
                tail.complete_at,
            )

    def check(self, now: float, read_at: float, complete_at: float) -> None:
        """Mark members dead that sent no heartbeat while the log was readable.

        Args:
          now: Seconds of the boot clock.
          read_at: Time of the last successful read of the log, in seconds of
            the boot clock.
          complete_at: Time up to which all heartbeats have been read, in
            seconds of the boot clock.
        """
        log_unread = now - read_at > CHECK_GAP_SECONDS
        was_suspended = now - self._checked_at > CHECK_GAP_SECONDS
        self._write_changes()
        self._checked_at = now
        if log_unread or was_suspended:
            self._observing_since = 0.0
            for entry in self._members.values():
                entry.seen_at = now
            return
        if not self._observing_since:
            self._observing_since = now
        # Appends of other members may take as long as this gateway's own.
        latency = self._append_latency
        if self._sent_at is not None:
            latency = max(latency, now - self._sent_at)
        for entry in self._members.values():
            # A heartbeat after that may be in the log: a read may be answered
            # late, or the log service be unavailable by now.
            silent_seconds = complete_at - entry.seen_at
            timeout = find_dead_timeout(entry.heartbeat.interval_ms / 1000)
            timeout += APPEND_LATENCY_RATIO * latency
            if entry.alive and silent_seconds > timeout:
                entry.alive = False
                events.write(
                    'member_dead',
                    member=entry.name,
                    incarnation=entry.heartbeat.incarnation,
                    silent_ms=int(silent_seconds * 1000),
                )
                self._notify()

    def _note_sent(self, sent_at: float, interval: float) -> None:
        """Note a heartbeat that the log has, and a gap before it.

        Args:
          sent_at: Time of the heartbeat in seconds of the boot clock.
          interval: Seconds until the next heartbeat.
        """
        lapsed_seconds = sent_at - self.presumed_alive_until
        if self.presumed_alive_until and lapsed_seconds > 0:
            events.write(
                'heartbeats_resumed',
                lapsed_ms=int(lapsed_seconds * 1000),
                holds_duty=self._holds_duty,
            )
        self.presumed_alive_until = _find_presumption(sent_at, interval)

    def _limit_presumption(self, sent_at: float, interval: float) -> None:
        """Expect others to know a heartbeat, whether it is confirmed or not.

        They then wait for the next one by its interval, which may be shorter
        than that of the heartbeat before.
        """
        self.presumed_alive_until = min(
            self.presumed_alive_until, _find_presumption(sent_at, interval)
        )

    def _write_changes(self) -> None:
        """Log the members that changed since the last check in one line.

        After a start or a loss of all power every gateway sees every other
        one change; a line for each would displace all other lines.
        """
        if not self._changed:
            return
        events.write(
            'members_changed',
            count=len(self._changed),
            leaving=sum(entry.leaving for entry in self._changed.values()),
            members=sorted(self._changed)[:MAX_MEMBERS_LOGGED],
        )
        self._changed.clear()

    def _notify(self) -> None:
        self._alive = None
        for listener in self._listeners:
            listener()


def build_incarnation(host: str) -> str:
    """Build a unique id for one run of a host's process."""
    return f'{host}.{uuid.uuid4().hex[:INCARNATION_DIGITS]}'


def is_same_host(first: str, second: str) -> bool:
    """Tell whether two incarnations are of the same host.

    Those that older gateways wrote don't tell, and are of no host.
    """
    host, dot, _ = first.rpartition('.')
    return bool(dot) and host == second.rpartition('.')[0]


def find_dead_timeout(interval_seconds: float) -> float:
    """Find the dead timeout of a member.

    Args:
      interval_seconds: Time between the member's heartbeats, as it reports.

    Returns:
      Minimum time in seconds without a heartbeat after which the member is
      declared dead. Observers add an allowance while appends are slow.
    """
    return max(
        DEAD_HEARTBEATS * interval_seconds,
        (DEAD_HEARTBEATS - 1) * interval_seconds + DEAD_ALLOWANCE_SECONDS,
    )


def _find_presumption(sent_at: float, interval_seconds: float) -> float:
    """Find the time before which nobody counts a heartbeat's sender dead."""
    return sent_at + find_dead_timeout(interval_seconds) - CLOCK_MARGIN_SECONDS


def _decode_heartbeat(record: service.KeyedRecord) -> Heartbeat | None:
    """Decode a heartbeat; None if its key was dropped, or it is malformed."""
    if not record.value:
        return None
    try:
        return decoding.decode_msgpack(record.value, Heartbeat)
    except msgspec.DecodeError as error:
        events.write_invalid_record(TOPIC, record.key, error)
        return None
