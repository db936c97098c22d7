"""Folds the records of batches into their state.

The fold is a pure function of the records in their order, so that every
gateway reaches the same one. A record that doesn't fit the state has no
effect: a second submission of a batch, a second result of an item, a claim
on a batch that somebody else took first, results after the batch's end.
"""

import msgspec

from auburnroad_gateway.batches import records
from auburnroad_gateway.model import batch


class Batch:
    """A batch as the log tells it.

    Attributes:
      id: Its id.
      owner: Incarnation that runs it.
      submitted_ms: Unix milliseconds of its submission.
      items: Number of its items.
      bodies: Where the items' bodies lie; empty if the submission has them.
      ended: Whether nothing more of it is wanted.
      results: Results in the order of the log; the index is the position.
      finished: Indexes of the items that have a result.
      progress: Progress by item index, each following the one before, until
        the item has a result.
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
        self.bodies: list[batch.Place] = bodies
        self._data = data
        self._submission: batch.Submission | None = None

    @property
    def submission(self) -> batch.Submission:
        """What the trainer submitted, perhaps without the bodies."""
        if self._submission is None:
            self._submission = records.unpack_submission(self._data)
        return self._submission

    def fill_bodies(self, bodies: list[bytes]) -> None:
        """Take the items' bodies in, which were read from where they lie."""
        self._submission = records.fill_bodies(self.submission, bodies)
        self.bodies = []

    @property
    def complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.finished) == self.items

    @property
    def open(self) -> bool:
        """Whether items may still be run."""
        return not self.ended and not self.complete


class Fold:
    """State of all batches of all partitions.

    Attributes:
      batches: By id, in the order of their submission.
    """

    __slots__ = ('batches', '_parts', '_listeners')

    def __init__(self):
        self.batches: dict[str, Batch] = {}
        self._parts: dict[str, list[records.SubmissionPart]] = {}
        self._listeners = []

    def on_change(self, listener) -> None:
        """Call a function with each batch that a record has changed."""
        self._listeners.append(listener)

    def apply(self, offset: int, data: bytes) -> None:
        """Take the next record of a partition.

        Args:
          offset: Its offset; unused, as the order says all.
          data: The record; what another writer left is passed over.
        """
        try:
            record = records.decode(data)
        except msgspec.DecodeError:
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

    def forget(self, oldest_ms: int) -> list[str]:
        """Drop batches that can't be read any more.

        Args:
          oldest_ms: Unix milliseconds; earlier submissions are dropped.

        Returns:
          Their ids.
        """
        gone = [
            entry.id
            for entry in self.batches.values()
            if entry.submitted_ms < oldest_ms
        ]
        for batch_id in gone:
            del self.batches[batch_id]
        return gone

    def _add_part(self, record: records.SubmissionPart) -> Batch | None:
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
        created = Batch(
            record.batch_id,
            record.owner,
            record.submitted_ms,
            data,
            record.items,
            record.bodies,
        )
        self.batches[record.batch_id] = created
        return created


def _apply_results(target: Batch, record: records.Results) -> None:
    for result in record.results:
        if result.index not in target.finished and not target.ended:
            target.finished.add(result.index)
            target.results.append(result)
            target.progress.pop(result.index, None)


def _apply_progress(target: Batch, record: records.Progress) -> None:
    if record.index in target.finished or target.ended:
        return
    known = target.progress.setdefault(record.index, [])
    if record.after < 0:
        known.clear()
    # Of two owners' texts that overlap, the one that came first goes on.
    if record.after == (known[-1].last_event if known else -1):
        known.append(record)


def _apply_end(target: Batch, record: records.End) -> None:
    target.ended = True
    target.progress.clear()


def _apply_claim(target: Batch, record: records.Claim) -> None:
    if target.owner == record.previous:
        target.owner = record.owner


_HANDLERS = {
    records.Results: _apply_results,
    records.Progress: _apply_progress,
    records.End: _apply_end,
    records.Claim: _apply_claim,
}
