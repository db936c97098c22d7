"""Follows a partition and applies each record once, in order.

A record that can't be applied is skipped, whatever the error, so that what one
writer appends doesn't keep a reader from the records of the others.

A tail also records the time up to which it has applied all records. A reader
that needs every record appended so far calls catch_up first.
"""

import asyncio

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

# How long the log service holds a read that has no records to return, unless
# a change has to be known sooner. A dead connection is detected only when a
# read is overdue, so the time is short.
LONG_POLL_MS = 1000
# The first read is small, since all gateways may have started at once and
# share the log service's bandwidth. A read that times out is retried with
# half the size.
FIRST_READ_BYTES = 1 << 17
MIN_READ_BYTES = 1 << 15
RETRY_MIN_SECONDS = 0.15
RETRY_MAX_SECONDS = 0.6


class Tail:
    """Follows one partition of a topic.

    Attributes:
      next_offset: Offset of the next record to apply.
      failing: Whether the last read failed.
      read_at: Time at which the last successful read returned, in seconds of
        the boot clock.
      complete_at: All records appended up to this time have been applied, in
        seconds of the boot clock; minus infinity until the first read that
        reached the end of the partition.
      read_interval_seconds: Pause in seconds after a read that returned
        records.
      poll_ms: Milliseconds that a read waits for records.
    """

    __slots__ = (
        'next_offset',
        'failing',
        'read_at',
        'complete_at',
        'read_interval_seconds',
        'poll_ms',
        '_log',
        '_topic',
        '_partition',
        '_apply',
        '_initial_read_done',
        '_max_read_bytes',
        '_failed_at',
    )

    def __init__(
        self,
        log,
        topic,
        partition,
        apply,
        read_interval_seconds,
        poll_ms=LONG_POLL_MS,
    ):
        self.next_offset = 0
        self.failing = False
        self.read_at = 0.0
        self.complete_at = float('-inf')
        self._log = log
        self._topic = topic
        self._partition = partition
        self._apply = apply
        self.read_interval_seconds = read_interval_seconds
        self.poll_ms = poll_ms
        self._initial_read_done = asyncio.Event()
        self._max_read_bytes = FIRST_READ_BYTES
        self._failed_at = 0.0

    @property
    def is_loaded(self) -> bool:
        """Whether the records that existed at the start have been applied."""
        return self._initial_read_done.is_set()

    async def wait_until_loaded(self) -> None:
        """Wait until the records that existed at the start are applied."""
        await self._initial_read_done.wait()

    async def catch_up(self) -> None:
        """Read up to the current end of the partition.

        Raises:
          LogError: If the log service can't be read.
        """
        while True:
            end = await self._read(0)
            if self.next_offset >= end:
                return

    async def run(self) -> None:
        """Follow the partition until cancelled."""
        delay = RETRY_MIN_SECONDS
        wait_ms = 0
        while True:
            before = self.next_offset
            try:
                end = await self._read(wait_ms)
            except service.LogError as error:
                self._note_failure(error)
                await asyncio.sleep(delay)
                delay = min(RETRY_MAX_SECONDS, delay * 2)
                continue
            delay = RETRY_MIN_SECONDS
            wait_ms = self.poll_ms
            if self.next_offset >= end:
                self._initial_read_done.set()
            if self.next_offset > before:
                await asyncio.sleep(self.read_interval_seconds)

    async def _read(self, wait_ms: int) -> int:
        start = self.next_offset
        requested_at = clock.read_boot_clock_seconds()
        try:
            result = await self._log.read(
                self._topic,
                self._partition,
                start,
                wait_ms,
                self._max_read_bytes,
            )
        except service.LogLostError:
            # The log service may be overloaded by many large reads at once.
            self._max_read_bytes = max(
                MIN_READ_BYTES, self._max_read_bytes // 2
            )
            raise
        except service.LogTrimmedError as error:
            self._handle_trimmed(error)
            # An end beyond the next offset, so that the caller reads again.
            return self.next_offset + 1
        service.check_not_outdated(result.end, start)
        self._note_success()
        self._max_read_bytes = min(
            service.MAX_READ_BYTES, self._max_read_bytes * 2
        )
        # Reads may overlap; skip the records that another read has applied.
        skip = self.next_offset - start
        for record in result.records[skip:]:
            offset = self.next_offset
            self.next_offset += 1
            self._apply_isolated(offset, self._apply, offset, record)
        if self.next_offset >= result.end:
            self.complete_at = max(self.complete_at, requested_at)
        return result.end

    def _apply_isolated(self, place: object, apply, *arguments) -> None:
        """Apply one record; log and count it if that fails.

        Args:
          place: Offset or key of the record.
          apply: Function that applies the record.
          arguments: Arguments of the function.
        """
        try:
            apply(*arguments)
        except Exception as error:
            metrics.INVALID_RECORDS.labels(self._topic).inc()
            events.write_error(
                'record_not_applied',
                error,
                topic=self._topic,
                partition=self._partition,
                record=place,
            )

    def _handle_trimmed(self, error) -> None:
        self._write_expired(error)
        self.next_offset = max(self.next_offset, error.first_offset)

    def _write_expired(self, error) -> None:
        events.write(
            'log_records_expired',
            topic=self._topic,
            partition=self._partition,
            from_offset=self.next_offset,
            first_offset=error.first_offset,
        )

    def _note_success(self) -> None:
        self.read_at = clock.read_boot_clock_seconds()
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
            self._failed_at = clock.read_boot_clock_seconds()
            events.write(
                'log_read_failing',
                topic=self._topic,
                partition=self._partition,
                error=str(error),
            )


class KeyedTail(Tail):
    """Follows the newest value of each key of a keyed topic.

    Starts from a snapshot of the newest records, and loads another snapshot
    if the records to read next have been deleted. A key that is missing from
    the snapshot has been dropped.
    """

    __slots__ = ('_live_keys', '_apply_key', '_has_snapshot')

    def __init__(
        self,
        log,
        topic,
        apply_key,
        read_interval_seconds,
        poll_ms=LONG_POLL_MS,
    ):
        super().__init__(
            log, topic, 0, self._apply_record, read_interval_seconds, poll_ms
        )
        self._live_keys: set[str] = set()
        self._apply_key = apply_key
        self._has_snapshot = False

    async def _read(self, wait_ms: int) -> int:
        if not self._has_snapshot:
            await self._load_snapshot()
        return await super()._read(wait_ms)

    def _handle_trimmed(self, error) -> None:
        # The next offset stays where it is: the deleted records are known
        # only once a snapshot has been loaded, which may fail.
        self._write_expired(error)
        self._has_snapshot = False

    async def _load_snapshot(self) -> None:
        known_end = self.next_offset
        snapshot = await self._log.read_newest(self._topic)
        service.check_not_outdated(snapshot.next_offset, known_end)
        if snapshot.next_offset < self.next_offset:
            # Another read has overtaken this one.
            return
        present = {record.key for record in snapshot.records}
        for key in self._live_keys - present:
            self._apply_keyed(
                service.KeyedRecord(key, b'', snapshot.next_offset)
            )
        for record in snapshot.records:
            self._apply_keyed(record)
        self.next_offset = snapshot.next_offset
        self._has_snapshot = True
        self._note_success()
        events.write(
            'log_snapshot_loaded',
            topic=self._topic,
            keys=len(snapshot.records),
            next_offset=snapshot.next_offset,
        )

    def _apply_record(self, offset: int, record: bytes) -> None:
        decoded = service.decode_keyed(record)
        if decoded is None:
            raise ValueError('not a record of a keyed topic')
        self._apply_keyed(service.KeyedRecord(*decoded, offset))

    def _apply_keyed(self, record: service.KeyedRecord) -> None:
        if record.value:
            self._live_keys.add(record.key)
        else:
            self._live_keys.discard(record.key)
        self._apply_isolated(record.key, self._apply_key, record)
