"""Folds the intents stream: which attempt may run a non-idempotent request.

The first Intent for a key in offset order acquires the key, and only its
attempt may be sent to a target. A Result of 'not-run' for an attempt releases
the key, so that the caller can retry, and marks the attempt as spent: no copy
of its Intent acquires the key again, whether the copy comes before or after
the Result. So one Result also cancels an attempt that was abandoned while it
was unknown whether its Intent had been appended. Any other Result leaves the
key held.

Old keys are removed without the risk that a request runs twice: the state has
a floor, and the fold rejects an Intent whose key is older than the floor. The
floor never decreases and depends on records alone: an Intent shows that all
keys which are older than its own key by more than the key's lifetime have
expired. Keys below the floor are then removed. Neither the writers' clocks
nor a delayed append affect the safety; clocks that differ by more than
MAX_CLOCK_SKEW_MS only cause the fold to reject a key before it expires.

A checkpoint does not store keys, because the log keeps records for longer
than keys are valid. It raises the floor, and covers the records before the
oldest key above the new floor. A reader that starts from a checkpoint differs
from other readers only in keys below the floor, and has the same state once
both have read the checkpoint itself.
"""

import msgspec

from auburnroad_core import decoding
from auburnroad_core.log import checkpoint
from auburnroad_core.log import keys
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service
from auburnroad_core import types

STREAM = records.INTENTS_STREAM
# Maximum lead of a caller's clock over an entry's clock.
MAX_CLOCK_SKEW_MS = 60_000
# The floor is raised in steps, because each step scans all keys.
FLOOR_STEP_MS = 60_000


class KeyState(msgspec.Struct):
    """State of one idempotency key.

    Attributes:
      key_ms: Creation time in the key, in Unix milliseconds.
      offset: Offset of the first record with the key.
      attempt: Attempt that holds the key, empty when the key is free.
      digest: Digest of the key's request, empty when no Intent was folded in.
      entry: Daemon that made the attempt.
      outcome: Outcome recorded for the attempt, empty for none yet.
      status: HTTP status recorded for the attempt, zero for none.
      spent: Attempts that were recorded as not run.
    """

    key_ms: int
    offset: int
    attempt: str = ''
    digest: str = ''
    entry: str = ''
    outcome: str = ''
    status: int = 0
    spent: list[str] = []


class State(checkpoint.FoldState):
    """State of all keys after a record.

    Attributes:
      keys: State of each key at or above the floor, by key.
      floor_ms: Keys created before this Unix time in milliseconds have
        expired.
    """

    keys: dict[str, KeyState] = {}
    floor_ms: int = 0


def start(batch: log_service.Batch) -> State | None:
    """Find the initial state of a replay.

    Args:
      batch: The oldest records that the log service keeps.

    Returns:
      The state, whose `applied` is the offset of the last record that it
      includes; None when the batch holds no usable checkpoint.
    """
    return checkpoint.find_start(batch, State)


def fold(state: State, entry: records.Entry) -> tuple[State, verdict.Verdict]:
    """Fold one record into the state.

    Args:
      state: State after the previous record; changed in place.
      entry: Log entry of the record.

    Returns:
      The state and the verdict on the record.
    """
    outcome = _apply(state, entry)
    state.applied = entry.offset
    return state, outcome


def build_checkpoint(
    state: State, now_ms: int, key_life_ms: int
) -> records.Checkpoint:
    """Build a checkpoint from which a reader can start.

    Args:
      state: State for which the checkpoint is built.
      now_ms: Current time in Unix milliseconds.
      key_life_ms: Age in milliseconds above which keys are rejected.

    Returns:
      The checkpoint record.
    """
    floor_ms = max(state.floor_ms, _compute_floor_ms(now_ms, key_life_ms))
    offsets = [
        held.offset for held in state.keys.values() if held.key_ms >= floor_ms
    ]
    covers = min(offsets) - 1 if offsets else state.applied
    stored_state = State(floor_ms=floor_ms, applied=covers)
    body = msgspec.Raw(msgspec.json.encode(stored_state))
    return records.Checkpoint(covers, body, now_ms)


def _apply(state, entry) -> verdict.Verdict:
    try:
        record = decoding.decode_json(entry.data, records.IntentRecord)
    except msgspec.DecodeError:
        return verdict.Verdict.INVALID
    if isinstance(record, records.Checkpoint):
        return _apply_checkpoint(state, entry, record)
    if keys.parse_key(record.key) != record.key:
        return verdict.Verdict.INVALID
    key_ms = keys.read_time_ms(record.key)
    if key_ms < state.floor_ms:
        return verdict.Verdict.INVALID
    held = state.keys.get(record.key) or KeyState(key_ms, entry.offset)
    if isinstance(record, records.Intent):
        return _apply_intent(state, held, record)
    return _apply_result(state, held, record)


def _apply_intent(state, held, record) -> verdict.Verdict:
    life_ms = record.expires_ms - held.key_ms
    if life_ms < 0 or not record.attempt:
        return verdict.Verdict.INVALID
    if record.attempt == held.attempt or record.attempt in held.spent:
        return verdict.Verdict.DUPLICATE
    if held.digest not in ('', record.digest):
        return verdict.Verdict.CONFLICT
    if held.attempt:
        return verdict.Verdict.DUPLICATE
    held.attempt = record.attempt
    held.digest = record.digest
    held.entry = record.entry
    state.keys[record.key] = held
    _raise_floor(state, _compute_floor_ms(held.key_ms, life_ms))
    return verdict.Verdict.EFFECTIVE


def _apply_result(state, held, record) -> verdict.Verdict:
    if record.attempt in held.spent:
        return verdict.Verdict.DUPLICATE
    if held.attempt == record.attempt and held.outcome == types.Outcome.RUN:
        return verdict.Verdict.DUPLICATE
    if record.outcome == types.Outcome.NOT_RUN:
        _mark_spent(state, held, record)
        return verdict.Verdict.EFFECTIVE
    if not record.attempt or held.attempt != record.attempt:
        return verdict.Verdict.INVALID
    held.outcome = record.outcome
    held.status = record.status
    return verdict.Verdict.EFFECTIVE


def _mark_spent(state, held, record) -> None:
    held.spent.append(record.attempt)
    if held.attempt == record.attempt:
        held.attempt = ''
        held.entry = ''
        held.outcome = ''
        held.status = 0
    state.keys[record.key] = held


def _apply_checkpoint(state, entry, record) -> verdict.Verdict:
    try:
        stored_state = decoding.decode_json(record.state, State)
    except msgspec.DecodeError:
        return verdict.Verdict.INVALID
    outcome = checkpoint.apply_checkpoint(state, entry, record)
    if outcome is verdict.Verdict.EFFECTIVE:
        _raise_floor(state, stored_state.floor_ms)
    return outcome


def _compute_floor_ms(time_ms: int, life_ms: int) -> int:
    floor_ms = time_ms - life_ms - MAX_CLOCK_SKEW_MS
    return max(0, floor_ms - floor_ms % FLOOR_STEP_MS)


def _raise_floor(state: State, floor_ms: int) -> None:
    if floor_ms <= state.floor_ms:
        return
    state.floor_ms = floor_ms
    state.keys = {
        key: held
        for key, held in state.keys.items()
        if held.key_ms >= floor_ms
    }
