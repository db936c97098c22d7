"""Replays a stream into a state, whatever part of it a reader was given.

A reader that starts after records expired, or that was paused for so long
that records which it had not read expired, goes on from a checkpoint. It
never goes back to an earlier state than it had.
"""

import typing

import msgspec

from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

# A writer asks for the verdict on its record within seconds.
VERDICTS_KEPT = 16384


class Fold(typing.Protocol):
    """What a module has to offer to be replayed.

    Attributes:
      STREAM: Name of the stream that it folds.
    """

    STREAM: str

    def start(self, batch: log_service.Batch) -> typing.Any:
        """Find the state to start from, None when the batch has none."""

    def fold(
        self, state: typing.Any, entry: records.Entry
    ) -> tuple[typing.Any, verdict.Verdict]:
        """Fold one record in."""

    def build_checkpoint(
        self, state: typing.Any, now_ms: int, key_life_ms: int
    ) -> records.Checkpoint:
        """Build the record that carries a state forward."""


class Step(msgspec.Struct):
    """A record that was folded in.

    Attributes:
      entry: The record.
      verdict: What it did.
    """

    entry: records.Entry
    verdict: verdict.Verdict


class Replay:
    """A state, and from which offset to read on.

    Attributes:
      fold: Module that folds the stream.
      state: State so far, None before the first records were read.
      first_offset: Oldest offset that the log service kept when last read.
      end_offset: Offset after the newest record when last read.
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
        """Offset to read from."""
        return max(self.applied + 1, self._search_offset)

    @property
    def caught_up(self) -> bool:
        """Whether the state held every record when last read."""
        return self.state is not None and (self.applied + 1 == self.end_offset)

    def find_verdict(self, offset: int) -> verdict.Verdict | None:
        """Find what a record did that was folded in lately.

        Args:
          offset: Offset of the record.

        Returns:
          The verdict; None when the record was not folded in here, or was
          so long ago.
        """
        return self._verdicts.get(offset)

    def take(self, batch: log_service.Batch) -> list[Step]:
        """Take in what was read from `next_offset`.

        Args:
          batch: Answer of the log service.

        Returns:
          The records that were folded in.
        """
        self.first_offset = batch.first_offset
        self.end_offset = batch.next_offset
        if self.state is None or batch.first_offset > self.applied + 1:
            self._restart(batch)
        if self.state is None or self._search_offset > self.applied + 1:
            return []
        fresh = [e for e in batch.records if e.offset > self.applied]
        if fresh and fresh[0].offset > self.applied + 1:
            # What follows the checkpoint's state has to be read anew.
            return []
        return [self._fold(entry) for entry in fresh]

    def _restart(self, batch) -> None:
        state = self.fold.start(batch)
        if state is not None and state.applied >= self.applied:
            self.state = state
            self._search_offset = 0
            return
        self._search_offset = batch.next_offset
        if batch.records:
            self._search_offset = batch.records[-1].offset + 1

    def _fold(self, entry: records.Entry) -> Step:
        self.state, outcome = self.fold.fold(self.state, entry)
        self._verdicts[entry.offset] = outcome
        if len(self._verdicts) > VERDICTS_KEPT:
            del self._verdicts[next(iter(self._verdicts))]
        return Step(entry, outcome)
