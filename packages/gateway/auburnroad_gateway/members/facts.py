"""Shares facts among the gateways through a keyed topic of the log service.

Each gateway writes what it learns under keys of its own, a fixed number for
each kind of fact, in turn: the newest facts take the place of the oldest, and
the topic stays bounded. All gateways read all facts, also those that were
written before they started. A fact is ignored after its deadline.
"""

import asyncio
import collections
import enum
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core import decoding
from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events

TOPIC = service.KEYED_PREFIX + 'facts'
# Facts learned within this time share a record. All gateways append to one
# partition, one after the other, so that the time grows with their number.
GROUP_DELAY_SECONDS = 0.05
GROUP_DELAY_PER_GATEWAY_SECONDS = 0.01
RETRY_SECONDS = 0.3
MAX_FACTS_PER_RECORD = 200
# Facts of a kind that wait while the log service is unavailable; any further
# one takes the place of the oldest.
MAX_QUEUED = 2000


class FactKind(enum.StrEnum):
    """Kind of a fact.

    Attributes:
      CRASH: The replica in the value ended while it ran the request whose
        fingerprint is the key.
      ANSWER: A replica answered the request whose fingerprint is the key.
      STREAM: The release in the value began the stream whose first attempt
        has the key as its id.
      RELEASE: Streams of the host name in the key may begin at the release in
        the value.
      PACE: The value is the median time between two events of the replicas of
        the service in the key, in milliseconds.
    """

    CRASH = 'crash'
    ANSWER = 'answer'
    STREAM = 'stream'
    RELEASE = 'release'
    PACE = 'pace'


# Keys of one gateway for each kind of fact. A gateway that starts finds the
# facts of as many records.
SLOTS = {
    FactKind.CRASH: 64,
    FactKind.ANSWER: 16,
    FactKind.STREAM: 256,
    FactKind.RELEASE: 64,
    FactKind.PACE: 8,
}


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """Something that all gateways are to know.

    Attributes:
      kind: Kind of the fact.
      key: What the fact is about.
      value: What is the case; empty if the kind says it all.
      until_ms: Time in Unix milliseconds from which the fact is ignored.
    """

    kind: FactKind
    key: str
    value: str
    until_ms: int


Listener = typing.Callable[[Fact], None]


class SharedFacts:
    """Facts of all gateways."""

    __slots__ = (
        '_host',
        '_log',
        '_count_gateways',
        '_listeners',
        '_queues',
        '_queue_changed',
        '_offsets',
        '_unwritten',
        '_failing',
    )

    def __init__(
        self,
        host: str,
        log: service.LogService,
        count_gateways: typing.Callable[[], int] = lambda: 1,
    ):
        """Create the facts of a gateway.

        Args:
          host: Name of this gateway's host.
          log: The log service.
          count_gateways: Returns the number of gateways that are alive.
        """
        self._host = host
        self._log = log
        self._count_gateways = count_gateways
        self._listeners: dict[FactKind, Listener] = {}
        self._queues: dict[FactKind, collections.deque[Fact]] = {
            kind: collections.deque(maxlen=MAX_QUEUED) for kind in FactKind
        }
        self._queue_changed = asyncio.Event()
        # Offset of this host's record in each slot, negative if there is none.
        self._offsets: dict[FactKind, list[int]] = {
            kind: [-1] * SLOTS[kind] for kind in FactKind
        }
        # Facts whose writing somebody waits for.
        self._unwritten: dict[Fact, asyncio.Event] = {}
        self._failing = False

    def on_fact(self, kind: FactKind, listener: Listener) -> None:
        """Call a function with each fact of a kind, also with own facts."""
        self._listeners[kind] = listener

    def share(self, fact: Fact) -> None:
        """Let all gateways know a fact, this one at once."""
        self._notify(fact)
        self._queues[fact.kind].append(fact)
        self._queue_changed.set()

    async def share_written(self, fact: Fact, timeout_seconds: float) -> bool:
        """Let all gateways know a fact, and wait until it is in the log.

        Args:
          fact: The fact.
          timeout_seconds: Maximum time to wait; the fact is written later if
            it has passed.

        Returns:
          Whether the fact is in the log.
        """
        written = self._unwritten.setdefault(fact, asyncio.Event())
        self.share(fact)
        try:
            async with asyncio.timeout(timeout_seconds):
                await written.wait()
        except TimeoutError:
            return False
        finally:
            self._unwritten.pop(fact, None)
        return True

    async def append(self, kind: FactKind, new: list[Fact]) -> None:
        """Append facts of a kind at once, as one record.

        The gateway itself knows the facts once it has read the record. All
        facts must have been read before, so that the record takes the place
        of the oldest one of this host.

        Raises:
          service.LogError: If the record may not be in the log.
        """
        await self._append_oldest(kind, new)

    def apply(self, record: service.KeyedRecord) -> None:
        """Apply a record of the topic."""
        if not record.value:
            return
        name, _, place = record.key.partition('/')
        host, _, slot = place.rpartition('/')
        try:
            facts = decoding.decode_msgpack(record.value, list[Fact])
            if host == self._host:
                self._note_written(FactKind(name), record.offset, int(slot))
        except (msgspec.DecodeError, ValueError) as error:
            # Perhaps of another version of gateways.
            events.write_invalid_record(TOPIC, record.key, error)
            return
        for fact in facts:
            self._notify(fact)

    async def run(self, tail) -> None:
        """Write the facts of this gateway until cancelled.

        Args:
          tail: The tail that passes records to apply(). It tells which key
            this host has written last, possibly before a restart.
        """
        await tail.wait_until_loaded()
        while True:
            await self._queue_changed.wait()
            self._queue_changed.clear()
            await asyncio.sleep(
                max(
                    GROUP_DELAY_SECONDS,
                    GROUP_DELAY_PER_GATEWAY_SECONDS * self._count_gateways(),
                )
            )
            for kind in FactKind:
                while self._queues[kind]:
                    await self._write_group(kind)

    async def _write_group(self, kind: FactKind) -> None:
        """Append the oldest facts of a kind; wait after a failure."""
        queue = self._queues[kind]
        count = min(len(queue), MAX_FACTS_PER_RECORD)
        group = [queue.popleft() for _ in range(count)]
        try:
            await self._append_oldest(kind, group)
        except service.LogError as error:
            if not self._failing:
                events.write('facts_not_written', error=str(error))
            self._failing = True
            queue.extendleft(reversed(group))
            await asyncio.sleep(RETRY_SECONDS)
            return
        self._failing = False
        for fact in group:
            if fact in self._unwritten:
                self._unwritten[fact].set()

    async def _append_oldest(self, kind: FactKind, group: list[Fact]) -> None:
        """Append facts in place of the oldest record of this host.

        A call without an answer may be carried out seconds later. Its slot is
        not used again soon, so that it doesn't replace what is newer.
        """
        offsets = self._offsets[kind]
        slot = min(range(SLOTS[kind]), key=offsets.__getitem__)
        # Reserved before the call, since others may be made meanwhile.
        before, offsets[slot] = offsets[slot], max(offsets) + 1
        try:
            offset = await self._log.append(
                TOPIC, 0, [self._encode(kind, slot, group)]
            )
        except service.LogRefusedError:
            offsets[slot] = before
            raise
        self._note_written(kind, offset, slot)

    def _encode(self, kind: FactKind, slot: int, group: list[Fact]) -> bytes:
        return service.encode_keyed(
            f'{kind}/{self._host}/{slot}', msgspec.msgpack.encode(group)
        )

    def _note_written(self, kind: FactKind, offset: int, slot: int) -> None:
        offsets = self._offsets[kind]
        # Gateways of another version may use more slots.
        if 0 <= slot < len(offsets):
            offsets[slot] = max(offsets[slot], offset)

    def _notify(self, fact: Fact) -> None:
        listener = self._listeners.get(fact.kind)
        if listener is not None and fact.until_ms > clock.time_now_ms():
            listener(fact)
