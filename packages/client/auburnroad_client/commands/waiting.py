"""Command wait, which waits for a revision on every daemon."""

import asyncio

import msgspec

from auburnroad_client import daemons
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client import session
from auburnroad_core import clock

POLL_SECONDS = 0.25


class WaitResult(msgspec.Struct):
    """Result of wait.

    Attributes:
      revision: Revision that was waited for.
      daemons: Number of daemons on which it is in force.
      silent: Daemons that did not answer.
    """

    revision: int
    daemons: int
    silent: list[str]


async def wait(
    options: client_options.Options,
    revision: int,
    timeout_seconds: float,
    skip_silent: bool,
) -> output.Report:
    """Wait until a revision is in force on all daemons.

    Args:
      options: Flags of the command.
      revision: Revision to wait for; a higher one counts too.
      timeout_seconds: Longest wait in seconds.
      skip_silent: Whether to ignore daemons that don't answer.

    Returns:
      Number of daemons on which the revision is in force.

    Raises:
      TimedOutError: If a daemon doesn't have the revision in time; the error
        names every such daemon.
    """
    deadline_ms = session.build_deadline(timeout_seconds)
    places = await session.find_daemons(options)
    shown = ''
    while True:
        outdated, silent = split_outdated(
            await daemons.fetch_all(places, '/status'), revision
        )
        count = len(places) - len(outdated) - len(silent)
        if not outdated and (not silent or (skip_silent and count)):
            report = WaitResult(revision, count, silent)
            return output.Report(report, _format_result(report))
        line = (
            f'revision {revision}: active on {count} of {len(places)} daemons'
        )
        if line != shown:
            output.print_progress(line)
            shown = line
        if not clock.seconds_until(deadline_ms):
            raise _build_timeout_error(line, outdated, silent)
        await asyncio.sleep(POLL_SECONDS)


def split_outdated(
    replies: list[daemons.Reply], revision: int
) -> tuple[list[str], list[str]]:
    """Find the daemons that lack a revision.

    Args:
      replies: Answers of all daemons to GET /status.
      revision: Revision that is waited for.

    Returns:
      Text for each daemon with a lower revision, and for each one without a
      valid answer.
    """
    outdated, silent = [], []
    for reply in replies:
        status = daemons.parse_status(reply)
        name = f'{reply.place.host or "?"} ({reply.place.address})'
        if status is None:
            silent.append(name)
        elif status.revision < revision:
            outdated.append(f'{name} at {status.revision}')
    return outdated, silent


def _format_result(report: WaitResult) -> str:
    text = (
        f'revision {report.revision} is in force on {report.daemons} daemons'
    )
    if report.silent:
        text += '; no answer from: ' + ', '.join(report.silent)
    return text


def _build_timeout_error(line, outdated, silent) -> exit_codes.TimedOutError:
    details = [f'older revision: {name}' for name in outdated]
    details += [f'no answer: {name}' for name in silent]
    return exit_codes.TimedOutError(
        f'{line} before the deadline',
        'see auburnroad status; --skip_silent ignores daemons without answer',
        details,
    )
