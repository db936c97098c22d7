"""The batches' records: one tail, one appender a partition, one fold."""

import asyncio

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import records
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import tail

# Bounds how often results of other gateways wake this one.
PACE_SECONDS = 0.03


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
        '_tails',
        '_appenders',
    )

    def __init__(self, log, incarnation: str, limits):
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
        self._appenders = [
            appender.Appender(
                log, records.TOPIC, number, incarnation, limits.call_bytes
            )
            for number in numbers
        ]

    @property
    def loaded(self) -> bool:
        """Whether all that was there at the start has been read."""
        return all(entry.loaded for entry in self._tails)

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be appended."""
        return all(entry.idle for entry in self._appenders)

    def list_work(self) -> list:
        """List what has to run for as long as the process lives."""
        return [
            *(entry.run for entry in self._tails),
            *(entry.run for entry in self._appenders),
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
