"""Appends records to one partition in groups and without duplicates.

Records queued within a short time share one append call. The producer's
sequence number makes a call idempotent, so a call whose response was lost is
retried without a second copy. A queued record can be withdrawn only while no
call containing it may have been carried out.

A call that is refused is not repeated as it was: while nothing of it may have
been appended, each retry carries half as many bytes. So a call that the log
service never accepts doesn't keep the partition from its other records.
"""

import asyncio
import enum
import time

from auburnroad_gateway.log import service
from auburnroad_gateway.model import settings
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

# Records queued within this time share a call; an append call to a partition
# lasts about 3 ms.
GROUP_DELAY_SECONDS = 0.015
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 0.4


class AppendState(enum.Enum):
    """State of records whose append timed out."""

    WITHDRAWN = 'withdrawn'
    UNKNOWN = 'unknown'


class AppendTimeoutError(service.LogError):
    """An append was not confirmed in time.

    Attributes:
      state: WITHDRAWN if the records are not and will not be in the log,
        UNKNOWN if they may be in the log now or later.
    """

    def __init__(self, state: AppendState):
        super().__init__(
            f'append timed out; state of the records: {state.value}'
        )
        self.state = state


class _PendingAppend:
    """Records of one writer that must go into the same call.

    Attributes:
      records: Encoded records in the order of the partition.
      size: Size of the records in a call, in bytes.
      future: Resolves to the offset of the first record.
      maybe_appended: Whether a call with the records may have been carried
        out.
    """

    __slots__ = ('records', 'size', 'future', 'maybe_appended')

    def __init__(self, records, future):
        self.records = records
        self.size = service.measure_records(records)
        self.future = future
        self.maybe_appended = False


class Appender:
    """Appends to one partition of a topic.

    Attributes:
      failing: Whether the last append call failed.
    """

    __slots__ = (
        '_log',
        '_topic',
        '_partition',
        '_producer',
        '_limits',
        '_max_group_bytes',
        '_queue',
        '_queue_changed',
        '_sequence',
        '_epoch',
        'failing',
    )

    def __init__(
        self,
        log: service.LogService,
        topic: str,
        partition: int,
        producer: str,
        limits: settings.LogLimits,
    ):
        self._log = log
        self._topic = topic
        self._partition = partition
        self._producer = producer
        self._limits = limits
        self._max_group_bytes = limits.call_bytes
        self._queue: list[_PendingAppend] = []
        self._queue_changed = asyncio.Event()
        self._sequence = 0
        self._epoch = 1
        self.failing = False

    @property
    def is_idle(self) -> bool:
        """Whether no records are queued."""
        return not self._queue

    def enqueue(self, records: list[bytes]) -> asyncio.Future:
        """Queue records that are appended in the same call.

        Args:
          records: Records whose total size fits into one append call.

        Returns:
          A future that resolves to the offset of the first record once the
          records are in the log, or to LogTooLargeError.
        """
        future = asyncio.get_running_loop().create_future()
        pending = _PendingAppend(records, future)
        largest = max(len(record) for record in records)
        if (
            pending.size > self._limits.call_bytes
            or largest > self._limits.record_bytes
        ):
            self._reject(pending, largest)
            return future
        self._queue.append(pending)
        self._queue_changed.set()
        return future

    async def append(
        self, records: list[bytes], timeout_seconds: float
    ) -> int:
        """Append records and wait until they are in the log.

        Args:
          records: Records whose total size fits into one append call.
          timeout_seconds: Maximum time to wait.

        Returns:
          Offset of the first record.

        Raises:
          AppendTimeoutError: If the records were not confirmed in time. Its
            state attribute tells whether the records may still be appended.
          LogTooLargeError: If the records don't fit into one append call.
        """
        future = self.enqueue(records)
        await asyncio.wait([future], timeout=timeout_seconds)
        if future.done():
            return future.result()
        pending = next(
            queued for queued in self._queue if queued.future is future
        )
        if pending.maybe_appended:
            raise AppendTimeoutError(AppendState.UNKNOWN)
        self._queue.remove(pending)
        raise AppendTimeoutError(AppendState.WITHDRAWN)

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._queue_changed.wait()
            self._queue_changed.clear()
            await asyncio.sleep(GROUP_DELAY_SECONDS)
            while self._queue:
                await self._append_group()

    async def _append_group(self) -> None:
        delay = RETRY_MIN_SECONDS
        started = time.monotonic()
        group = self._select_group()
        while group:
            try:
                offset = await self._send(group)
            except service.LogError as error:
                self._note_failure(error)
                if isinstance(error, service.LogConflictError):
                    self._start_epoch()
                await asyncio.sleep(delay)
                delay = min(RETRY_MAX_SECONDS, delay * 2)
                if not any(queued.maybe_appended for queued in group):
                    self._max_group_bytes = (
                        sum(queued.size for queued in group) // 2
                    )
                    group = self._select_group()
                continue
            self._max_group_bytes = self._limits.call_bytes
            self._confirm_group(group, offset)
            metrics.APPEND_SECONDS.observe(time.monotonic() - started)
            return

    def _select_group(self) -> list[_PendingAppend]:
        group = []
        size = 0
        for queued in self._queue:
            if group and size + queued.size > self._max_group_bytes:
                break
            group.append(queued)
            size += queued.size
        return group

    def _reject(self, pending: _PendingAppend, largest: int) -> None:
        events.write(
            'records_too_large',
            topic=self._topic,
            partition=self._partition,
            bytes=pending.size,
            largest=largest,
        )
        pending.future.set_exception(
            service.LogTooLargeError(f'{pending.size} bytes')
        )
        # Many writers don't wait for the outcome; the line above reports it.
        pending.future.exception()

    async def _send(self, group) -> int:
        records = [record for queued in group for record in queued.records]
        producer = service.Producer(
            self._producer, self._epoch, self._sequence
        )
        previous_flags = [queued.maybe_appended for queued in group]
        for queued in group:
            queued.maybe_appended = True
        try:
            return await self._log.append(
                self._topic, self._partition, records, producer
            )
        except service.LogRefusedError:
            # This call appended nothing, but an earlier call with the same
            # group may have done so if its response was lost.
            for queued, maybe_appended in zip(
                group, previous_flags, strict=True
            ):
                queued.maybe_appended = maybe_appended
            raise

    def _start_epoch(self) -> None:
        """Start a new epoch after the log rejected the sequence number.

        The group may already be in the log; its records are then appended
        twice. Every consumer of the partition tolerates duplicates.
        """
        self._epoch += 1
        self._sequence = 0

    def _confirm_group(self, group, offset: int) -> None:
        self._sequence += 1
        if self.failing:
            self.failing = False
            events.write(
                'log_append_recovered',
                topic=self._topic,
                partition=self._partition,
            )
        for queued in group:
            self._queue.remove(queued)
            if not queued.future.done():
                queued.future.set_result(offset)
            offset += len(queued.records)

    def _note_failure(self, error) -> None:
        if not self.failing:
            self.failing = True
            events.write(
                'log_append_failing',
                topic=self._topic,
                partition=self._partition,
                error=str(error),
            )
