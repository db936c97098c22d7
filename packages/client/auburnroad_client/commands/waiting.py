"""The command wait: until a revision is in force on every daemon."""

import asyncio

import msgspec

from auburnroad_client import daemons
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client import session
from auburnroad_core import clock

POLL_SECONDS = 0.25


class InForce(msgspec.Struct):
    """Result of wait."""

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
      revision: The revision, or a higher one.
      timeout_seconds: How long to wait.
      skip_silent: Whether daemons that don't answer are passed over.

    Returns:
      On how many daemons it is in force.

    Raises:
      TimedOutError: If a daemon doesn't have it in time; the error names all
        of these.
    """
    deadline_ms = session.build_deadline(timeout_seconds)
    places = await session.find_daemons(options)
    shown = ''
    while True:
        behind, silent = split_behind(
            await daemons.ask(places, '/status'), revision
        )
        count = len(places) - len(behind) - len(silent)
        if not behind and (not silent or (skip_silent and count)):
            report = InForce(revision, count, silent)
            return output.Report(report, _describe_in_force(report))
        line = f'revision {revision}: on {count} of {len(places)} daemons'
        if line != shown:
            output.print_progress(line)
            shown = line
        if not clock.seconds_until(deadline_ms):
            raise _build_timed_out(line, behind, silent)
        await asyncio.sleep(POLL_SECONDS)


def split_behind(
    replies: list[daemons.Reply], revision: int
) -> tuple[list[str], list[str]]:
    """Find the daemons that don't have a revision.

    Args:
      replies: Answers of all daemons to GET /status.
      revision: The revision wanted.

    Returns:
      What to show of those that have a lower one, and of those that don't
      answer.
    """
    behind, silent = [], []
    for reply in replies:
        status = daemons.parse_status(reply)
        name = f'{reply.place.host or "?"} ({reply.place.address})'
        if status is None:
            silent.append(name)
        elif status.revision < revision:
            behind.append(f'{name} at {status.revision}')
    return behind, silent


def _describe_in_force(report: InForce) -> str:
    text = (
        f'revision {report.revision} is in force on {report.daemons} daemons'
    )
    if report.silent:
        text += '; without an answer: ' + ', '.join(report.silent)
    return text


def _build_timed_out(line, behind, silent) -> exit_codes.TimedOutError:
    details = [f'behind: {name}' for name in behind]
    details += [f'no answer: {name}' for name in silent]
    return exit_codes.TimedOutError(
        f'{line} in time',
        'look at auburnroad status; --skip_silent passes over dead hosts',
        details,
    )
