"""Folds the configuration stream: which configuration is in force.

A Publish takes effect only if its base revision is the revision in force. So
of two operators who publish concurrently exactly one succeeds, and the
revision in force never decreases.
"""

import typing

import msgspec

from auburnroad_core import decoding
from auburnroad_core.log import checkpoint
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service
from auburnroad_core.settings import check
from auburnroad_core.settings import deployment
from auburnroad_core.settings import source

STREAM = records.CONFIGURATION_STREAM
# Number of most recent records whose ids are kept to detect duplicates; as
# many records as are written on a busy day. A duplicate of a HostOrder could
# undo a later order; a duplicate of a Publish has no effect, since its base
# revision is no longer in force.
DEDUPLICATION_RECORDS = 4096

_JSON_NULL = msgspec.Raw(b'null')


class State(checkpoint.FoldState):
    """Configuration and host orders in force after a record.

    Attributes:
      revision: Offset of the Publish in force, -1 for none.
      author: Operator who published the revision.
      at_ms: Unix milliseconds of the publication, by the operator's clock.
      summary: Description of the change.
      deployment: The deployment as JSON, null for none.
      answers: Questionnaire answers from which the deployment was generated,
        as JSON.
      draining: Offset of the drain order by host, for the hosts that are
        being drained.
      seen: Offsets of the most recent records by record id, oldest first.
    """

    revision: int = -1
    author: str = ''
    at_ms: int = 0
    summary: str = ''
    deployment: msgspec.Raw = _JSON_NULL
    answers: msgspec.Raw = _JSON_NULL
    draining: dict[str, int] = {}
    seen: dict[str, int] = {}


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
    state.seen.setdefault(entry.record_id, entry.offset)
    _remove_seen_before(state, entry.offset - DEDUPLICATION_RECORDS)
    state.applied = entry.offset
    return state, outcome


def build_checkpoint(
    state: State, now_ms: int, key_life_ms: int
) -> records.Checkpoint:
    """Build a checkpoint of a state.

    Args:
      state: State to store.
      now_ms: Current time in Unix milliseconds.
      key_life_ms: Not used by this stream.

    Returns:
      The checkpoint record.
    """
    return checkpoint.build_full_checkpoint(state, now_ms)


def parse_deployment(document: bytes) -> deployment.Deployment | None:
    """Parse a deployment read from the log or received from a peer.

    Args:
      document: The deployment as JSON.

    Returns:
      The deployment, or None when it is not valid.
    """
    try:
        value = decoding.decode_json(document, typing.Any)
    except msgspec.DecodeError:
        return None
    parsed, error_records = check.check_document(
        source.Document('deployment', value, {}), deployment.Deployment
    )
    return None if error_records else parsed


def _apply(state, entry) -> verdict.Verdict:
    if entry.record_id in state.seen:
        return verdict.Verdict.DUPLICATE
    try:
        record = decoding.decode_json(entry.data, records.ConfigurationRecord)
    except msgspec.DecodeError:
        return verdict.Verdict.INVALID
    if isinstance(record, records.Publish):
        return _apply_publish(state, entry, record)
    if isinstance(record, records.HostOrder):
        return _apply_host_order(state, entry, record)
    return checkpoint.apply_checkpoint(state, entry, record)


def _apply_publish(state, entry, record) -> verdict.Verdict:
    if record.base_revision != state.revision:
        return verdict.Verdict.CONFLICT
    if parse_deployment(record.deployment) is None:
        return verdict.Verdict.INVALID
    state.revision = entry.offset
    state.author = record.author
    state.at_ms = record.at_ms
    state.summary = record.summary
    # Copied, because the original refers to the buffer of the whole batch and
    # would keep it in memory.
    state.deployment = record.deployment.copy()
    state.answers = record.answers.copy()
    return verdict.Verdict.EFFECTIVE


def _apply_host_order(state, entry, record) -> verdict.Verdict:
    if record.draining:
        state.draining[record.host] = entry.offset
    else:
        state.draining.pop(record.host, None)
    return verdict.Verdict.EFFECTIVE


def _remove_seen_before(state: State, offset: int) -> None:
    while state.seen:
        oldest = next(iter(state.seen))
        if state.seen[oldest] >= offset:
            return
        del state.seen[oldest]
