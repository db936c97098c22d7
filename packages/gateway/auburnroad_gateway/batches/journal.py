"""The batches' records: one tail, one appender a partition, one fold.

In a small deployment every gateway reads the texts of all results with the
results. In a large one that would take more bandwidth than the log service
has, so texts lie in a topic of their own and are read when somebody asks.
"""

import asyncio
import collections
import typing

import msgspec

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import records
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.model import batch

# Bounds how often results of other gateways wake this one.
PACE_SECONDS = 0.03
# Up to so many gateways read all texts; every further one takes bandwidth
# that all of them share.
INLINE_MEMBERS = 12
# Texts that are kept in memory after they were read or written.
CACHE_BYTES = 2_000_000
# A record's length goes before it.
FRAME_BYTES = 4
# Texts of one batch lie close together.
NEIGHBOUR_BYTES = 1 << 17


class Journal:
    """Reads and writes the records of all batches.

    Attributes:
      fold: State of all batches.
      record_bytes: Most bytes of a record.
      call_bytes: Most bytes of records that are appended together.
    """

    __slots__ = (
        'fold',
        'record_bytes',
        'call_bytes',
        '_log',
        '_count_members',
        '_tails',
        '_appenders',
        '_text_appenders',
        '_writing',
        '_cache',
        '_cached_bytes',
    )

    def __init__(
        self,
        log,
        incarnation: str,
        limits,
        count_members: typing.Callable[[], int] = lambda: 1,
    ):
        """Wire the journal.

        Args:
          log: The log service.
          incarnation: Names this process as a producer.
          limits: Sizes that the log service takes.
          count_members: Counts the gateways that live.
        """
        self._log = log
        self._count_members = count_members
        self._writing: set[asyncio.Task] = set()
        self._cache: collections.OrderedDict[tuple[int, int], bytes] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0
        self.fold = fold.Fold()
        self.record_bytes = limits.record_bytes
        self.call_bytes = limits.call_bytes
        numbers = range(records.PARTITIONS)
        self._tails = [
            tail.Tail(
                log, records.TOPIC, number, self.fold.apply, PACE_SECONDS
            )
            for number in numbers
        ]
        self._appenders, self._text_appenders = (
            [
                appender.Appender(
                    log, topic, number, incarnation, limits.call_bytes
                )
                for number in numbers
            ]
            for topic in (records.TOPIC, records.TEXTS_TOPIC)
        )

    @property
    def loaded(self) -> bool:
        """Whether all that was there at the start has been read."""
        return all(entry.loaded for entry in self._tails)

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be appended."""
        return not self._writing and all(
            entry.idle for entry in self._appenders
        )

    @property
    def by_reference(self) -> bool:
        """Whether texts are written apart from their results."""
        return self._count_members() > INLINE_MEMBERS

    def list_work(self) -> list:
        """List what has to run for as long as the process lives."""
        return [
            *(entry.run for entry in self._tails),
            *(entry.run for entry in self._appenders),
            *(entry.run for entry in self._text_appenders),
        ]

    def is_failing(self, batch_id: str) -> bool:
        """Tell whether appends of a batch's records fail at the moment."""
        return self._appenders[records.find_partition(batch_id)].failing

    def find_complete_at(self, batch_id: str) -> float:
        """Find up to when all records of a batch are folded.

        Returns:
          Seconds of the boot clock, minus infinity if that isn't known.
        """
        return self._tails[records.find_partition(batch_id)].complete_at

    def add(self, record: records.Record) -> asyncio.Future:
        """Queue a record.

        Returns:
          A future that is done once it is in the log.
        """
        number = records.find_partition(record.batch_id)
        return self._appenders[number].add([records.encode(record)])

    def add_result(self, batch_id: str, result: batch.ItemResult) -> None:
        """Queue a result; its text goes with it or before it."""
        if result.place is not None or not self.by_reference:
            self.add(records.Results(batch_id, [result]))
            return
        task = asyncio.create_task(self._add_by_reference(batch_id, result))
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)

    async def read_text(self, result: batch.ItemResult) -> str:
        """Read the text of a result, from the log if need be.

        Raises:
          service.LogError: If the log service can't be read.
        """
        place = result.place
        if place is None:
            return records.unpack_text(result.text)
        key = (place.partition, place.offset)
        if key not in self._cache:
            await self._read_texts(place)
        return records.unpack_text(self._cache[key])

    async def _add_by_reference(self, batch_id, result) -> None:
        number = records.find_partition(batch_id)
        offset = await self._text_appenders[number].add([result.text])
        self._keep(number, offset, result.text)
        place = batch.Place(number, offset, len(result.text))
        moved = msgspec.structs.replace(result, text=b'', place=place)
        self.add(records.Results(batch_id, [moved]))

    async def _read_texts(self, place: batch.Place) -> None:
        """Read a text, and its neighbours, which are mostly wanted too."""
        part = await self._log.read(
            records.TEXTS_TOPIC,
            place.partition,
            place.offset,
            0,
            max(place.size + FRAME_BYTES, NEIGHBOUR_BYTES),
        )
        if not part.records:
            raise service.LogRefusedError('a text is not there yet')
        # The one that was asked for last, so that it is kept longest.
        for number, text in reversed(list(enumerate(part.records))):
            self._keep(place.partition, place.offset + number, text)

    def _keep(self, partition: int, offset: int, text: bytes) -> None:
        key = (partition, offset)
        if key in self._cache:
            self._cache.move_to_end(key)
            return
        self._cache[key] = text
        self._cached_bytes += len(text)
        while self._cached_bytes > CACHE_BYTES and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)

    async def append(
        self, batch_id: str, encoded: list[bytes], timeout_seconds: float
    ) -> None:
        """Append records of a batch and wait until they are in the log.

        Raises:
          appender.AppendTimeoutError: If that took too long.
        """
        number = records.find_partition(batch_id)
        await self._appenders[number].append(encoded, timeout_seconds)

    async def catch_up(self, batch_id: str) -> None:
        """Read all that the log holds of a batch by now.

        Raises:
          service.LogError: If the log service can't be read.
        """
        await self._tails[records.find_partition(batch_id)].catch_up()
