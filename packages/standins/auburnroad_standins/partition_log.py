"""Log service in memory: partitions, keyed topics, producers and faults.

It implements the interface of auburnroad_gateway.log.service. Tests can make
it refuse calls, lose responses, stop responding, or delete old records.
"""

import asyncio
import collections

from auburnroad_gateway.log import service


class PartitionLog:
    """Implements service.LogService.

    Attributes:
      down: Whether every call is refused.
      silent: Whether calls wait forever.
      lost_topics: Topics whose reads wait forever; snapshots work.
      bytes_in_time: Largest requested size of a read, in bytes, that doesn't
        time out; None for no limit.
      lose_answers: Number of next appends that take effect but raise
        LogLostError.
      max_call_bytes: Size of the largest append that is accepted, with the
        length of each record; None for no limit.
      refuse_snapshots: Number of next calls of read_newest that are refused.
      calls: Names of the received calls in order, with 'answer' for the end of
        a waiting read and 'address ADDRESS' for a call of set_address.
    """

    __slots__ = (
        'down',
        'silent',
        'lost_topics',
        'bytes_in_time',
        'lose_answers',
        'max_call_bytes',
        'refuse_snapshots',
        'calls',
        '_records',
        '_first',
        '_producers',
        '_changed',
    )

    def __init__(self):
        self.down = False
        self.silent = False
        self.lost_topics: set[str] = set()
        self.bytes_in_time: int | None = None
        self.lose_answers = 0
        self.max_call_bytes: int | None = None
        self.refuse_snapshots = 0
        self.calls: list[str] = []
        self._records = collections.defaultdict(list)
        self._first = collections.defaultdict(int)
        self._producers: dict[tuple, tuple[int, int, int]] = {}
        self._changed = asyncio.Event()

    def set_address(self, address: str) -> None:
        """Record the new address in calls."""
        self.calls.append(f'address {address}')

    def discard_idle_connections(self, before: float) -> None:
        """Do nothing, as there are no connections."""

    def list_partitions(self) -> list[tuple[str, int]]:
        """List the topics and partitions that were read or written."""
        return list(self._records)

    def list_records(self, topic: str, partition: int = 0) -> list[bytes]:
        """List all records of a partition, including deleted records."""
        return list(self._records[topic, partition])

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record of another writer to a keyed topic."""
        return self.write(topic, 0, [service.encode_keyed(key, value)])

    def write(self, topic: str, partition: int, records: list[bytes]) -> int:
        """Append records without checks and without faults.

        Returns:
          Offset of the first record.
        """
        stored = self._records[topic, partition]
        stored.extend(records)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(stored) - len(records)

    def forget(self, topic: str, partition: int, before: int) -> None:
        """Delete the records before an offset."""
        self._first[topic, partition] = before

    async def append(
        self, topic, partition, records, producer=None, expected_end=None
    ) -> int:
        """Append records; see service.LogService."""
        await self._begin_call('append')
        if (
            self.max_call_bytes is not None
            and service.measure_records(records) > self.max_call_bytes
        ):
            raise service.LogRefusedError('too large')
        end = len(self._records[topic, partition])
        if expected_end is not None and expected_end != end:
            raise service.LogConflictError(f'the end is {end}')
        if producer is None:
            offset = self.write(topic, partition, records)
        else:
            offset = self._append_once(topic, partition, records, producer)
        if self.lose_answers:
            self.lose_answers -= 1
            raise service.LogLostError('fault: append done, no response')
        return offset

    async def read(
        self,
        topic,
        partition,
        from_offset,
        wait_ms,
        max_bytes=service.MAX_READ_BYTES,
    ) -> service.Slice:
        """Read records; see service.LogService."""
        await self._begin_call('read', topic)
        if self.bytes_in_time is not None and max_bytes > self.bytes_in_time:
            raise service.LogLostError('fault: read timed out')
        stored = self._records[topic, partition]
        if from_offset < self._first[topic, partition]:
            raise service.LogTrimmedError(self._first[topic, partition])
        if from_offset >= len(stored) and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    # Writes to other partitions leave the read waiting.
                    while from_offset >= len(stored):
                        await self._changed.wait()
            except TimeoutError:
                pass
            await self._begin_call('answer', topic)
        return service.Slice(
            len(stored), _limit_size(stored[from_offset:], max_bytes)
        )

    async def read_newest(self, topic) -> service.Snapshot:
        """Read the newest record of each key; see service.LogService."""
        await self._begin_call('read_newest')
        if self.refuse_snapshots:
            self.refuse_snapshots -= 1
            raise service.LogRefusedError('fault: snapshot refused')
        newest = {}
        for offset, record in enumerate(self._records[topic, 0]):
            key, value = service.decode_keyed(record)
            newest.pop(key, None)
            if value:
                newest[key] = service.KeyedRecord(key, value, offset)
        return service.Snapshot(
            list(newest.values()), len(self._records[topic, 0])
        )

    async def trim(self, topic, partition, before) -> None:
        """Delete old records; see service.LogService."""
        await self._begin_call('trim')
        self.forget(topic, partition, before)

    def _append_once(self, topic, partition, records, producer) -> int:
        key = (topic, partition, producer.name)
        epoch, sequence, offset = self._producers.get(key, (-1, -1, 0))
        if producer.epoch < epoch:
            raise service.LogConflictError('fenced')
        if producer.epoch == epoch:
            if producer.sequence == sequence:
                return offset
            if producer.sequence != sequence + 1:
                raise service.LogConflictError(f'expected {sequence + 1}')
        offset = self.write(topic, partition, records)
        self._producers[key] = (producer.epoch, producer.sequence, offset)
        return offset

    async def _begin_call(self, call: str, read_topic: str = '') -> None:
        self.calls.append(call)
        if self.silent or read_topic in self.lost_topics:
            await asyncio.Event().wait()
        if self.down:
            raise service.LogRefusedError('down')
        await asyncio.sleep(0)


def _limit_size(records: list[bytes], max_bytes: int) -> list[bytes]:
    """Return the first records up to a size, but at least one record."""
    fitting = []
    for record in records:
        max_bytes -= len(record)
        if fitting and max_bytes < 0:
            break
        fitting.append(record)
    return fitting
