"""Builds checkpoints and restores a fold's state from them.

Readers need a checkpoint when the oldest records of a stream have expired. A
checkpoint that covers offset k holds the state after record k, so a reader
may start from it if every record after k is still kept. Every such checkpoint
leads to the same state; the newest one leaves the fewest records to read.
"""

import typing

import msgspec

from auburnroad_core import decoding
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

StateType = typing.TypeVar('StateType')


class FoldState(msgspec.Struct):
    """Base of the states of all folds: the stream position and checkpoint.

    Attributes:
      applied: Offset of the last record folded in, -1 for none.
      checkpoint: Offset of the last checkpoint, -1 for none.
      checkpoint_ms: Unix milliseconds at which the last checkpoint was
        written, by its writer's clock.
      checkpoint_covers: Offset of the last record that the last checkpoint
        covers, -1 for none.
    """

    applied: int = -1
    checkpoint: int = -1
    checkpoint_ms: int = 0
    checkpoint_covers: int = -1


def apply_checkpoint(
    state: FoldState, entry: records.Entry, record: records.Checkpoint
) -> verdict.Verdict:
    """Apply a checkpoint record to the state of a fold.

    Args:
      state: State of the fold; changed in place.
      entry: Log entry of the checkpoint.
      record: The decoded checkpoint.

    Returns:
      INVALID for a checkpoint that covers its own offset or a later one,
      otherwise EFFECTIVE.
    """
    if record.covers >= entry.offset:
        return verdict.Verdict.INVALID
    state.checkpoint = entry.offset
    state.checkpoint_ms = record.at_ms
    state.checkpoint_covers = record.covers
    return verdict.Verdict.EFFECTIVE


def build_full_checkpoint(state: FoldState, now_ms: int) -> records.Checkpoint:
    """Build a checkpoint that holds a complete state.

    Args:
      state: State to store.
      now_ms: Current time in Unix milliseconds.

    Returns:
      The checkpoint record.
    """
    body = msgspec.Raw(msgspec.json.encode(state))
    return records.Checkpoint(state.applied, body, now_ms)


def parse_checkpoint(entry: records.Entry) -> records.Checkpoint | None:
    """Parse a log entry as a checkpoint.

    Args:
      entry: Any entry of any stream.

    Returns:
      The checkpoint; None for a record of another type and for a checkpoint
      that covers its own offset or a later one.
    """
    try:
        checkpoint = decoding.decode_json(
            entry.data, typing.Union[records.Checkpoint]
        )
    except msgspec.DecodeError:
        return None
    return checkpoint if checkpoint.covers < entry.offset else None


def find_start(
    batch: log_service.Batch, state_type: type[StateType]
) -> StateType | None:
    """Find the state from which the rest of a stream can be folded.

    Args:
      batch: Records of the stream, from the oldest one or from a later one.
      state_type: State class of the stream's fold, with a field `applied`.

    Returns:
      An empty state when no record has expired; otherwise the state of the
      newest usable checkpoint in the batch. None when the batch holds no
      usable checkpoint; a later batch may hold a usable checkpoint.
    """
    if batch.first_offset == 0:
        return state_type()
    for entry in reversed(batch.records):
        checkpoint = parse_checkpoint(entry)
        if checkpoint and checkpoint.covers + 1 >= batch.first_offset:
            state = _parse_state(checkpoint, state_type)
            if state is not None:
                return state
    return None


def _parse_state(checkpoint, state_type):
    try:
        state = decoding.decode_json(checkpoint.state, state_type)
    except msgspec.DecodeError:
        return None
    return state if state.applied == checkpoint.covers else None
