"""Reads and appends records of the configuration stream.

The client runs the same fold over the stream as every daemon. A change is
reported as accepted only after it was read back with the verdict effective;
the answer of an append does not show this.
"""

import uuid

import msgspec

from auburnroad_client import audit_trail
from auburnroad_client import exit_codes
from auburnroad_client import pack
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_core.log import appender
from auburnroad_core.log import configuration_fold
from auburnroad_core.log import records
from auburnroad_core.log import replay
from auburnroad_core.log import tail
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

STREAM = records.CONFIGURATION_STREAM
State = configuration_fold.State

# Comparing the publications of a whole day would take too long, and only a
# few revisions are published during one race.
MAX_CONFLICTS_SHOWN = 20


class Accepted(msgspec.Struct):
    """A record that was read back as effective.

    Attributes:
      revision: Offset of the record.
      record_id: Unique id of the record.
      state: State of the stream when the record was read back.
    """

    revision: int
    record_id: str
    state: State


async def read_state(service: log_service.LogService) -> State:
    """Read the state of the configuration stream.

    Args:
      service: The log service.

    Returns:
      The state after the newest record.

    Raises:
      LogUnavailableError: If the log service can't be read.
      CommandError: If the records have expired without a checkpoint.
    """
    return _require_state(await tail.read_stream(service, configuration_fold))


def _require_state(result: replay.Replay) -> State:
    if result.state is None:
        raise exit_codes.CommandError(
            'the records of the configuration have expired and no checkpoint'
            ' replaces them',
            'start an entry that still has the configuration, or publish on'
            ' a new log',
        )
    return result.state


def parse_answers(state: State) -> answer_types.Answers | None:
    """Parse the answers in force.

    Args:
      state: State of the stream.

    Returns:
      The answers; None if nothing is in force, or if another client version
      published answers that this one can't parse.
    """
    if state.revision < 0:
        return None
    try:
        plain = pack.unpack_answers(state.answers)
        return msgspec.convert(plain, answer_types.Answers)
    except (pack.PackError, msgspec.ValidationError):
        return None


async def append_and_read_back(
    service: log_service.LogService,
    record: records.Publish | records.HostOrder,
    deadline_ms: int,
) -> Accepted:
    """Append a record and read it back as effective.

    Args:
      service: The log service.
      record: The record.
      deadline_ms: Unix milliseconds after which there is no retry.

    Returns:
      The record with its offset.

    Raises:
      LogUnavailableError: If the log service can't be reached and nothing was
        appended.
      OutcomeUnknownError: If the record may have been appended but could not
        be read back in time.
      ConflictError: If another operator published a newer revision first.
      CommandError: If the record is refused as invalid.
    """
    record_id = str(uuid.uuid4())
    try:
        offset = await appender.append_and_confirm(
            service, STREAM, record, record_id, deadline_ms
        )
        result = await _read_to_end(service, offset)
    except log_service.AppendLostError as error:
        raise _build_unknown_outcome(record_id, str(error)) from error
    found = result.find_verdict(offset)
    if found is verdict.Verdict.EFFECTIVE:
        return Accepted(offset, record_id, _require_state(result))
    if found is verdict.Verdict.CONFLICT:
        raise await build_conflict_error(service, record.base_revision)
    if found is verdict.Verdict.INVALID:
        raise exit_codes.CommandError(
            f'the record at offset {offset} was refused as invalid',
            'nothing was changed; check that the client and the daemons have'
            ' the same version',
        )
    raise _build_unknown_outcome(record_id, 'its verdict has expired')


async def _read_to_end(service, offset: int) -> replay.Replay:
    """Read the stream to its end, which includes the offset."""
    try:
        return await tail.read_stream(service, configuration_fold)
    except log_service.LogUnavailableError as error:
        raise log_service.AppendLostError(
            f'appended at offset {offset}, but not read back: {error}'
        ) from error


def _build_unknown_outcome(record_id: str, reason: str):
    return exit_codes.OutcomeUnknownError(
        f'it is unknown whether the change took effect: {reason}',
        'check auburnroad audit before you retry',
        [f'record id: {record_id}'],
    )


async def build_conflict_error(
    service: log_service.LogService, base_revision: int
) -> exit_codes.ConflictError:
    """Build the error that lists the changes of other operators.

    Args:
      service: The log service.
      base_revision: Revision that this operator's change is based on.

    Returns:
      The error.

    Raises:
      LogUnavailableError: If the log service can't be read.
    """
    effective = [
        change
        for change in await audit_trail.read_trail(
            service, MAX_CONFLICTS_SHOWN
        )
        if change.act == 'publish' and change.effect in audit_trail.EFFECTIVE
    ]
    others = [c for c in effective if c.revision > base_revision]
    details = []
    for other in others:
        details.append(f'revision {other.revision} by {other.author}:')
        details += [f'  {line}' for line in other.changes]
    newest = effective[-1].revision if effective else -1
    return exit_codes.ConflictError(
        f'the answers were made from revision {base_revision}, but revision'
        f' {newest} is in force; nothing was changed',
        'take the changes below into your answers, and publish with --base'
        f' {newest}',
        details,
    )
