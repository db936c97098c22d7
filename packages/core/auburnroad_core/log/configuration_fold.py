"""Folds the configuration stream: which configuration is in force.

A Publish takes effect only on top of the revision that it was made from, so
of two operators who race exactly one gets through, and the revision in force
only ever goes up.
"""

import msgspec

from auburnroad_core.log import checkpoint
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service
from auburnroad_core.settings import check
from auburnroad_core.settings import deployment
from auburnroad_core.settings import source

STREAM = records.CONFIGURATION_STREAM
# A copy of a Publish can't take effect, as its base has passed. A copy of a
# HostOrder could undo a later one, so the ids of as many records as a busy
# day has are remembered.
SEEN_RECORDS = 4096

_DECODER = msgspec.json.Decoder(records.ConfigurationRecord)
_NOTHING = msgspec.Raw(b'null')


class State(checkpoint.FoldState):
    """What is in force after a record.

    Attributes:
      revision: Offset of the Publish in force, -1 for none.
      author: Operator who published it.
      at_ms: Unix milliseconds of the publication by the operator's clock.
      summary: What it changed.
      deployment: The deployment as JSON, null for none.
      answers: The answers that it was generated from as JSON.
      draining: Offset of the order that drains a host, by host.
      seen: Offsets of the last records by their ids, oldest first.
    """

    revision: int = -1
    author: str = ''
    at_ms: int = 0
    summary: str = ''
    deployment: msgspec.Raw = _NOTHING
    answers: msgspec.Raw = _NOTHING
    draining: dict[str, int] = {}
    seen: dict[str, int] = {}


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
    state.seen.setdefault(entry.record_id, entry.offset)
    _forget_seen(state, entry.offset - SEEN_RECORDS)
    state.applied = entry.offset
    return state, outcome


def build_checkpoint(
    state: State, now_ms: int, key_life_ms: int
) -> records.Checkpoint:
    """Build the record that carries a state forward.

    Args:
      state: State to carry.
      now_ms: Unix milliseconds.
      key_life_ms: Not needed by this stream.

    Returns:
      The record.
    """
    return checkpoint.build_whole(state, now_ms)


def parse_deployment(document: bytes) -> deployment.Deployment | None:
    """Parse a deployment that the log or a peer holds.

    Args:
      document: The deployment as JSON.

    Returns:
      The deployment, or None when it does not check.
    """
    try:
        value = msgspec.json.decode(document)
    except msgspec.DecodeError:
        return None
    parsed, mistakes = check.check_document(
        source.Document('deployment', value, {}), deployment.Deployment
    )
    return None if mistakes else parsed


def _judge(state, entry) -> verdict.Verdict:
    if entry.record_id in state.seen:
        return verdict.Verdict.DUPLICATE
    try:
        record = _DECODER.decode(entry.data)
    except msgspec.DecodeError:
        return verdict.Verdict.INVALID
    if isinstance(record, records.Publish):
        return _judge_publish(state, entry, record)
    if isinstance(record, records.HostOrder):
        return _judge_order(state, entry, record)
    return checkpoint.judge_checkpoint(state, entry, record)


def _judge_publish(state, entry, record) -> verdict.Verdict:
    if record.base_revision != state.revision:
        return verdict.Verdict.CONFLICT
    if parse_deployment(record.deployment) is None:
        return verdict.Verdict.INVALID
    state.revision = entry.offset
    state.author = record.author
    state.at_ms = record.at_ms
    state.summary = record.summary
    # A copy, since the original keeps the whole batch in memory.
    state.deployment = record.deployment.copy()
    state.answers = record.answers.copy()
    return verdict.Verdict.EFFECTIVE


def _judge_order(state, entry, record) -> verdict.Verdict:
    if record.draining:
        state.draining[record.host] = entry.offset
    else:
        state.draining.pop(record.host, None)
    return verdict.Verdict.EFFECTIVE


def _forget_seen(state: State, before: int) -> None:
    while state.seen:
        oldest = next(iter(state.seen))
        if state.seen[oldest] >= before:
            return
        del state.seen[oldest]
