"""Replays a stream into a state, from any part that the log still keeps.

A reader that starts after records have expired, or that was paused until
unread records expired, continues from a checkpoint. It never returns to an
earlier state than its own.
"""

import typing

import msgspec

from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

# Enough for a writer, which requests the verdict within seconds after its
# record was folded.
MAX_VERDICTS_KEPT = 16384


class Fold(typing.Protocol):
    """Interface of a module that folds a stream.

    Attributes:
      STREAM: Name of the stream.
    """

    STREAM: str

    def start(self, batch: log_service.Batch) -> typing.Any:
        """Find the initial state; return None if the batch holds none."""

    def fold(
        self, state: typing.Any, entry: records.Entry
    ) -> tuple[typing.Any, verdict.Verdict]:
        """Fold one record into the state and return the verdict on it."""

    def build_checkpoint(
        self, state: typing.Any, now_ms: int, key_life_ms: int
    ) -> records.Checkpoint:
        """Build a checkpoint of a state."""


class FoldedRecord(msgspec.Struct):
    """A record that was folded into the state.

    Attributes:
      entry: Log entry of the record.
      verdict: Verdict on the record.
    """

    entry: records.Entry
    verdict: verdict.Verdict


class Replay:
    """The state of a stream and the offset to read next.

    Attributes:
      fold: Module that folds the stream.
      state: Current state, None until an initial state has been found.
      first_offset: Oldest offset that the log service kept at the last read.
      end_offset: Offset after the newest record at the last read.
    """

    __slots__ = (
        'fold',
        'state',
        'first_offset',
        'end_offset',
        '_search_offset',
        '_verdicts',
    )

    def __init__(self, fold: Fold):
        self.fold = fold
        self.state = None
        self.first_offset = 0
        self.end_offset = 0
        self._search_offset = 0
        self._verdicts: dict[int, verdict.Verdict] = {}

    @property
    def applied(self) -> int:
        """Offset of the last record folded in, -1 for none."""
        return -1 if self.state is None else self.state.applied

    @property
    def next_offset(self) -> int:
        """Offset from which to read next."""
        return max(self.applied + 1, self._search_offset)

    @property
    def caught_up(self) -> bool:
        """Whether the state included every record at the last read."""
        return self.state is not None and (self.applied + 1 == self.end_offset)

    def find_verdict(self, offset: int) -> verdict.Verdict | None:
        """Find the verdict on a recently folded record.

        Args:
          offset: Offset of the record.

        Returns:
          The verdict; None when this replay did not fold the record, or when
          more than MAX_VERDICTS_KEPT records were folded since.
        """
        return self._verdicts.get(offset)

    def fold_batch(self, batch: log_service.Batch) -> list[FoldedRecord]:
        """Fold a batch of records that was read from `next_offset`.

        Args:
          batch: Records returned by the log service.

        Returns:
          The records that were folded into the state.
        """
        self.first_offset = batch.first_offset
        self.end_offset = batch.next_offset
        if self.state is None or batch.first_offset > self.applied + 1:
            self._restart(batch)
        if self.state is None or self._search_offset > self.applied + 1:
            return []
        new_entries = [e for e in batch.records if e.offset > self.applied]
        if new_entries and new_entries[0].offset > self.applied + 1:
            # The batch starts after the first record that the checkpoint's
            # state does not include, so the stream must be read again from
            # `next_offset`.
            return []
        return [self._fold(entry) for entry in new_entries]

    def _restart(self, batch) -> None:
        state = self.fold.start(batch)
        if state is not None and state.applied >= self.applied:
            self.state = state
            self._search_offset = 0
            return
        self._search_offset = batch.next_offset
        if batch.records:
            self._search_offset = batch.records[-1].offset + 1

    def _fold(self, entry: records.Entry) -> FoldedRecord:
        self.state, outcome = self.fold.fold(self.state, entry)
        self._verdicts[entry.offset] = outcome
        if len(self._verdicts) > MAX_VERDICTS_KEPT:
            del self._verdicts[next(iter(self._verdicts))]
        return FoldedRecord(entry, outcome)
