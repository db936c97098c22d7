"""Follows a partition and hands each record on once, in order.

Besides the records, a tail knows how fresh it is: a reader that must be sure
to have seen everything up to now asks it to catch up first.
"""

import asyncio

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events

# How long the log service holds a read that has nothing to return. Silent
# connections are noticed only when a read is overdue, so it is short.
WAIT_MS = 1000
# A first read is short, since all gateways may have started at once and share
# the log service's bandwidth; a read that is lost is repeated with less.
FIRST_BYTES = 1 << 17
LEAST_BYTES = 1 << 15
RETRY_SECONDS = 0.15
RETRY_MOST_SECONDS = 0.6


class Tail:
    """Follows one partition of a topic.

    Attributes:
      next_offset: Offset of the next record.
      failing: Whether the last read failed.
      read_at: When the last good read was answered, in seconds of
        the boot clock.
      complete_at: Everything that was there at this time has been handed
        on, in the same; minus infinity before that is known.
      pace_seconds: Shortest time between two reads that find something.
    """

    __slots__ = (
        'next_offset',
        'failing',
        'read_at',
        'complete_at',
        'pace_seconds',
        '_log',
        '_topic',
        '_partition',
        '_apply',
        '_caught_up',
        '_most_bytes',
        '_failed_at',
    )

    def __init__(self, log, topic, partition, apply, pace_seconds):
        self.next_offset = 0
        self.failing = False
        self.read_at = 0.0
        self.complete_at = float('-inf')
        self._log = log
        self._topic = topic
        self._partition = partition
        self._apply = apply
        self.pace_seconds = pace_seconds
        self._caught_up = asyncio.Event()
        self._most_bytes = FIRST_BYTES
        self._failed_at = 0.0

    @property
    def loaded(self) -> bool:
        """Whether everything that was there at the start has been read."""
        return self._caught_up.is_set()

    async def wait_loaded(self) -> None:
        """Wait until everything that was there at the start is read."""
        await self._caught_up.wait()

    async def catch_up(self) -> None:
        """Read to the partition's present end.

        Raises:
          LogError: If the log service can't be read.
        """
        while True:
            end = await self._read(0)
            if self.next_offset >= end:
                return

    async def run(self) -> None:
        """Follow the partition for as long as the process lives."""
        pause = RETRY_SECONDS
        wait_ms = 0
        while True:
            before = self.next_offset
            try:
                end = await self._read(wait_ms)
            except service.LogError as error:
                self._note_failure(error)
                await asyncio.sleep(pause)
                pause = min(RETRY_MOST_SECONDS, pause * 2)
                wait_ms = 0
                continue
            pause = RETRY_SECONDS
            wait_ms = WAIT_MS
            if self.next_offset >= end:
                self._caught_up.set()
            if self.next_offset > before:
                await asyncio.sleep(self.pace_seconds)

    async def _read(self, wait_ms: int) -> int:
        start = self.next_offset
        asked_at = clock.time_boot_seconds()
        try:
            part = await self._log.read(
                self._topic, self._partition, start, wait_ms, self._most_bytes
            )
        except service.LogLostError:
            # Perhaps too many gateways read too much at once.
            self._most_bytes = max(LEAST_BYTES, self._most_bytes // 2)
            raise
        except service.LogTrimmedError as error:
            await self._handle_trimmed(error)
            return self.next_offset + 1
        self._note_success()
        self._most_bytes = min(service.READ_BYTES, self._most_bytes * 2)
        # Two reads may overlap; what one has handed on, the other skips.
        skip = self.next_offset - start
        for record in part.records[skip:]:
            offset = self.next_offset
            self.next_offset += 1
            self._apply(offset, record)
        if self.next_offset >= part.end:
            self.complete_at = max(self.complete_at, asked_at)
        return part.end

    async def _handle_trimmed(self, error) -> None:
        events.write(
            'log_records_expired',
            topic=self._topic,
            partition=self._partition,
            from_offset=self.next_offset,
            first_offset=error.first_offset,
        )
        self.next_offset = max(self.next_offset, error.first_offset)

    def _note_success(self) -> None:
        self.read_at = clock.time_boot_seconds()
        if self.failing:
            self.failing = False
            events.write(
                'log_read_recovered',
                topic=self._topic,
                partition=self._partition,
                after_ms=int((self.read_at - self._failed_at) * 1000),
            )

    def _note_failure(self, error) -> None:
        if not self.failing:
            self.failing = True
            self._failed_at = clock.time_boot_seconds()
            events.write(
                'log_read_failing',
                topic=self._topic,
                partition=self._partition,
                error=str(error),
            )


class KeyedTail(Tail):
    """Follows a keyed topic: the newest value of each key.

    It begins with the newest records, and begins there again when the
    history that it would read next has been deleted. A key that is missing
    then has been dropped.
    """

    __slots__ = ('_keys', '_apply_key', '_started')

    def __init__(self, log, topic, apply_key, pace_seconds):
        super().__init__(log, topic, 0, self._apply_record, pace_seconds)
        self._keys: set[str] = set()
        self._apply_key = apply_key
        self._started = False

    async def _read(self, wait_ms: int) -> int:
        if not self._started:
            await self._load()
        return await super()._read(wait_ms)

    async def _handle_trimmed(self, error) -> None:
        await super()._handle_trimmed(error)
        await self._load()

    async def _load(self) -> None:
        snapshot = await self._log.read_newest(self._topic)
        self._started = True
        present = {record.key for record in snapshot.records}
        for key in self._keys - present:
            self._put(service.KeyedRecord(key, b'', snapshot.next_offset))
        for record in snapshot.records:
            self._put(record)
        self.next_offset = snapshot.next_offset
        self._note_success()

    def _apply_record(self, offset: int, record: bytes) -> None:
        decoded = service.decode_keyed(record)
        if decoded is not None:
            self._put(service.KeyedRecord(*decoded, offset))

    def _put(self, record: service.KeyedRecord) -> None:
        if record.value:
            self._keys.add(record.key)
        else:
            self._keys.discard(record.key)
        self._apply_key(record)
