"""Folds the intents stream: which attempt may run a non-idempotent request.

The first Intent of a key in offset order holds it, and only its attempt may
leave for a target. A Result of 'not-run' for an attempt frees the key for the
caller's repetition, and spends the attempt: no copy of its Intent takes the
key again, whether it comes before the Result or after it. So an attempt that
was given up while the fate of its Intent was unknown is made harmless by one
Result. Any other Result leaves the key taken.

Forgetting keys without letting one run twice: the state has a floor, and an
Intent whose key is older than the floor is refused by the fold itself. The
floor only goes up, as a function of records: an Intent proves that keys older
than its own by more than its life are expired. Keys below the floor are then
forgotten. Neither the writers' clocks nor a delayed append matter to this;
clocks that differ by more than FUTURE_MARGIN_MS only make the fold refuse a
key somewhat before its end.

A checkpoint needs to carry no keys, as the log outlives them: it raises the
floor, and covers the records before the oldest key above the new floor. A
reader that starts there differs from older readers in keys below the floor
alone, and no longer once both have read the checkpoint itself.
"""

import msgspec

from auburnroad_core.log import checkpoint
from auburnroad_core.log import keys
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service
from auburnroad_core import types

STREAM = records.INTENTS_STREAM
# How far a caller's clock may be ahead of an entry's.
FUTURE_MARGIN_MS = 60_000
# The floor goes up in steps, since each one looks through all keys.
FLOOR_STEP_MS = 60_000

_DECODER = msgspec.json.Decoder(records.IntentRecord)


class Held(msgspec.Struct):
    """What is known of a key.

    Attributes:
      key_ms: Unix milliseconds that the key holds.
      offset: Offset of the first record that named the key.
      attempt: Attempt that holds the key, empty when it is free.
      digest: Digest of the request that the key stands for, empty when no
        Intent was seen.
      entry: Daemon that made the attempt.
      outcome: Outcome recorded for the attempt, empty for none yet.
      status: HTTP status recorded for it, zero for none.
      spent: Attempts that were given up as not run.
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
    """What is known of the keys after a record.

    Attributes:
      keys: By key, all at or above the floor.
      floor_ms: Keys made before this Unix time in milliseconds are expired.
    """

    keys: dict[str, Held] = {}
    floor_ms: int = 0


def start(batch: log_service.Batch) -> State | None:
    """Find the state to start from.

    Args:
      batch: Oldest records that the log service keeps.

    Returns:
      The state, whose `applied` says from where to fold on; None when the
      batch holds no usable checkpoint.
    """
    return checkpoint.find_start(batch, State)


def fold(state: State, entry: records.Entry) -> tuple[State, verdict.Verdict]:
    """Fold one record in.

    Args:
      state: State after the record before; it is changed in place.
      entry: The record.

    Returns:
      The state and what the record did.
    """
    outcome = _judge(state, entry)
    state.applied = entry.offset
    return state, outcome


def build_checkpoint(
    state: State, now_ms: int, key_life_ms: int
) -> records.Checkpoint:
    """Build the record from which a reader can start.

    Args:
      state: State to carry.
      now_ms: Unix milliseconds.
      key_life_ms: Age in milliseconds above which keys are refused.

    Returns:
      The record.
    """
    floor_ms = max(state.floor_ms, _round_floor(now_ms, key_life_ms))
    offsets = [
        held.offset for held in state.keys.values() if held.key_ms >= floor_ms
    ]
    covers = min(offsets) - 1 if offsets else state.applied
    carried = State(floor_ms=floor_ms, applied=covers)
    body = msgspec.Raw(msgspec.json.encode(carried))
    return records.Checkpoint(covers, body, now_ms)


def _judge(state, entry) -> verdict.Verdict:
    try:
        record = _DECODER.decode(entry.data)
    except msgspec.DecodeError:
        return verdict.Verdict.INVALID
    if isinstance(record, records.Checkpoint):
        return _judge_checkpoint(state, entry, record)
    if keys.parse_key(record.key) != record.key:
        return verdict.Verdict.INVALID
    key_ms = keys.read_time_ms(record.key)
    if key_ms < state.floor_ms:
        return verdict.Verdict.INVALID
    held = state.keys.get(record.key) or Held(key_ms, entry.offset)
    if isinstance(record, records.Intent):
        return _judge_intent(state, held, record)
    return _judge_result(state, held, record)


def _judge_intent(state, held, record) -> verdict.Verdict:
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
    _raise_floor(state, _round_floor(held.key_ms, life_ms))
    return verdict.Verdict.EFFECTIVE


def _judge_result(state, held, record) -> verdict.Verdict:
    if record.attempt in held.spent:
        return verdict.Verdict.DUPLICATE
    if held.attempt == record.attempt and held.outcome == types.Outcome.RUN:
        return verdict.Verdict.DUPLICATE
    if record.outcome == types.Outcome.NOT_RUN:
        _spend(state, held, record)
        return verdict.Verdict.EFFECTIVE
    if not record.attempt or held.attempt != record.attempt:
        return verdict.Verdict.INVALID
    held.outcome = record.outcome
    held.status = record.status
    return verdict.Verdict.EFFECTIVE


def _spend(state, held, record) -> None:
    held.spent.append(record.attempt)
    if held.attempt == record.attempt:
        held.attempt = ''
        held.entry = ''
        held.outcome = ''
        held.status = 0
    state.keys[record.key] = held


def _judge_checkpoint(state, entry, record) -> verdict.Verdict:
    try:
        carried = msgspec.json.decode(record.state, type=State)
    except msgspec.DecodeError:
        return verdict.Verdict.INVALID
    outcome = checkpoint.judge_checkpoint(state, entry, record)
    if outcome is verdict.Verdict.EFFECTIVE:
        _raise_floor(state, carried.floor_ms)
    return outcome


def _round_floor(time_ms: int, life_ms: int) -> int:
    floor_ms = time_ms - life_ms - FUTURE_MARGIN_MS
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
