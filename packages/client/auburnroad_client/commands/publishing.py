"""Command publish, which puts a configuration in force."""

import msgspec

from auburnroad_client.commands import answers as answer_commands
from auburnroad_client import configuration
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client import pack
from auburnroad_client import progress
from auburnroad_client.questionnaire import answer_checks
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import compare
from auburnroad_client.questionnaire import generate
from auburnroad_client import session
from auburnroad_core import clock
from auburnroad_core.log import records
from auburnroad_core.platform import log_service

Options = client_options.Options

MAX_SUMMARY_CHANGES = 4


class PublishResult(msgspec.Struct):
    """Result of publish.

    Attributes:
      accepted: Always True, set after the record was read back in force.
      revision: Revision that was published.
      base_revision: Revision that the answers are based on.
      superseded_by: Newer revision that has replaced this one since, -1 for
        none.
      changes: Answers that differ from the base's.
      settings: Hosts whose daemons have to be restarted with new settings.
    """

    accepted: bool
    revision: int
    base_revision: int
    superseded_by: int
    changes: list[compare.Change]
    settings: list[str]


async def publish(
    options: Options,
    file: str,
    author: str,
    base: int | None,
    timeout_seconds: float,
) -> output.Report:
    """Publish the configuration that an answers file generates.

    Args:
      options: Flags of the command.
      file: Path of the answers file.
      author: Operator's name.
      base: Revision that the answers are based on; None for the revision in
        force.
      timeout_seconds: Seconds after which the command stops retrying.

    Returns:
      The revision, after it was read back in force.

    Raises:
      InvalidInputError: With every mistake of the file.
      ConflictError: If another operator published a newer revision first.
      LogUnavailableError: If the log service can't be reached and nothing was
        published.
      OutcomeUnknownError: If the record may have been appended but could not
        be read back in time.
    """
    answers = answer_checks.read_answers(file)
    deadline_ms = session.build_deadline(timeout_seconds)
    async with session.open_log(options, answers) as log:
        return await publish_answers(log, answers, author, base, deadline_ms)


async def publish_answers(
    log: log_service.LogService,
    answers: answer_types.Answers,
    author: str,
    base: int | None,
    deadline_ms: int,
) -> output.Report:
    """Publish the configuration generated from checked answers.

    Args:
      log: The log service.
      answers: Checked answers.
      author: Operator's name.
      base: Revision that the answers are based on; None for the revision in
        force.
      deadline_ms: Unix milliseconds after which there is no retry.

    Returns:
      The revision, after it was read back in force.

    Raises:
      ConflictError: If another operator published a newer revision first.
      BadInputError: If the log belongs to another deployment.
      LogUnavailableError: If the log service can't be reached and nothing was
        published.
      OutcomeUnknownError: If the record may have been appended but could not
        be read back in time.
    """
    state = await configuration.read_state(log)
    _check_deployment(state, answers)
    if base is not None and base != state.revision:
        raise await configuration.build_conflict_error(log, base)
    difference = answer_commands.build_difference(state, answers)
    record = build_publish(difference, answers, author, clock.time_now_ms())
    accepted = await _append_with_progress(log, record, deadline_ms)
    newest = accepted.state.revision
    published = PublishResult(
        True,
        accepted.revision,
        difference.base_revision,
        newest if newest != accepted.revision else -1,
        difference.answers,
        difference.settings,
    )
    return output.Report(published, _format_publication(published))


def _check_deployment(state, answers) -> None:
    """Check that the log belongs to the deployment of the answers."""
    if state.revision < 0:
        return
    name = msgspec.json.decode(state.deployment).get('name')
    if name != answers.deployment:
        raise exit_codes.BadInputError(
            f'the deployment in force is {name!r}, and the answers are for'
            f' {answers.deployment!r}',
            'check the address of the log service',
        )


def build_publish(
    difference: answer_commands.DiffResult,
    answers: answer_types.Answers,
    author: str,
    now_ms: int,
) -> records.Publish:
    """Build the record that publishes answers.

    Args:
      difference: Changes against the revision in force.
      answers: Checked answers.
      author: Operator's name.
      now_ms: Unix milliseconds.

    Returns:
      The record.
    """
    deployment = generate.build_deployment(answers)
    return records.Publish(
        base_revision=difference.base_revision,
        author=author,
        at_ms=now_ms,
        summary=summarize(difference),
        deployment=msgspec.Raw(msgspec.json.encode(deployment)),
        answers=pack.pack_answers(answers),
    )


def summarize(difference: answer_commands.DiffResult) -> str:
    """Summarize changes in one line for the audit trail.

    Args:
      difference: Changes against the revision in force.

    Returns:
      The first changes and the number of further ones.
    """
    if difference.base_revision < 0:
        return 'first configuration'
    changes = difference.answers
    lines = [str(change) for change in changes[:MAX_SUMMARY_CHANGES]]
    if len(changes) > MAX_SUMMARY_CHANGES:
        lines.append(f'and {len(changes) - MAX_SUMMARY_CHANGES} more')
    return '; '.join(lines) or 'no change'


async def _append_with_progress(
    log, record, deadline_ms
) -> configuration.Accepted:
    async with progress.show_progress(
        'waiting for the log service to confirm the record'
    ):
        return await configuration.append_and_read_back(
            log, record, deadline_ms
        )


def _format_publication(published: PublishResult) -> str:
    lines = [f'accepted: revision {published.revision} is in force']
    if published.superseded_by >= 0:
        lines = [
            f'accepted: revision {published.revision} was in force, and'
            f' revision {published.superseded_by} has replaced it since'
        ]
    lines += [f'  {change}' for change in published.changes]
    if published.settings:
        hosts = ', '.join(published.settings)
        lines.append(
            f'restart the daemons with their new settings on: {hosts}'
        )
    lines.append(f'next: auburnroad wait {published.revision}')
    return '\n'.join(lines)
