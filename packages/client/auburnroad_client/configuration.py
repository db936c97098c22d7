"""The configuration stream as the operators' client uses it.

What is in force is decided by the fold that every daemon runs, never by the
answer of an append: a change counts once it was read back as effective.
"""

import uuid

import msgspec

from auburnroad_client import exit_codes
from auburnroad_client import pack
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client import trail
from auburnroad_core.log import appender
from auburnroad_core.log import configuration_fold
from auburnroad_core.log import records
from auburnroad_core.log import replay
from auburnroad_core.log import tail
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

STREAM = records.CONFIGURATION_STREAM
State = configuration_fold.State

# A race has few winners; a day's publications would take long to compare.
CONFLICTS_SHOWN = 20


class Accepted(msgspec.Struct):
    """A record that was read back as effective.

    Attributes:
      revision: Its offset.
      record_id: Its identity.
      state: State of the whole stream when it was read back.
    """

    revision: int
    record_id: str
    state: State


async def read_state(service: log_service.LogService) -> State:
    """Read what is in force.

    Args:
      service: The log service.

    Returns:
      The state after the newest record.

    Raises:
      LogUnavailableError: If the log service can't be read.
      CommandError: If the state's records have expired.
    """
    return _require_state(await tail.read_stream(service, configuration_fold))


def _require_state(result: replay.Replay) -> State:
    if result.state is None:
        raise exit_codes.CommandError(
            'the records of the configuration have expired and no checkpoint'
            ' stands for them',
            'start an entry that still has the configuration, or publish on'
            ' a new log',
        )
    return result.state


def parse_answers(state: State) -> answer_types.Answers | None:
    """Parse the answers that are in force.

    Args:
      state: State of the stream.

    Returns:
      The answers; None when nothing is in force, or when a client of another
      version published answers that this one doesn't know.
    """
    if state.revision < 0:
        return None
    try:
        plain = pack.unpack_answers(state.answers)
        return msgspec.convert(plain, answer_types.Answers)
    except (pack.PackError, msgspec.ValidationError):
        return None


async def append(
    service: log_service.LogService,
    record: records.Publish | records.HostOrder,
    deadline_ms: int,
) -> Accepted:
    """Append a record and read it back in force.

    Args:
      service: The log service.
      record: The record.
      deadline_ms: Unix milliseconds at which to give up.

    Returns:
      The record's place.

    Raises:
      LogUnavailableError: If nothing was appended.
      OutcomeUnknownError: If it could not be found out.
      ConflictError: If another operator's change was in force first.
      CommandError: If the record is refused as invalid.
    """
    record_id = str(uuid.uuid4())
    try:
        offset = await appender.append_and_confirm(
            service, STREAM, record, record_id, deadline_ms
        )
        result = await _read_through(service, offset)
    except log_service.AppendLostError as error:
        raise _build_unknown(record_id, str(error)) from error
    found = result.find_verdict(offset)
    if found is verdict.Verdict.EFFECTIVE:
        return Accepted(offset, record_id, _require_state(result))
    if found is verdict.Verdict.CONFLICT:
        raise await build_conflict(service, record.base_revision)
    if found is verdict.Verdict.INVALID:
        raise exit_codes.CommandError(
            f'the record at offset {offset} is refused as invalid',
            'nothing was changed; is the client of another version than the'
            ' daemons?',
        )
    raise _build_unknown(record_id, 'its verdict has expired')


async def _read_through(service, offset: int) -> replay.Replay:
    """Read the stream to its end, which is after the offset."""
    try:
        return await tail.read_stream(service, configuration_fold)
    except log_service.LogUnavailableError as error:
        raise log_service.AppendLostError(
            f'appended at offset {offset}, but not read back: {error}'
        ) from error


def _build_unknown(record_id: str, reason: str):
    return exit_codes.OutcomeUnknownError(
        f'whether the change took effect is not known: {reason}',
        'look at auburnroad audit before you try again',
        [f'record id: {record_id}'],
    )


async def build_conflict(
    service: log_service.LogService, base_revision: int
) -> exit_codes.ConflictError:
    """Build the error that shows what others changed.

    Args:
      service: The log service.
      base_revision: Revision that this operator's change was made from.

    Returns:
      The error.

    Raises:
      LogUnavailableError: If the log service can't be read.
    """
    effective = [
        change
        for change in await trail.read_trail(service, CONFLICTS_SHOWN)
        if change.act == 'publish' and change.effect in trail.EFFECTIVE
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
