"""Appends records, in groups, and finds out what became of each.

An append whose answer was lost may have taken effect, or may do so later. It
is tried again with the same record ids, and what counts is the first record
of an id in offset order. That is safe only because the folds give a second
copy of an id no effect; a record for which that does not hold must not go
through here.

The tail is the only witness: a record is appended when it was read back, with
the verdict that every reader gives it.
"""

import asyncio
import uuid

import msgspec

from auburnroad_core import clock
from auburnroad_core.log import counters
from auburnroad_core.log import records
from auburnroad_core.log import replay
from auburnroad_core.log import tail as tails
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

# How long the first record of a group waits for others.
GROUP_MS = 5
# Least time between two appends, which bounds their number under load.
SPACING_MS = 20
GROUP_RECORDS = 500
# More than one, so that a connection gone silent stops only its own group.
GROUPS_IN_FLIGHT = 4
# Beyond the end of any stream: reads nothing but the end's offset.
FAR_OFFSET = 2**53

ANSWERED = 'answered'

Error = log_service.LogError


class Appended(msgspec.Struct, frozen=True):
    """The record was read back.

    Attributes:
      offset: Offset of its first copy.
      verdict: What it did there.
    """

    offset: int
    verdict: verdict.Verdict


class NotAppended(msgspec.Struct, frozen=True):
    """The record was not read back in time and is not sent any more.

    Attributes:
      may_appear: Whether it may still stand in the log, or come to.
    """

    may_appear: bool


class _Pending:
    """A record on its way.

    Attributes:
      record: The record as it is sent.
      deadline_ms: Unix milliseconds after which it is no longer sent.
      future: Gets what became of it.
      flying: Whether an append that holds it has not ended.
      sent: Whether an append that held it may have taken effect.
      settled: Whether such an append was answered, so that only the reading
        back is waited for.
    """

    __slots__ = (
        'record',
        'deadline_ms',
        'future',
        'flying',
        'sent',
        'settled',
    )

    def __init__(self, record, deadline_ms, future):
        self.record = record
        self.deadline_ms = deadline_ms
        self.future = future
        self.flying = False
        self.sent = False
        self.settled = False

    @property
    def waiting(self) -> bool:
        """Whether it has to be sent, or sent again."""
        return not self.flying and not self.settled


class Appender:
    """Appends to the stream of one tail."""

    __slots__ = (
        '_service',
        '_stream',
        '_group_ms',
        '_spacing_ms',
        '_group_records',
        '_pending',
        '_wake',
        '_failures',
    )

    def __init__(
        self,
        service: log_service.LogService,
        tail: tails.Tail,
        group_ms: int = GROUP_MS,
        spacing_ms: int = SPACING_MS,
        group_records: int = GROUP_RECORDS,
    ):
        self._service = service
        self._stream = tail.fold.STREAM
        self._group_ms = group_ms
        self._spacing_ms = max(group_ms, spacing_ms)
        self._group_records = group_records
        self._pending: dict[str, _Pending] = {}
        self._wake = asyncio.Event()
        self._failures = 0
        tail.on_change(self._handle_steps)

    async def append(
        self,
        record: records.Record,
        deadline_ms: int,
        record_id: str = '',
    ) -> Appended | NotAppended:
        """Append a record and wait until it was read back.

        Args:
          record: The record.
          deadline_ms: Unix milliseconds after which it is no longer sent.
          record_id: Its identity; one is drawn when empty. A new one for
            each record.

        Returns:
          What became of it.
        """
        record_id = record_id or str(uuid.uuid4())
        pending = self._enqueue(record, deadline_ms, record_id)
        try:
            async with asyncio.timeout(clock.seconds_until(deadline_ms)):
                return await pending.future
        except TimeoutError:
            return NotAppended(may_appear=pending.sent)
        finally:
            self._pending.pop(record_id, None)

    def append_later(self, record: records.Record, deadline_ms: int) -> None:
        """Append a record without waiting, however often it takes.

        Args:
          record: The record.
          deadline_ms: Unix milliseconds after which it is no longer needed.
        """
        self._enqueue(record, deadline_ms, str(uuid.uuid4()))

    async def flush(self, deadline_ms: int) -> bool:
        """Wait until nothing is left to be sent, before a planned stop.

        Args:
          deadline_ms: Unix milliseconds at which to give up.

        Returns:
          Whether the log service has answered for every record.
        """
        while any(not p.settled for p in self._pending.values()):
            if clock.seconds_until(deadline_ms) <= 0:
                return False
            await asyncio.sleep(self._group_ms / clock.MS_PER_SECOND)
        return True

    async def run(self) -> None:
        """Send what is waiting, in groups, until cancelled."""
        in_flight = asyncio.Semaphore(GROUPS_IN_FLIGHT)
        async with asyncio.TaskGroup() as tasks:
            while True:
                await self._wake.wait()
                await asyncio.sleep(self._group_ms / clock.MS_PER_SECOND)
                await in_flight.acquire()
                group = self._take_group(clock.time_now_ms())
                if not group:
                    self._wake.clear()
                    in_flight.release()
                    continue
                sending = tasks.create_task(self._send(group))
                sending.add_done_callback(lambda _: in_flight.release())
                await self._pause()

    async def _pause(self) -> None:
        """Keep the distance to the next append; a longer one in trouble."""
        rest_ms = self._spacing_ms - self._group_ms
        await asyncio.sleep(rest_ms / clock.MS_PER_SECOND)
        if self._failures:
            await asyncio.sleep(tails.backoff_seconds(self._failures))

    def _enqueue(self, record, deadline_ms, record_id) -> _Pending:
        new = log_service.NewRecord(
            record_id, msgspec.Raw(msgspec.json.encode(record))
        )
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(new, deadline_ms, future)
        self._pending[record_id] = pending
        self._wake.set()
        return pending

    def _take_group(self, now_ms: int) -> list[_Pending]:
        """Take the oldest records that are waiting, dropping late ones."""
        late = [
            record_id
            for record_id, pending in self._pending.items()
            if pending.deadline_ms <= now_ms
        ]
        for record_id in late:
            del self._pending[record_id]
        waiting = [p for p in self._pending.values() if p.waiting]
        group = waiting[: self._group_records]
        for pending in group:
            pending.flying = True
        return group

    async def _send(self, group: list[_Pending]) -> None:
        """Append one group; what fails waits to be sent again."""
        end = await self._append_group(group)
        counters.APPENDS.labels(self._stream, end).inc()
        counters.RECORDS.labels(self._stream).inc(len(group))
        self._failures = 0 if end == ANSWERED else self._failures + 1
        for pending in group:
            pending.flying = False
            pending.settled = end == ANSWERED
        self._wake.set()

    async def _append_group(self, group: list[_Pending]) -> str:
        """Append one group and say how it ended."""
        unsent = [pending for pending in group if not pending.sent]
        # Set before the append, since whoever waits may look within it.
        for pending in unsent:
            pending.sent = True
        try:
            await self._service.append(
                self._stream, [pending.record for pending in group]
            )
        except log_service.LogUnavailableError:
            for pending in unsent:
                pending.sent = False
            return 'unavailable'
        except log_service.AppendLostError:
            return 'lost'
        return ANSWERED

    def _handle_steps(self, steps: list[replay.Step]) -> None:
        for step in steps:
            pending = self._pending.pop(step.entry.record_id, None)
            if pending is not None and not pending.future.done():
                pending.future.set_result(
                    Appended(step.entry.offset, step.verdict)
                )


async def append_and_confirm(
    service: log_service.LogService,
    stream: str,
    record: records.Record,
    record_id: str,
    deadline_ms: int,
) -> int:
    """Append one record without a tail, for a process that runs once.

    Args:
      service: The log service.
      stream: Stream's name.
      record: The record.
      record_id: Its identity, never used before.
      deadline_ms: Unix milliseconds at which to give up.

    Returns:
      Offset of the first record with this id, read back.

    Raises:
      LogUnavailableError: If nothing was appended.
      AppendLostError: If it may have been appended, or may yet be.
    """
    end = (await service.read(stream, FAR_OFFSET, 0.0)).next_offset
    new = log_service.NewRecord(
        record_id, msgspec.Raw(msgspec.json.encode(record))
    )
    failures = 0
    error = await _try_append(service, stream, new, None)
    while True:
        offset = await _find_offset(service, stream, end, record_id)
        if offset is not None:
            return offset
        if clock.seconds_until(deadline_ms) <= 0:
            raise error or log_service.AppendLostError('not read back')
        failures += 1
        await asyncio.sleep(tails.backoff_seconds(failures))
        if error is not None:
            error = await _try_append(service, stream, new, error)


async def _try_append(
    service, stream: str, new: log_service.NewRecord, before: Error | None
) -> Error | None:
    """Append once; a lost append stays lost whatever later ones tell."""
    try:
        await service.append(stream, [new])
    except log_service.AppendLostError as error:
        return error
    except log_service.LogUnavailableError as error:
        return before or error
    return None


async def _find_offset(
    service, stream: str, offset: int, record_id: str
) -> int | None:
    """Find the first record of an id at or after an offset."""
    while True:
        try:
            batch = await service.read(stream, offset, 0.0)
        except log_service.LogUnavailableError:
            return None
        for entry in batch.records:
            if entry.record_id == record_id:
                return entry.offset
        if not batch.records:
            return None
        offset = batch.records[-1].offset + 1
