"""Commands status, audit and explain, which show state and history."""

import datetime
import urllib.parse

import msgspec

from auburnroad_client import audit_trail
from auburnroad_client import daemons
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client import overview
from auburnroad_client import session
from auburnroad_core import clock

Options = client_options.Options

MAX_CHANGES_SHOWN = 6


async def status(options: Options) -> output.Report:
    """Show daemons, hosts, replicas, trainers and versions.

    Args:
      options: Flags of the command.

    Returns:
      Tables of daemons, hosts, replicas, trainers and versions.

    Raises:
      UnavailableError: If no daemon answers.
    """
    places = await session.find_daemons(options)
    replies = await daemons.fetch_all(places, '/status')
    if not any(daemons.parse_status(reply) for reply in replies):
        raise _build_no_answer_error(replies)
    merged = overview.build_overview(replies)
    return output.Report(merged, overview.format_overview(merged))


def _build_no_answer_error(
    replies: list[daemons.Reply],
) -> exit_codes.UnavailableError:
    return exit_codes.UnavailableError(
        'no daemon answers',
        'check that they are running and that the addresses are right',
        [f'{r.place.address}: {r.error or r.status}' for r in replies],
    )


async def audit(options: Options, limit: int) -> output.Report:
    """Show who changed what and when.

    Args:
      options: Flags of the command.
      limit: How many of the last changes to show, 0 for all.

    Returns:
      The changes, oldest first.

    Raises:
      LogUnavailableError: If the log service can't be read.
    """
    async with session.open_log(options) as log:
        trail = await audit_trail.read_trail(log, limit)
    return output.Report(trail, format_trail(trail))


def format_trail(trail: list[audit_trail.TrailEntry]) -> str:
    """Format the audit trail as text.

    Args:
      trail: The changes, oldest first.

    Returns:
      One line per change, followed by the changed fields.
    """
    if not trail:
        return 'no change yet'
    lines = []
    for change in trail:
        lines += _format_entry(change)
    return '\n'.join(lines)


def _format_entry(change: audit_trail.TrailEntry) -> list[str]:
    head = (
        f'{change.revision:>6}  {format_time(change.at_ms)}'
        f'  {change.act:<8} {change.effect:<11} {change.author}'
    )
    if change.base_revision < 0 or not change.changes:
        return [f'{head}: {change.summary}']
    lines = [f'{head}, from revision {change.base_revision}:']
    lines += [f'          {c}' for c in change.changes[:MAX_CHANGES_SHOWN]]
    more = len(change.changes) - MAX_CHANGES_SHOWN
    if more > 0:
        lines.append(f'          and {more} more (--json has all)')
    return lines


def format_time(at_ms: int) -> str:
    """Format a time as text.

    Args:
      at_ms: Unix milliseconds.

    Returns:
      Text such as '2026-01-31 12:00:00Z', or dashes of the same width for an
      unknown time.
    """
    if not 0 < at_ms < 253402300799000:
        return '-' * 20
    moment = datetime.datetime.fromtimestamp(
        at_ms / clock.MS_PER_SECOND, datetime.timezone.utc
    )
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')


async def explain(options: Options, identity: str) -> output.Report:
    """Show the recorded events of a sample or request.

    Args:
      options: Flags of the command.
      identity: Sample id or request id.

    Returns:
      The events that the daemons have recorded, oldest first.

    Raises:
      UnavailableError: If no daemon answers.
      NotFoundError: If no daemon that answers has an event of the id.
    """
    places = await session.find_daemons(options)
    query = urllib.parse.quote(identity, safe='')
    replies = await daemons.fetch_all(places, f'/explain?id={query}')
    silent = [r.place.host or r.place.address for r in replies if not r.status]
    if len(silent) == len(replies):
        raise _build_no_answer_error(replies)
    events = build_events(replies)
    if not events:
        raise exit_codes.NotFoundError(
            f'no daemon that answers knows {identity!r}',
            'daemons remember requests for a limited time and forget them'
            ' when they are restarted',
            [f'no answer: {name}' for name in silent],
        )
    for name in silent:
        output.print_progress(f'no answer from {name}')
    shown = [{'at': _format_event_time(row), **row} for row in events]
    for row in shown:
        row.pop('at_ms', None)
    return output.Report(events, output.build_table(shown))


def _format_event_time(event: dict) -> str:
    at_ms = event.get('at_ms')
    if not isinstance(at_ms, int):
        return ''
    return f'{format_time(at_ms)[:-1]}.{at_ms % clock.MS_PER_SECOND:03}Z'


def build_events(replies: list[daemons.Reply]) -> daemons.Rows:
    """Merge the events of all daemons.

    Args:
      replies: Answers to GET /explain.

    Returns:
      One row per event with the daemon's host, oldest first.
    """
    events = []
    for reply in replies:
        if reply.status != 200:
            continue
        try:
            body = msgspec.json.decode(reply.body)
        except msgspec.DecodeError:
            continue
        if isinstance(body, dict):
            body = body.get('events', [])
        name = reply.place.host or reply.place.address
        events += [{'daemon': name, **row} for row in daemons.build_rows(body)]
    return sorted(events, key=lambda row: row.get('at_ms', 0))
