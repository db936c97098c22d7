"""Folds the log records of batches into their state.

The state is a pure function of the records in log order, so that all gateways
compute the same state. A record that conflicts with the state has no effect:
a second submission of a batch, a second result of an item, a claim on a batch
that another gateway claimed first, or results after the end of the batch.
"""

import msgspec

from auburnroad_gateway.batches import lineage
from auburnroad_gateway.batches import records
from auburnroad_gateway.model import batch
from auburnroad_gateway.telemetry import events


class BatchState:
    """State of a batch according to the log.

    Attributes:
      id: Id of the batch.
      owner: Incarnation of the gateway that runs the batch.
      submitted_ms: Time of the submission in Unix milliseconds.
      items: Number of items.
      bodies: Locations of the items' bodies; empty if the submission contains
        the bodies.
      ended: Whether the trainer has ended the batch.
      results: Results in log order; readers' positions are indexes into it.
      finished: Indexes of the items that have a result.
      progress: Pieces of one text by item index (lineage.py), until the item
        has a result.
    """

    __slots__ = (
        'id',
        'owner',
        'submitted_ms',
        'items',
        'ended',
        'results',
        'finished',
        'progress',
        'bodies',
        '_data',
        '_submission',
    )

    def __init__(self, batch_id, owner, submitted_ms, data, items, bodies):
        self.id = batch_id
        self.owner = owner
        self.submitted_ms = submitted_ms
        self.ended = False
        self.results: list[batch.ItemResult] = []
        self.finished: set[int] = set()
        self.progress: dict[int, list[records.Progress]] = {}
        self.items = items
        self.bodies: list[batch.RecordLocation] = bodies
        self._data = data
        self._submission: batch.Submission | None = None

    @property
    def submission(self) -> batch.Submission:
        """The submission.

        Separately stored bodies are empty until fill_bodies is called.
        """
        if self._submission is None:
            self._submission = self._unpack()
        return self._submission

    @property
    def account(self) -> str:
        """Name of the account that submitted the batch; empty if none."""
        return self.submission.account

    def decode_submission(self) -> batch.Submission:
        """Decode the submission, without keeping it in memory."""
        return self._submission or self._unpack()

    def _unpack(self) -> batch.Submission:
        """Unpack the submission.

        One that can't be read has no route and no items, so that it has no
        effect on other batches.
        """
        try:
            return records.unpack_submission(self._data)
        except msgspec.DecodeError as error:
            events.write_invalid_record(records.TOPIC, self.id, error)
            return batch.Submission(self.id, '', '', 0, '', 0, 0, [])

    def fill_bodies(self, bodies: list[bytes]) -> None:
        """Add the items' bodies after they were read from the log."""
        self._submission = records.fill_bodies(self.submission, bodies)
        self.bodies = []

    @property
    def is_complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.finished) == self.items

    @property
    def is_open(self) -> bool:
        """Whether the batch is neither ended nor complete."""
        return not self.ended and not self.is_complete


class Fold:
    """State of all batches in all partitions.

    Attributes:
      batches: Batches by id, in the order in which their submissions were
        read.
    """

    __slots__ = ('batches', '_parts', '_listeners')

    def __init__(self):
        self.batches: dict[str, BatchState] = {}
        self._parts: dict[str, list[records.SubmissionPart]] = {}
        self._listeners = []

    def on_change(self, listener) -> None:
        """Register a function that is called with each changed batch."""
        self._listeners.append(listener)

    def apply(self, offset: int, data: bytes) -> None:
        """Apply the next record of a partition.

        Args:
          offset: Offset of the record.
          data: Encoded record; data of other writers that cannot be decoded
            is skipped.
        """
        try:
            record = records.decode(data)
        except msgspec.DecodeError as error:
            events.write_invalid_record(records.TOPIC, offset, error)
            return
        if isinstance(record, records.SubmissionPart):
            changed = self._add_part(record)
        else:
            changed = self.batches.get(record.batch_id)
            if changed is not None:
                _HANDLERS[type(record)](changed, record)
        if changed is not None:
            for listener in self._listeners:
                listener(changed)

    def drop_expired(self, oldest_ms: int) -> list[str]:
        """Drop batches whose read life has passed.

        Args:
          oldest_ms: Time in Unix milliseconds; batches that were submitted
            earlier are dropped.

        Returns:
          Ids of the dropped batches.
        """
        expired = [
            entry.id
            for entry in self.batches.values()
            if entry.submitted_ms < oldest_ms
        ]
        for batch_id in expired:
            del self.batches[batch_id]
        return expired

    def _add_part(self, record: records.SubmissionPart) -> BatchState | None:
        if record.batch_id in self.batches:
            return None
        key = f'{record.batch_id}/{record.attempt}'
        parts = self._parts.setdefault(key, [])
        if record.part != len(parts):
            return None
        parts.append(record)
        if len(parts) < record.parts:
            return None
        del self._parts[key]
        data = b''.join(part.data for part in parts)
        created = BatchState(
            record.batch_id,
            record.owner,
            record.submitted_ms,
            data,
            record.items,
            record.bodies,
        )
        self.batches[record.batch_id] = created
        return created


def _apply_results(target: BatchState, record: records.Results) -> None:
    for result in record.results:
        if not 0 <= result.index < target.items:
            continue
        if result.index not in target.finished and not target.ended:
            target.finished.add(result.index)
            target.results.append(result)
            target.progress.pop(result.index, None)


def _apply_progress(target: BatchState, record: records.Progress) -> None:
    if record.index in target.finished or target.ended:
        return
    if not 0 <= record.index < target.items:
        return
    known = target.progress.setdefault(record.index, [])
    lineage.extend(known, record, target.owner)


def _apply_end(target: BatchState, record: records.End) -> None:
    target.ended = True
    target.progress.clear()


def _apply_claim(target: BatchState, record: records.Claim) -> None:
    if target.owner == record.previous:
        target.owner = record.owner


_HANDLERS = {
    records.Results: _apply_results,
    records.Progress: _apply_progress,
    records.End: _apply_end,
    records.Claim: _apply_claim,
}
