"""Appends records in groups and reports the verdict on each record.

An append whose response was lost may have taken effect, or may still take
effect later. It is retried with the same record ids, and the first record
with an id in offset order is the valid one. Retries are safe only because
the folds ignore a second record with the same id; a record without that
property must not be appended with this module.

Only the tail confirms an append: a record counts as appended once it has been
read back, with the verdict that every reader computes for it.
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

# How long the first record of a group waits for further records.
GROUP_WAIT_MS = 5
# Minimum time between two appends, which limits the append rate under load.
MIN_SPACING_MS = 20
MAX_GROUP_RECORDS = 500
# More than one, so that an unresponsive connection delays only its own group.
MAX_GROUPS_IN_FLIGHT = 4
# Beyond the end of any stream: a read from here returns no records, only the
# end offset.
BEYOND_END_OFFSET = 2**53

ANSWERED = 'answered'

AppendError = log_service.LogError


class Appended(msgspec.Struct, frozen=True):
    """The record was appended and read back.

    Attributes:
      offset: Offset of the first record with this id.
      verdict: Verdict on the record at that offset.
    """

    offset: int
    verdict: verdict.Verdict


class NotAppended(msgspec.Struct, frozen=True):
    """The record was not read back by its deadline and is no longer retried.

    Attributes:
      may_appear: Whether the record may be in the log already or may still
        be added by a delayed append.
    """

    may_appear: bool


class _PendingRecord:
    """A record that has not been read back yet.

    Attributes:
      record: The record as sent to the log service.
      deadline_ms: Unix milliseconds after which it is no longer sent.
      future: Resolved with an Appended once the record is read back.
      in_flight: Whether an append with this record is in progress.
      may_be_appended: Whether an append with this record may have taken
        effect.
      acknowledged: Whether the log service acknowledged such an append, so
        that the record only has to be read back.
    """

    __slots__ = (
        'record',
        'deadline_ms',
        'future',
        'in_flight',
        'may_be_appended',
        'acknowledged',
    )

    def __init__(self, record, deadline_ms, future):
        self.record = record
        self.deadline_ms = deadline_ms
        self.future = future
        self.in_flight = False
        self.may_be_appended = False
        self.acknowledged = False

    @property
    def must_be_sent(self) -> bool:
        """Whether the record must be sent for the first time or retried."""
        return not self.in_flight and not self.acknowledged


class Appender:
    """Appends records to the stream that a tail follows."""

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
        group_ms: int = GROUP_WAIT_MS,
        spacing_ms: int = MIN_SPACING_MS,
        group_records: int = MAX_GROUP_RECORDS,
    ):
        self._service = service
        self._stream = tail.fold.STREAM
        self._group_ms = group_ms
        self._spacing_ms = max(group_ms, spacing_ms)
        self._group_records = group_records
        self._pending: dict[str, _PendingRecord] = {}
        self._wake = asyncio.Event()
        self._failures = 0
        tail.on_change(self._handle_folded)

    async def append(
        self,
        record: records.Record,
        deadline_ms: int,
        record_id: str = '',
    ) -> Appended | NotAppended:
        """Append a record and wait until it is read back.

        Args:
          record: Record to append.
          deadline_ms: Unix milliseconds after which it is no longer sent.
          record_id: Id that no other record has; a random id is generated
            when empty.

        Returns:
          Appended with the offset and the verdict, or NotAppended when the
          record was not read back by the deadline.
        """
        record_id = record_id or str(uuid.uuid4())
        pending = self._enqueue(record, deadline_ms, record_id)
        try:
            async with asyncio.timeout(clock.seconds_until(deadline_ms)):
                return await pending.future
        except TimeoutError:
            return NotAppended(may_appear=pending.may_be_appended)
        finally:
            self._pending.pop(record_id, None)

    def append_in_background(
        self, record: records.Record, deadline_ms: int
    ) -> None:
        """Queue a record that is sent, with retries, in the background.

        Args:
          record: Record to append.
          deadline_ms: Unix milliseconds after which it is no longer sent.
        """
        self._enqueue(record, deadline_ms, str(uuid.uuid4()))

    async def flush(self, deadline_ms: int) -> bool:
        """Wait until every pending record is acknowledged.

        Called before a planned stop.

        Args:
          deadline_ms: Unix milliseconds at which to stop waiting.

        Returns:
          Whether the log service acknowledged every record in time.
        """
        while any(not p.acknowledged for p in self._pending.values()):
            if clock.seconds_until(deadline_ms) <= 0:
                return False
            await asyncio.sleep(self._group_ms / clock.MS_PER_SECOND)
        return True

    async def run(self) -> None:
        """Send the pending records in groups until cancelled."""
        send_slots = asyncio.Semaphore(MAX_GROUPS_IN_FLIGHT)
        async with asyncio.TaskGroup() as tasks:
            while True:
                await self._wake.wait()
                await asyncio.sleep(self._group_ms / clock.MS_PER_SECOND)
                await send_slots.acquire()
                group = self._select_group(clock.time_now_ms())
                if not group:
                    self._wake.clear()
                    send_slots.release()
                    continue
                sending = tasks.create_task(self._send(group))
                sending.add_done_callback(lambda _: send_slots.release())
                await self._wait_between_appends()

    async def _wait_between_appends(self) -> None:
        """Wait for the minimum spacing, and for the backoff after failures."""
        remaining_ms = self._spacing_ms - self._group_ms
        await asyncio.sleep(remaining_ms / clock.MS_PER_SECOND)
        if self._failures:
            await asyncio.sleep(tails.backoff_seconds(self._failures))

    def _enqueue(self, record, deadline_ms, record_id) -> _PendingRecord:
        new_record = log_service.NewRecord(
            record_id, msgspec.Raw(msgspec.json.encode(record))
        )
        future = asyncio.get_running_loop().create_future()
        pending = _PendingRecord(new_record, deadline_ms, future)
        self._pending[record_id] = pending
        self._wake.set()
        return pending

    def _select_group(self, now_ms: int) -> list[_PendingRecord]:
        """Select the oldest records to send; drop those past their deadline.

        The selected records are marked as in flight.
        """
        expired_ids = [
            record_id
            for record_id, pending in self._pending.items()
            if pending.deadline_ms <= now_ms
        ]
        for record_id in expired_ids:
            del self._pending[record_id]
        to_send = [p for p in self._pending.values() if p.must_be_sent]
        group = to_send[: self._group_records]
        for pending in group:
            pending.in_flight = True
        return group

    async def _send(self, group: list[_PendingRecord]) -> None:
        """Append one group; after a failure its records are retried."""
        result = await self._append_group(group)
        counters.APPENDS.labels(self._stream, result).inc()
        counters.RECORDS.labels(self._stream).inc(len(group))
        self._failures = 0 if result == ANSWERED else self._failures + 1
        for pending in group:
            pending.in_flight = False
            pending.acknowledged = result == ANSWERED
        self._wake.set()

    async def _append_group(self, group: list[_PendingRecord]) -> str:
        """Append one group and return the result as a metric label value."""
        unsent = [pending for pending in group if not pending.may_be_appended]
        # Set before the append, because the deadline of a record may pass
        # while the append is in progress.
        for pending in unsent:
            pending.may_be_appended = True
        try:
            await self._service.append(
                self._stream, [pending.record for pending in group]
            )
        except log_service.LogUnavailableError:
            for pending in unsent:
                pending.may_be_appended = False
            return 'unavailable'
        except log_service.AppendLostError:
            return 'lost'
        return ANSWERED

    def _handle_folded(self, folded: list[replay.FoldedRecord]) -> None:
        for record in folded:
            pending = self._pending.pop(record.entry.record_id, None)
            if pending is not None and not pending.future.done():
                pending.future.set_result(
                    Appended(record.entry.offset, record.verdict)
                )


async def append_and_confirm(
    service: log_service.LogService,
    stream: str,
    record: records.Record,
    record_id: str,
    deadline_ms: int,
) -> int:
    """Append one record without a tail, for a short-lived process.

    Args:
      service: Client of the log service.
      stream: Name of the stream.
      record: Record to append.
      record_id: Id of the record, never used before.
      deadline_ms: Unix milliseconds at which to stop retrying.

    Returns:
      Offset at which the first record with this id was read back.

    Raises:
      LogUnavailableError: If nothing was appended.
      AppendLostError: If the record may have been appended or may still be
        added by a delayed append.
    """
    end_offset = (
        await service.read(stream, BEYOND_END_OFFSET, 0.0)
    ).next_offset
    new_record = log_service.NewRecord(
        record_id, msgspec.Raw(msgspec.json.encode(record))
    )
    failures = 0
    error = await _try_append(service, stream, new_record, None)
    while True:
        offset = await _find_offset(service, stream, end_offset, record_id)
        if offset is not None:
            return offset
        if clock.seconds_until(deadline_ms) <= 0:
            raise error or log_service.AppendLostError('not read back')
        failures += 1
        await asyncio.sleep(tails.backoff_seconds(failures))
        if error is not None:
            error = await _try_append(service, stream, new_record, error)


async def _try_append(
    service,
    stream: str,
    new_record: log_service.NewRecord,
    earlier_error: AppendError | None,
) -> AppendError | None:
    """Append once and return the error to raise if the deadline passes.

    An AppendLostError of an earlier attempt is kept, because a later failed
    attempt does not show that the earlier one had no effect.
    """
    try:
        await service.append(stream, [new_record])
    except log_service.AppendLostError as error:
        return error
    except log_service.LogUnavailableError as error:
        return earlier_error or error
    return None


async def _find_offset(
    service, stream: str, offset: int, record_id: str
) -> int | None:
    """Find the offset of the first record with an id, from an offset on."""
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
