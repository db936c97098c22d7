"""Stores texts and bodies separately from the records of their batches.

In a large deployment every gateway tails all batches, and after a power loss
all gateways read the log at once. Contents make up most of its bytes, but
each one is used by one or two gateways only. They are therefore written to a
separate topic and read on demand.
"""

import asyncio
import collections

from auburnroad_gateway.batches import records
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import settings

# Maximum size of the contents that are cached after a read or a write.
CACHE_BYTES = 2_000_000
# Minimum size of a read. Contents of one batch have nearby offsets, so a
# larger read returns several of them.
READ_AHEAD_BYTES = 1 << 17


class Contents:
    """Writes contents to the log and reads them back through a cache."""

    __slots__ = ('_log', '_appenders', '_cache', '_cached_bytes')

    def __init__(self, log, incarnation: str, limits: settings.LogLimits):
        self._log = log
        self._cache: collections.OrderedDict[tuple[int, int], bytes] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0
        self._appenders = [
            appender.Appender(
                log, records.CONTENTS_TOPIC, number, incarnation, limits
            )
            for number in range(records.PARTITIONS)
        ]

    def list_background_tasks(self) -> list:
        """List the coroutine functions that run until the process ends."""
        return [entry.run for entry in self._appenders]

    async def write(
        self, batch_id: str, data: bytes, timeout_seconds: float | None = None
    ) -> batch.RecordLocation:
        """Write one record of contents.

        Args:
          batch_id: Id of the batch to which the contents belong.
          data: Contents; at most the maximum size of a record in bytes.
          timeout_seconds: Timeout of the append; None for no timeout.

        Returns:
          Location of the record.

        Raises:
          appender.AppendTimeoutError: If the timeout expires.
        """
        number = records.find_partition(batch_id)
        entry = self._appenders[number]
        if timeout_seconds is None:
            offset = await entry.enqueue([data])
        else:
            offset = await entry.append([data], timeout_seconds)
        self._cache_record(number, offset, data)
        return batch.RecordLocation(number, offset, len(data))

    async def read(self, place: batch.RecordLocation) -> bytes:
        """Read a record of contents, from the log if it is not cached.

        Raises:
          service.LogError: If the log service can't be read.
        """
        key = (place.partition, place.offset)
        if key not in self._cache:
            await self._read_ahead(place)
        return self._cache[key]

    async def read_all(
        self, places: set[batch.RecordLocation]
    ) -> dict[batch.RecordLocation, bytes]:
        """Read many records of contents.

        Raises:
          service.LogError: If the log service can't be read.
        """

        async def read_partition(number: int) -> None:
            # In log order, so that one read returns many of the records.
            for place in sorted(places, key=lambda place: place.offset):
                if place.partition == number:
                    found[place] = await self.read(place)

        found: dict[batch.RecordLocation, bytes] = {}
        await asyncio.gather(
            *(
                read_partition(number)
                for number in {place.partition for place in places}
            )
        )
        return found

    async def _read_ahead(self, place: batch.RecordLocation) -> None:
        """Read a record and the next ones, which are mostly needed as well."""
        part = await self._log.read(
            records.CONTENTS_TOPIC,
            place.partition,
            place.offset,
            0,
            max(place.size + service.LENGTH_PREFIX_BYTES, READ_AHEAD_BYTES),
        )
        if not part.records:
            raise service.LogRefusedError(
                'no record of contents at this offset yet'
            )
        # The requested record is cached last, so that it is evicted last.
        for number, data in reversed(list(enumerate(part.records))):
            self._cache_record(place.partition, place.offset + number, data)

    def _cache_record(self, partition: int, offset: int, data: bytes) -> None:
        key = (partition, offset)
        if key in self._cache:
            self._cache.move_to_end(key)
            return
        self._cache[key] = data
        self._cached_bytes += len(data)
        while self._cached_bytes > CACHE_BYTES and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)
