"""Appends records of one partition in groups, each exactly once.

Records that come within a short time share one call. The producer's sequence
number lets a call whose answer was lost be sent again without a second copy.
A record can be withdrawn only while no call that may have been carried out
holds it.
"""

import asyncio
import enum
import time

from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

# Within this time records share a call; a partition takes some 3 ms a call.
GROUP_SECONDS = 0.015
RETRY_SECONDS = 0.1
RETRY_MOST_SECONDS = 0.4


class Fate(enum.Enum):
    """What became of a record that its writer stopped waiting for."""

    WITHDRAWN = 'withdrawn'
    UNKNOWN = 'unknown'


class AppendTimeoutError(service.LogError):
    """A record was not confirmed in time.

    Attributes:
      fate: Whether it was withdrawn, or may be in the log.
    """

    def __init__(self, fate: Fate):
        super().__init__(f'not appended in time: {fate.value}')
        self.fate = fate


class _Pending:
    """Records that go into one call together."""

    __slots__ = ('records', 'size', 'done', 'sent')

    def __init__(self, records, done):
        self.records = records
        self.size = sum(len(record) for record in records)
        self.done = done
        self.sent = False


class Appender:
    """Appends to one partition of a topic."""

    __slots__ = (
        '_log',
        '_topic',
        '_partition',
        '_producer',
        '_limit',
        '_queue',
        '_wake',
        '_sequence',
        '_epoch',
        'failing',
    )

    def __init__(self, log, topic, partition, producer, call_bytes):
        self._log = log
        self._topic = topic
        self._partition = partition
        self._producer = producer
        self._limit = call_bytes
        self._queue: list[_Pending] = []
        self._wake = asyncio.Event()
        self._sequence = 0
        self._epoch = 1
        self.failing = False

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be appended."""
        return not self._queue

    def add(self, records: list[bytes]) -> asyncio.Future:
        """Queue records that are appended together.

        Args:
          records: At most as many bytes as one call takes.

        Returns:
          A future of the first one's offset, done once they are in the log.
        """
        done = asyncio.get_running_loop().create_future()
        self._queue.append(_Pending(records, done))
        self._wake.set()
        return done

    async def append(
        self, records: list[bytes], timeout_seconds: float
    ) -> int:
        """Append records and wait until they are in the log.

        Args:
          records: At most as many bytes as one call takes.
          timeout_seconds: How long to wait.

        Returns:
          Offset of the first one.

        Raises:
          AppendTimeoutError: If that took too long; it tells whether the
            records may still get into the log.
        """
        done = self.add(records)
        await asyncio.wait([done], timeout=timeout_seconds)
        if done.done():
            return done.result()
        pending = next(entry for entry in self._queue if entry.done is done)
        if pending.sent:
            raise AppendTimeoutError(Fate.UNKNOWN)
        self._queue.remove(pending)
        raise AppendTimeoutError(Fate.WITHDRAWN)

    async def run(self) -> None:
        """Append what is queued, for as long as the process lives."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await asyncio.sleep(GROUP_SECONDS)
            while self._queue:
                await self._append_group()

    async def _append_group(self) -> None:
        pause = RETRY_SECONDS
        started = time.monotonic()
        group = self._take_group()
        while group:
            try:
                offset = await self._send(group)
            except service.LogError as error:
                self._note_failure(error)
                if isinstance(error, service.LogConflictError):
                    self._begin_epoch()
                await asyncio.sleep(pause)
                pause = min(RETRY_MOST_SECONDS, pause * 2)
                if not any(entry.sent for entry in group):
                    group = self._take_group()
                continue
            self._finish(group, offset)
            metrics.APPEND_SECONDS.observe(time.monotonic() - started)
            return

    def _take_group(self) -> list[_Pending]:
        group = []
        size = 0
        for entry in self._queue:
            if group and size + entry.size > self._limit:
                break
            group.append(entry)
            size += entry.size
        return group

    async def _send(self, group) -> int:
        records = [record for entry in group for record in entry.records]
        producer = service.Producer(
            self._producer, self._epoch, self._sequence
        )
        before = [entry.sent for entry in group]
        for entry in group:
            entry.sent = True
        try:
            return await self._log.append(
                self._topic, self._partition, records, producer
            )
        except service.LogRefusedError:
            # An earlier try of the same group may still have been lost.
            for entry, sent in zip(group, before, strict=True):
                entry.sent = sent
            raise

    def _begin_epoch(self) -> None:
        """Start a new epoch: the sequence is not what the log expects.

        The group may be in the log already; its records are then there
        twice, which every fold of them bears.
        """
        self._epoch += 1
        self._sequence = 0

    def _finish(self, group, offset: int) -> None:
        self._sequence += 1
        if self.failing:
            self.failing = False
            events.write(
                'log_append_recovered',
                topic=self._topic,
                partition=self._partition,
            )
        for entry in group:
            self._queue.remove(entry)
            if not entry.done.done():
                entry.done.set_result(offset)
            offset += len(entry.records)

    def _note_failure(self, error) -> None:
        if not self.failing:
            self.failing = True
            events.write(
                'log_append_failing',
                topic=self._topic,
                partition=self._partition,
                error=str(error),
            )
