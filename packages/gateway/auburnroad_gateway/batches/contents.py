"""Texts and bodies that lie apart from the records of their batches.

Pattern: in a large deployment every gateway follows every batch, and all of
them read the log at once after a loss of power. Contents are most of its
bytes and each is of use to one or two gateways, so they have a topic of their
own and are read when somebody needs them.
"""

import asyncio
import collections

from auburnroad_gateway.batches import records
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch

# Contents that are kept in memory after they were read or written.
CACHE_BYTES = 2_000_000
# A record's length goes before it.
FRAME_BYTES = 4
# Contents of one batch lie close together.
NEIGHBOUR_BYTES = 1 << 17


class Contents:
    """Writes contents to the log, and reads them back."""

    __slots__ = ('_log', '_appenders', '_cache', '_cached_bytes')

    def __init__(self, log, incarnation: str, call_bytes: int):
        self._log = log
        self._cache: collections.OrderedDict[tuple[int, int], bytes] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0
        self._appenders = [
            appender.Appender(
                log, records.CONTENTS_TOPIC, number, incarnation, call_bytes
            )
            for number in range(records.PARTITIONS)
        ]

    def list_work(self) -> list:
        """List what has to run for as long as the process lives."""
        return [entry.run for entry in self._appenders]

    async def write(
        self, batch_id: str, data: bytes, timeout_seconds: float | None = None
    ) -> batch.Place:
        """Write one record of contents.

        Args:
          batch_id: The batch that it belongs to.
          data: At most as many bytes as a record may have.
          timeout_seconds: How long to wait; None for as long as it takes.

        Returns:
          Where it lies.

        Raises:
          appender.AppendTimeoutError: If that took too long.
        """
        number = records.find_partition(batch_id)
        entry = self._appenders[number]
        if timeout_seconds is None:
            offset = await entry.add([data])
        else:
            offset = await entry.append([data], timeout_seconds)
        self._keep(number, offset, data)
        return batch.Place(number, offset, len(data))

    async def read(self, place: batch.Place) -> bytes:
        """Read a record of contents, from the log if need be.

        Raises:
          service.LogError: If the log service can't be read.
        """
        key = (place.partition, place.offset)
        if key not in self._cache:
            await self._read_around(place)
        return self._cache[key]

    async def read_all(
        self, places: set[batch.Place]
    ) -> dict[batch.Place, bytes]:
        """Read many records of contents.

        Raises:
          service.LogError: If the log service can't be read.
        """

        async def read_partition(number: int) -> None:
            # In the order of the log, in which neighbours come for free.
            for place in sorted(places, key=lambda place: place.offset):
                if place.partition == number:
                    found[place] = await self.read(place)

        found: dict[batch.Place, bytes] = {}
        await asyncio.gather(
            *(
                read_partition(number)
                for number in {place.partition for place in places}
            )
        )
        return found

    async def _read_around(self, place: batch.Place) -> None:
        """Read a record, and its neighbours, which are mostly wanted too."""
        part = await self._log.read(
            records.CONTENTS_TOPIC,
            place.partition,
            place.offset,
            0,
            max(place.size + FRAME_BYTES, NEIGHBOUR_BYTES),
        )
        if not part.records:
            raise service.LogRefusedError('the contents are not there yet')
        # The one that was asked for last, so that it is kept longest.
        for number, data in reversed(list(enumerate(part.records))):
            self._keep(place.partition, place.offset + number, data)

    def _keep(self, partition: int, offset: int, data: bytes) -> None:
        key = (partition, offset)
        if key in self._cache:
            self._cache.move_to_end(key)
            return
        self._cache[key] = data
        self._cached_bytes += len(data)
        while self._cached_bytes > CACHE_BYTES and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)
