"""Finds the state to start from when the oldest records have expired.

A checkpoint at offset c that covers offset k holds the state after record k,
so a reader may start from it if every record after k is still kept. Any such
checkpoint leads to the same state; the newest one leaves least to read.
"""

import typing

import msgspec

from auburnroad_core.log import records
from auburnroad_core.platform import log_service

Shape = typing.TypeVar('Shape')

_DECODER = msgspec.json.Decoder(typing.Union[records.Checkpoint])


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
