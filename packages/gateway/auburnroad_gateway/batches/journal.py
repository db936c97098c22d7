"""Reads and writes the log records of batches.

Each partition has one tail and one appender, and all partitions share one
fold. In a small deployment every gateway reads all contents together with the
records. In a large deployment this would exceed the bandwidth of the log
service, so texts and bodies are stored in a separate topic (contents.py).
"""

import asyncio
import time
import typing

import msgspec

from auburnroad_gateway.batches import contents
from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import records
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.model import batch

# Minimum time between two reads of a partition. It limits the rate at which
# results of other gateways wake this gateway.
MIN_READ_INTERVAL_SECONDS = 0.03
# Share of the log service's read rate that all gateways together may use for
# tailing batches; the rest is for members, replicas, contents and catching up.
TAIL_READ_SHARE = 0.4
# Interval at which the read interval is adapted to the number of gateways.
UPDATE_INTERVAL_SECONDS = 1.0
# Maximum number of gateways with which contents are written in the records.
# Each gateway that reads all contents uses bandwidth of the log service, which
# all gateways share.
MAX_INLINE_GATEWAYS = 12


class Journal:
    """Reads and writes the records of all batches.

    Attributes:
      fold: State of all batches.
      record_bytes: Maximum size of a record in bytes.
      call_bytes: Maximum size of the records of one append call in bytes.
    """

    __slots__ = (
        'fold',
        'record_bytes',
        'call_bytes',
        '_count_gateways',
        '_tails',
        '_appenders',
        '_contents',
        '_writing',
        '_reads_per_second',
    )

    def __init__(
        self,
        log,
        incarnation: str,
        limits,
        count_gateways: typing.Callable[[], int] = lambda: 1,
    ):
        """Initialize the journal.

        Args:
          log: Client of the log service.
          incarnation: Incarnation of this process, used as the producer id.
          limits: Size and rate limits of the log service.
          count_gateways: Returns the number of gateways that are alive.
        """
        self._count_gateways = count_gateways
        self._writing: set[asyncio.Task] = set()
        self.fold = fold.Fold()
        self.record_bytes = min(
            limits.record_bytes,
            limits.call_bytes - service.LENGTH_PREFIX_BYTES,
        )
        self.call_bytes = limits.call_bytes
        self._reads_per_second = limits.reads_per_second
        numbers = range(records.PARTITIONS)
        self._tails = [
            tail.Tail(
                log,
                records.TOPIC,
                number,
                self.fold.apply,
                MIN_READ_INTERVAL_SECONDS,
            )
            for number in numbers
        ]
        self._appenders = [
            appender.Appender(log, records.TOPIC, number, incarnation, limits)
            for number in numbers
        ]
        self._contents = contents.Contents(log, incarnation, limits)

    @property
    def is_loaded(self) -> bool:
        """Whether all records that existed at the start have been read."""
        return all(entry.is_loaded for entry in self._tails)

    @property
    def complete_at(self) -> float:
        """Time up to which all records are folded.

        Seconds of the boot clock; minus infinity before the first reads.
        """
        return min(entry.complete_at for entry in self._tails)

    @property
    def is_idle(self) -> bool:
        """Whether no record waits to be appended."""
        return not self._writing and all(
            entry.is_idle for entry in self._appenders
        )

    @property
    def uses_references(self) -> bool:
        """Whether records refer to contents in the separate topic."""
        return self._count_gateways() > MAX_INLINE_GATEWAYS

    def list_background_tasks(self) -> list:
        """List the coroutine functions that run until the process ends."""
        return [
            *(entry.run for entry in self._tails),
            *(entry.run for entry in self._appenders),
            *self._contents.list_background_tasks(),
            self._update_read_interval,
        ]

    def is_failing(self, batch_id: str) -> bool:
        """Tell whether appends of a batch's records currently fail."""
        return self._appenders[records.find_partition(batch_id)].failing

    def find_folded_at(self, batch_id: str) -> float:
        """Find the time up to which all records of a batch are folded.

        Returns:
          Seconds of the boot clock; minus infinity if unknown.
        """
        return self._tails[records.find_partition(batch_id)].complete_at

    def is_folded(self, batch_id: str, offset: int) -> bool:
        """Tell whether the record of a batch at an offset is folded."""
        number = records.find_partition(batch_id)
        return self._tails[number].next_offset > offset

    def add(self, record: records.Record) -> asyncio.Future:
        """Queue a record.

        Returns:
          A future that resolves to the offset of the record once it is in the
          log.
        """
        number = records.find_partition(record.batch_id)
        return self._appenders[number].enqueue([records.encode(record)])

    def add_result(self, batch_id: str, result: batch.ItemResult) -> None:
        """Queue a result; a text in the separate topic is written first."""
        max_text_bytes = self.record_bytes - records.RECORD_OVERHEAD_BYTES
        fits = len(result.text) <= max_text_bytes
        if result.place is not None or (fits and not self.uses_references):
            self.add(records.Results(batch_id, [result]))
            return
        self._start_write(self._add_result_by_reference(batch_id, result))

    def add_progress(self, progress: list[records.Progress]) -> None:
        """Queue progress records of items of one batch.

        Args:
          progress: One record per item; texts for the separate topic are
            written before their records.
        """
        max_text_bytes = self.record_bytes - records.RECORD_OVERHEAD_BYTES
        # Pieces of a text must stay in order, so that none is written directly
        # while the text of an earlier one is being written.
        if not (self.uses_references or self._writing) and all(
            len(record.text) <= max_text_bytes for record in progress
        ):
            for record in progress:
                self.add(record)
            return
        for group in self._group_progress(progress):
            self._start_write(self._add_progress_by_reference(group))

    async def write_bodies(
        self, submission: batch.Submission, timeout_seconds: float
    ) -> list[batch.RecordLocation] | None:
        """Write the bodies of a batch to the topic of contents if needed.

        Args:
          submission: The batch.
          timeout_seconds: Timeout of the whole operation.

        Returns:
          Locations of the bodies; None if they are part of the submission.

        Raises:
          appender.AppendTimeoutError: If the timeout expires.
        """
        if not self.uses_references:
            return None
        deadline = time.monotonic() + timeout_seconds
        return [
            await self._contents.write(
                submission.batch_id, piece, deadline - time.monotonic()
            )
            for piece in records.split(
                records.pack_bodies(submission), self.record_bytes
            )
        ]

    async def read_text(self, result: batch.ItemResult) -> str:
        """Read the text of a result, from the log if necessary.

        Raises:
          service.LogError: If the log service can't be read.
        """
        if result.place is None:
            return records.unpack_text(result.text)
        pieces = [
            await self._contents.read(place)
            for place in (result.place, *result.further_locations)
        ]
        return records.unpack_text(b''.join(pieces))

    async def read_bodies(self, state: fold.BatchState) -> list[bytes]:
        """Read the bodies of a batch's items, from the log if necessary.

        Raises:
          service.LogError: If the log service can't be read.
        """
        if not state.bodies:
            return [item.body for item in state.submission.items]
        places = list(state.bodies)
        found = await self._contents.read_all(set(places))
        return records.unpack_bodies(b''.join(found[at] for at in places))

    async def load(self, state: fold.BatchState) -> None:
        """Load the bodies and saved texts that are needed to run a batch.

        Raises:
          service.LogError: If the log service can't be read.
        """
        if state.bodies:
            state.fill_bodies(await self.read_bodies(state))
        # Further progress may be folded during the reads.
        while places := _list_places(state):
            found = await self._contents.read_all(places)
            _fill_progress(state, found)

    async def append(
        self, batch_id: str, encoded: list[bytes], timeout_seconds: float
    ) -> None:
        """Append records of a batch and wait until they are in the log.

        Raises:
          appender.AppendTimeoutError: If the timeout expires.
        """
        number = records.find_partition(batch_id)
        await self._appenders[number].append(encoded, timeout_seconds)

    async def catch_up(self, batch_id: str) -> None:
        """Read all records of a batch that are currently in the log.

        Raises:
          service.LogError: If the log service can't be read.
        """
        await self._tails[records.find_partition(batch_id)].catch_up()

    async def _update_read_interval(self) -> None:
        """Adapt the read interval of the tails to the number of gateways."""
        while True:
            interval_seconds = find_read_interval(
                self._count_gateways(), self._reads_per_second
            )
            for entry in self._tails:
                entry.read_interval_seconds = interval_seconds
            await asyncio.sleep(UPDATE_INTERVAL_SECONDS)

    def _start_write(self, work) -> None:
        task = asyncio.create_task(work)
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)

    async def _add_result_by_reference(self, batch_id, result) -> None:
        place, *further = [
            await self._contents.write(batch_id, piece)
            for piece in records.split(result.text, self.record_bytes)
        ]
        moved = msgspec.structs.replace(
            result, text=b'', place=place, further_locations=further
        )
        self.add(records.Results(batch_id, [moved]))

    def _group_progress(self, progress):
        """Group progress records whose texts fit into one log record."""
        group = []
        left_bytes = self.record_bytes - records.RECORD_OVERHEAD_BYTES
        for record in progress:
            size = len(record.text) + service.LENGTH_PREFIX_BYTES
            if group and size > left_bytes:
                yield group
                group = []
                left_bytes = self.record_bytes - records.RECORD_OVERHEAD_BYTES
            group.append(record)
            left_bytes -= size
        if group:
            yield group

    async def _add_progress_by_reference(self, progress) -> None:
        batch_id = progress[0].batch_id
        data = records.pack_texts([record.text for record in progress])
        place, *further = [
            await self._contents.write(batch_id, piece)
            for piece in records.split(data, self.record_bytes)
        ]
        encoded = [
            records.encode(
                msgspec.structs.replace(
                    record,
                    text=b'',
                    place=place,
                    part=number,
                    further_locations=further,
                )
            )
            for number, record in enumerate(progress)
        ]
        self._appenders[records.find_partition(batch_id)].enqueue(encoded)


def find_read_interval(gateways: int, reads_per_second: float) -> float:
    """Find the time between two reads of a partition of batches.

    Args:
      gateways: Number of gateways, each of which reads all partitions.
      reads_per_second: Reads per second that the log service can serve.

    Returns:
      Interval in seconds.
    """
    reads = gateways * records.PARTITIONS
    return max(
        MIN_READ_INTERVAL_SECONDS, reads / (TAIL_READ_SHARE * reads_per_second)
    )


def _list_places(state: fold.BatchState) -> set[batch.RecordLocation]:
    return {
        place
        for saved in state.progress.values()
        for part in saved
        if part.place is not None
        for place in (part.place, *part.further_locations)
    }


def _fill_progress(
    state: fold.BatchState, found: dict[batch.RecordLocation, bytes]
) -> None:
    texts: dict[batch.RecordLocation, list[bytes]] = {}
    for saved in state.progress.values():
        for number, part in enumerate(saved):
            if part.place not in found:
                continue
            if part.place not in texts:
                places = (part.place, *part.further_locations)
                texts[part.place] = records.unpack_texts(
                    b''.join(found[place] for place in places)
                )
            saved[number] = msgspec.structs.replace(
                part,
                text=texts[part.place][part.part],
                place=None,
                further_locations=[],
            )
