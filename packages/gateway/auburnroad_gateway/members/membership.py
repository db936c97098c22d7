"""Which gateways live, by their heartbeats in the log service.

A member is given up only after its heartbeat has been missing for a while in
which the log could be read all the time: an outage, or a pause of this very
process, makes nobody look dead.
"""

import asyncio
import uuid

import msgspec
import xxhash

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.telemetry import events

TOPIC = service.KEYED_PREFIX + 'members'
BEAT_SECONDS = 0.5
# A heartbeat that failed is sent again sooner, by another way.
RETRY_SECONDS = 0.2
# Three heartbeats, less the time that one needs on a detour.
DEAD_SECONDS = 1.6
DEAD_BEATS = 3
# Heartbeats are rarer while an append takes long: all members append to one
# partition, one after the other.
LATENCY_RATIO = 2.0
BEAT_MOST_SECONDS = 1.5
# Clocks of two hosts run a little apart within one heartbeat.
MARGIN_SECONDS = 0.2
# Share of our own heartbeat's time that is allowed for others' on top.
DELAY_RATIO = 2.0
# A longer pause between two looks says nothing of who lived meanwhile.
GAP_SECONDS = 1.2
CHECK_SECONDS = 0.2
# Others have been seen after so long, if they live: one heartbeat and the
# time that it needs.
SETTLE_SECONDS = 0.7
# Processes that started within this time count as equally old. The youngest
# goes first: in a rolling restart it isn't the next to be stopped.
GENERATION_MS = 5000
# Cores. A host with less runs batches only if there is no other, since all
# runs of a service are the most work that a gateway can have.
STRONG_CORES = 1.0
# Detours are asked of members whose heartbeat is at most so old.
PEER_AGE_SECONDS = 5.0


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """A member's heartbeat.

    Attributes:
      incarnation: Names one start of its process.
      address: 'IP number:port' for other gateways.
      leaving: Whether it hands its work over before it stops.
      failure_domain: Failure domain of its host.
      started_ms: Unix milliseconds of its start.
      on_detour: Whether it reaches the log service only through others.
      pause_ms: Time until its next heartbeat is sent.
      cores: Processor time that its host gives.
    """

    incarnation: str
    address: str
    leaving: bool
    failure_domain: str = ''
    started_ms: int = 0
    on_detour: bool = False
    pause_ms: int = 500
    cores: float = 1.0


class Member:
    """A gateway as this one sees it.

    Attributes:
      name: Its host's name.
      beat: Its newest heartbeat.
      seen_at: When that was seen, in seconds of the
        boot clock.
      alive: Whether it is taken to live.
    """

    __slots__ = ('name', 'beat', 'seen_at', 'alive')

    def __init__(self, name: str, beat: Beat, seen_at: float):
        self.name = name
        self.beat = beat
        self.seen_at = seen_at
        self.alive = True

    def is_same(self, beat: Beat) -> bool:
        """Tell whether a heartbeat changes nothing that others decide by."""
        return (
            self.alive
            and self.beat.incarnation == beat.incarnation
            and self.beat.leaving == beat.leaving
        )


class Membership:
    """Sends this gateway's heartbeats and watches the others'.

    Attributes:
      incarnation: Names this start of the process.
      leaving: Whether a planned stop has begun.
      confirmed_until: Nobody takes this gateway for dead before, in seconds
        of the boot clock; zero before the first heartbeat.
    """

    __slots__ = (
        'incarnation',
        'leaving',
        'confirmed_until',
        '_settings',
        '_log',
        '_members',
        '_checked_at',
        '_seeing_from',
        '_alive',
        '_started_ms',
        '_latency',
        '_sent_at',
        '_beat_now',
        '_listeners',
    )

    def __init__(self, settings: gateway_settings.Settings, log):
        self.incarnation = uuid.uuid4().hex
        self.leaving = False
        self.confirmed_until = 0.0
        self._settings = settings
        self._log = log
        self._members: dict[str, Member] = {}
        self._checked_at = 0.0
        self._seeing_from = 0.0
        self._alive: frozenset[str] | None = None
        self._latency = 0.0
        self._sent_at: float | None = None
        self._started_ms = clock.time_now_ms()
        self._beat_now = asyncio.Event()
        self._listeners = []

    @property
    def settled(self) -> bool:
        """Whether every member that lives has been seen by now."""
        return (
            self._seeing_from > 0
            and self._checked_at - self._seeing_from > SETTLE_SECONDS
        )

    @property
    def alive(self) -> frozenset[str]:
        """Incarnations that live and stay, this one among them."""
        if self._alive is None:
            found = {
                member.beat.incarnation
                for member in self._members.values()
                if member.alive and not member.beat.leaving
            }
            found.add(self.incarnation)
            if self.leaving:
                found.remove(self.incarnation)
            self._alive = frozenset(found)
        return self._alive

    def is_alive(self, incarnation: str) -> bool:
        """Tell whether an incarnation lives and stays."""
        return incarnation in self.alive

    def list_peers(self) -> list[str]:
        """List addresses of other gateways that may help with the log.

        Those that reach it themselves go first, then near and fresh ones.
        """
        now = clock.time_boot_seconds()
        own = self._settings.name
        peers = [
            member
            for member in self._members.values()
            if member.name != own
            and (member.alive or now - member.seen_at < PEER_AGE_SECONDS)
        ]
        domain = self._settings.failure_domain
        peers.sort(
            key=lambda member: (
                member.beat.on_detour,
                member.beat.failure_domain != domain,
                -member.seen_at,
            )
        )
        return [member.beat.address for member in peers]

    def choose(self, key: str) -> str:
        """Choose the live member that does a piece of work.

        Args:
          key: Names the work. Every gateway that sees the same members
            chooses the same one.

        Returns:
          An incarnation; empty if nobody is left, or while this gateway
          can't tell who lives.
        """
        if not self.settled:
            return ''
        ranks = {
            member.beat.incarnation: build_rank(
                member.beat.cores, member.beat.started_ms
            )
            for member in self._members.values()
        }
        ranks[self.incarnation] = build_rank(
            self._settings.cores, self._started_ms
        )

        def rate(name: str) -> tuple:
            digest = xxhash.xxh64_intdigest(f'{key}/{name}'.encode())
            return ranks.get(name, ()), digest

        return max(self.alive, key=rate, default='')

    def on_change(self, listener) -> None:
        """Call a function after a member came, left or died."""
        self._listeners.append(listener)

    def leave(self) -> None:
        """Tell the others that this gateway is about to stop."""
        self.leaving = True
        self._alive = None
        self._beat_now.set()

    def apply(self, record: service.KeyedRecord) -> None:
        """Take a heartbeat from the log."""
        try:
            beat = msgspec.msgpack.decode(record.value, type=Beat)
        except msgspec.DecodeError:
            self._members.pop(record.key, None)
            self._alive = None
            return
        now = clock.time_boot_seconds()
        before = self._members.get(record.key)
        if before is not None and before.is_same(beat):
            before.beat = beat
            before.seen_at = now
            return
        self._members[record.key] = Member(record.key, beat, now)
        events.write(
            'member_changed',
            member=record.key,
            incarnation=beat.incarnation,
            leaving=beat.leaving,
            restarted=before is not None
            and before.beat.incarnation != beat.incarnation,
        )
        self._notify()

    async def run_beats(self) -> None:
        """Send heartbeats for as long as the process lives."""
        while True:
            self._beat_now.clear()
            sent_at = self._sent_at = clock.time_boot_seconds()
            # A slow log service must not be kept busy by heartbeats alone.
            pause = min(
                BEAT_MOST_SECONDS,
                max(BEAT_SECONDS, LATENCY_RATIO * self._latency),
            )
            beat = Beat(
                self.incarnation,
                f'{self._settings.host}:{self._settings.peer_port}',
                self.leaving,
                self._settings.failure_domain,
                self._started_ms,
                self._log.on_detour,
                int(pause * 1000),
                self._settings.cores,
            )
            record = service.encode_keyed(
                self._settings.name, msgspec.msgpack.encode(beat)
            )
            try:
                await self._log.append(TOPIC, 0, [record])
                self.confirmed_until = (
                    sent_at + find_patience(pause) - MARGIN_SECONDS
                )
            except service.LogError as error:
                pause = RETRY_SECONDS
                events.write('heartbeat_not_sent', error=str(error))
            self._latency = clock.time_boot_seconds() - sent_at
            self._sent_at = None
            try:
                async with asyncio.timeout(pause):
                    await self._beat_now.wait()
            except TimeoutError:
                pass

    async def run_checks(self, tail) -> None:
        """Give members up whose heartbeats are missing.

        Args:
          tail: The tail that hands heartbeats to apply().
        """
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.check(clock.time_boot_seconds(), tail.read_at)

    def check(self, now: float, read_at: float) -> None:
        """Give members up that have been silent while the log was read.

        Args:
          now: Monotonic time in seconds.
          read_at: When the log was last read with success, in the same.
        """
        blind = now - read_at > GAP_SECONDS
        paused = now - self._checked_at > GAP_SECONDS
        self._checked_at = now
        if blind or paused:
            self._seeing_from = 0.0
            for member in self._members.values():
                member.seen_at = now
            return
        if not self._seeing_from:
            self._seeing_from = now
        # What our own heartbeat takes, those of others may take as well.
        delay = self._latency
        if self._sent_at is not None:
            delay = max(delay, now - self._sent_at)
        for member in self._members.values():
            silent = now - member.seen_at
            limit = find_patience(member.beat.pause_ms / 1000)
            limit += DELAY_RATIO * delay
            if member.alive and silent > limit:
                member.alive = False
                events.write(
                    'member_dead',
                    member=member.name,
                    incarnation=member.beat.incarnation,
                    silent_ms=int(silent * 1000),
                )
                self._notify()

    def _notify(self) -> None:
        self._alive = None
        for listener in self._listeners:
            listener()


def build_rank(cores: float, started_ms: int) -> tuple[bool, int]:
    """Build the rank by which members are chosen for work.

    Args:
      cores: Processor time that the member's host gives.
      started_ms: Unix milliseconds of its start.

    Returns:
      A rank that is higher for a member that goes first: strong hosts before
      weak ones, and among them those that started last.
    """
    return cores >= STRONG_CORES, started_ms // GENERATION_MS


def find_patience(pause_seconds: float) -> float:
    """Find how long a member may be silent.

    Args:
      pause_seconds: The time between its heartbeats, as it tells.

    Returns:
      Seconds; others wait longer while the log is slow, never less.
    """
    return max(DEAD_SECONDS, DEAD_BEATS * pause_seconds)
