"""The batches' records: one tail, one appender a partition, one fold.

In a small deployment every gateway reads all contents with the records. In a
large one that would take more bandwidth than the log service has, so texts
and bodies lie in a topic of their own (contents.py).
"""

import asyncio
import time
import typing

import msgspec

from auburnroad_gateway.batches import contents
from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import records
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import tail
from auburnroad_gateway.model import batch

# Bounds how often results of other gateways wake this one.
PACE_SECONDS = 0.03
# Share of the log service's reads that all gateways may take to follow the
# batches; the rest is for members, replicas, contents and catching up.
FOLLOW_SHARE = 0.4
# How often the pace is adapted to the number of gateways.
ADAPT_SECONDS = 1.0
# Up to so many gateways read all contents; every further one takes bandwidth
# that all of them share.
INLINE_MEMBERS = 12


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
        '_count_members',
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
        count_members: typing.Callable[[], int] = lambda: 1,
    ):
        """Wire the journal.

        Args:
          log: The log service.
          incarnation: Names this process as a producer.
          limits: Sizes that the log service takes.
          count_members: Counts the gateways that live.
        """
        self._count_members = count_members
        self._writing: set[asyncio.Task] = set()
        self.fold = fold.Fold()
        self.record_bytes = limits.record_bytes
        self.call_bytes = limits.call_bytes
        self._reads_per_second = limits.reads_per_second
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
        self._contents = contents.Contents(log, incarnation, limits.call_bytes)

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
        """Whether contents are written apart from the records."""
        return self._count_members() > INLINE_MEMBERS

    def list_work(self) -> list:
        """List what has to run for as long as the process lives."""
        return [
            *(entry.run for entry in self._tails),
            *(entry.run for entry in self._appenders),
            *self._contents.list_work(),
            self._adapt_pace,
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
        room = self.record_bytes - records.RECORD_HEAD_BYTES
        fits = len(result.text) <= room
        if result.place is not None or (fits and not self.by_reference):
            self.add(records.Results(batch_id, [result]))
            return
        self._write(self._add_result_apart(batch_id, result))

    def add_progress(self, gained: list[records.Progress]) -> None:
        """Queue what items of one batch have gained.

        Args:
          gained: One record an item; the texts go with them or before them.
        """
        if not self.by_reference:
            for record in gained:
                self.add(record)
            return
        for group in self._group_texts(gained):
            self._write(self._add_progress_apart(group))

    async def write_bodies(
        self, submission: batch.Submission, timeout_seconds: float
    ) -> list[batch.Place] | None:
        """Write a batch's bodies apart, where that is the way.

        Args:
          submission: The batch.
          timeout_seconds: How long to wait.

        Returns:
          Where they lie; None if they go with the batch.

        Raises:
          appender.AppendTimeoutError: If that took too long.
        """
        if not self.by_reference:
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
        """Read the text of a result, from the log if need be.

        Raises:
          service.LogError: If the log service can't be read.
        """
        if result.place is None:
            return records.unpack_text(result.text)
        pieces = [
            await self._contents.read(place)
            for place in (result.place, *result.further)
        ]
        return records.unpack_text(b''.join(pieces))

    async def read_bodies(self, state: fold.Batch) -> list[bytes]:
        """Read the bodies of a batch's items, from the log if need be.

        Raises:
          service.LogError: If the log service can't be read.
        """
        if not state.bodies:
            return [item.body for item in state.submission.items]
        places = list(state.bodies)
        found = await self._contents.read_all(set(places))
        return records.unpack_bodies(b''.join(found[at] for at in places))

    async def load(self, state: fold.Batch) -> None:
        """Bring all that a batch needs to be run into memory.

        Raises:
          service.LogError: If the log service can't be read.
        """
        if state.bodies:
            state.fill_bodies(await self.read_bodies(state))
        # More may be saved while texts are read.
        while places := _list_places(state):
            found = await self._contents.read_all(places)
            _fill_progress(state, found)

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

    async def _adapt_pace(self) -> None:
        """Follow the batches as often as the log service bears it."""
        while True:
            pace_seconds = find_pace(
                self._count_members(), self._reads_per_second
            )
            for entry in self._tails:
                entry.pace_seconds = pace_seconds
            await asyncio.sleep(ADAPT_SECONDS)

    def _write(self, work) -> None:
        task = asyncio.create_task(work)
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)

    async def _add_result_apart(self, batch_id, result) -> None:
        place, *further = [
            await self._contents.write(batch_id, piece)
            for piece in records.split(result.text, self.record_bytes)
        ]
        moved = msgspec.structs.replace(
            result, text=b'', place=place, further=further
        )
        self.add(records.Results(batch_id, [moved]))

    def _group_texts(self, gained):
        """Group records whose texts fit into one record together."""
        group = []
        room = self.record_bytes - records.RECORD_HEAD_BYTES
        for record in gained:
            size = len(record.text) + contents.FRAME_BYTES
            if group and size > room:
                yield group
                group = []
                room = self.record_bytes - records.RECORD_HEAD_BYTES
            group.append(record)
            room -= size
        if group:
            yield group

    async def _add_progress_apart(self, gained) -> None:
        batch_id = gained[0].batch_id
        data = records.pack_texts([record.text for record in gained])
        place = await self._contents.write(batch_id, data)
        encoded = [
            records.encode(
                msgspec.structs.replace(
                    record, text=b'', place=place, part=number
                )
            )
            for number, record in enumerate(gained)
        ]
        self._appenders[records.find_partition(batch_id)].add(encoded)


def find_pace(members: int, reads_per_second: float) -> float:
    """Find the time between two reads of a partition of batches.

    Args:
      members: Gateways that follow all partitions.
      reads_per_second: What the log service bears.

    Returns:
      Seconds.
    """
    reads = members * records.PARTITIONS
    return max(PACE_SECONDS, reads / (FOLLOW_SHARE * reads_per_second))


def _list_places(state: fold.Batch) -> set[batch.Place]:
    return {
        part.place
        for saved in state.progress.values()
        for part in saved
        if part.place is not None
    }


def _fill_progress(state: fold.Batch, found: dict[batch.Place, bytes]) -> None:
    texts = {
        place: records.unpack_texts(data) for place, data in found.items()
    }
    for saved in state.progress.values():
        for number, part in enumerate(saved):
            if part.place in texts:
                saved[number] = msgspec.structs.replace(
                    part, text=texts[part.place][part.part], place=None
                )
