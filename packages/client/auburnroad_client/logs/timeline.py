"""Selects the log lines of one id and the context of these lines."""

import msgspec

from auburnroad_client.logs import causes
from auburnroad_client.logs import reading

# Faults up to 4000 ms before the first line of an id may have caused its
# failure.
CONTEXT_BEFORE_MS = 4000
CONTEXT_AFTER_MS = 1000
MAX_CONTEXT_LINES_SHOWN = 20
CONTEXT_EVENTS = frozenset(
    (
        'started',
        'stopping',
        'stopped',
        'work_failed',
        'log_append_failing',
        'log_append_recovered',
        'log_read_failing',
        'log_read_recovered',
        'log_detour',
        'heartbeat_not_sent',
        'member_dead',
        'replica_gone',
        'replica_leaving',
        'replica_state_changed',
        'order_sent',
        'order_failed',
        'duty_changed',
        'duty_call_failed',
        'usage_not_written',
        'usage_report_not_written',
        'configuration_in_force',
    )
)


class Timeline(msgspec.Struct):
    """Log lines of one id with their context and likely causes.

    Attributes:
      id: The id.
      lines: Lines that mention the id, by time.
      around: Context: lines about the hosts and replicas of the id, from
        CONTEXT_BEFORE_MS before its first line to CONTEXT_AFTER_MS after its
        last line.
      causes: Likely causes, the most specific one first.
    """

    id: str
    lines: list[reading.Line]
    around: list[reading.Line]
    causes: list[str]


def build_timeline(log: reading.Log, identity: str) -> Timeline:
    """Build the timeline of an id.

    Args:
      log: Log lines of all processes.
      identity: Id of a request, batch, item, replica or incarnation, a host's
        name, or the number of a window of the usage report.

    Returns:
      The timeline; without lines if no log line mentions the id.
    """
    lines = [line for line in log.lines if _mentions(line, identity)]
    rewards = {line.fields.get('reward') for line in lines} - {None, ''}
    if rewards:
        # Reward calls are logged by their own id.
        lines = [
            line
            for line in log.lines
            if _mentions(line, identity)
            or line.fields.get('reward') in rewards
        ]
    around = _find_context(log, lines)
    return Timeline(identity, lines, around, causes.find_causes(lines, around))


def _mentions(line: reading.Line, identity: str) -> bool:
    if line.host == identity:
        return True
    if str(line.fields.get('window', '')) == identity:
        return True
    return any(
        value == identity or (isinstance(value, list) and identity in value)
        for value in line.fields.values()
    )


def _find_context(log: reading.Log, lines: list[reading.Line]):
    if not lines:
        return []
    hosts = {line.host for line in lines}
    replicas = set()
    for line in lines:
        replicas.add(line.fields.get('replica'))
        replicas.update(line.fields.get('replicas', []))
        # Hosts whose counts of a window are missing.
        hosts.update(line.fields.get('hosts', []))
    begin = lines[0].time_ms - CONTEXT_BEFORE_MS
    end = lines[-1].time_ms + CONTEXT_AFTER_MS
    known = {id(line) for line in lines}
    return [
        line
        for line in log.lines
        if begin <= line.time_ms <= end
        and id(line) not in known
        and line.event in CONTEXT_EVENTS
        and (
            line.host in hosts
            if 'replica' not in line.fields
            else line.fields['replica'] in replicas
        )
    ]


def format_timeline(timeline: Timeline) -> str:
    """Format a timeline as text.

    Args:
      timeline: The timeline.

    Returns:
      The causes, then the lines by time. '~' marks lines of the context, of
      which only the newest are shown.
    """
    parts = [f'{timeline.id}: {len(timeline.lines)} lines']
    parts += [f'likely cause: {text}' for text in timeline.causes]
    if not timeline.causes:
        parts.append('likely cause: none found in the logs')
    shown = {id(line) for line in timeline.around[-MAX_CONTEXT_LINES_SHOWN:]}
    for line in sorted(
        [*timeline.lines, *timeline.around], key=lambda line: line.time_ms
    ):
        own = line in timeline.lines
        if own or id(line) in shown:
            mark = ' ' if own else '~'
            parts.append(f'{mark} {format_line(line)}')
    return '\n'.join(parts)


def format_line(line: reading.Line) -> str:
    """Format one log line as text."""
    fields = ' '.join(f'{name}={value}' for name, value in line.fields.items())
    return f'{line.time_ms} {line.host:<24} {line.event:<22} {fields}'
