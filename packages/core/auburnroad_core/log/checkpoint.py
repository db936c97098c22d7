"""Finds the state to start from when the oldest records have expired.

A checkpoint at offset c that covers offset k holds the state after record k,
so a reader may start from it if every record after k is still kept. Any such
checkpoint leads to the same state; the newest one leaves least to read.
"""

import typing

import msgspec

from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

Shape = typing.TypeVar('Shape')

_DECODER = msgspec.json.Decoder(typing.Union[records.Checkpoint])


class FoldState(msgspec.Struct):
    """What every fold keeps of its stream besides its own state.

    Attributes:
      applied: Offset of the last record folded in, -1 for none.
      checkpoint: Offset of the last checkpoint, -1 for none.
      checkpoint_ms: Unix milliseconds of it by its writer's clock.
      checkpoint_covers: Offset of the last record that it includes.
    """

    applied: int = -1
    checkpoint: int = -1
    checkpoint_ms: int = 0
    checkpoint_covers: int = -1


def judge_checkpoint(
    state: FoldState, entry: records.Entry, record: records.Checkpoint
) -> verdict.Verdict:
    """Note a checkpoint that was folded in.

    Args:
      state: State of a fold; it is changed in place.
      entry: The record where the log put it.
      record: The record.

    Returns:
      INVALID for a checkpoint that claims to cover itself, else EFFECTIVE.
    """
    if record.covers >= entry.offset:
        return verdict.Verdict.INVALID
    state.checkpoint = entry.offset
    state.checkpoint_ms = record.at_ms
    state.checkpoint_covers = record.covers
    return verdict.Verdict.EFFECTIVE


def build_whole(state: FoldState, now_ms: int) -> records.Checkpoint:
    """Build the checkpoint that carries a whole state forward.

    Args:
      state: State to carry.
      now_ms: Unix milliseconds.

    Returns:
      The record.
    """
    body = msgspec.Raw(msgspec.json.encode(state))
    return records.Checkpoint(state.applied, body, now_ms)


def parse_checkpoint(entry: records.Entry) -> records.Checkpoint | None:
    """Parse a record if it is a checkpoint that can be true.

    Args:
      entry: Any record of any stream.

    Returns:
      The checkpoint, or None for another record and for a checkpoint that
      claims to cover itself.
    """
    try:
        checkpoint = _DECODER.decode(entry.data)
    except msgspec.DecodeError:
        return None
    return checkpoint if checkpoint.covers < entry.offset else None


def find_start(batch: log_service.Batch, shape: type[Shape]) -> Shape | None:
    """Find the state to fold the rest of a stream onto.

    Args:
      batch: Records from the oldest one on, or any later part of a stream.
      shape: State class of the stream's fold, with a field `applied`.

    Returns:
      An empty state when nothing has expired; the state of the newest usable
      checkpoint; None when this batch holds none, in which case the next one
      may.
    """
    if batch.first_offset == 0:
        return shape()
    for entry in reversed(batch.records):
        checkpoint = parse_checkpoint(entry)
        if checkpoint and checkpoint.covers + 1 >= batch.first_offset:
            state = _parse_state(checkpoint, shape)
            if state is not None:
                return state
    return None


def _parse_state(checkpoint, shape):
    try:
        state = msgspec.json.decode(checkpoint.state, type=shape)
    except msgspec.DecodeError:
        return None
    return state if state.applied == checkpoint.covers else None
