"""Picks the lines that tell the story of one id, and those around them."""

import msgspec

from auburnroad_client.logs import causes
from auburnroad_client.logs import reading

# Trouble this long before the first line may have caused what it tells.
BEFORE_MS = 4000
AFTER_MS = 1000
# Lines about hosts and replicas that are shown at most.
AROUND_SHOWN = 20
AROUND_EVENTS = frozenset(
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
        'replica_state_changed',
        'order_sent',
        'order_failed',
        'duty_changed',
        'configuration_in_force',
    )
)


class Story(msgspec.Struct):
    """What the logs tell of one id.

    Attributes:
      id: The id that was asked for.
      lines: Lines that speak of it, by time.
      around: Lines about its hosts and replicas at that time.
      causes: Likely causes, the most specific one first.
    """

    id: str
    lines: list[reading.Line]
    around: list[reading.Line]
    causes: list[str]


def build_story(log: reading.Log, identity: str) -> Story:
    """Tell the story of an id.

    Args:
      log: The lines of all processes.
      identity: Id of a request, batch, item, replica or incarnation, or a
        host's name.

    Returns:
      The story; without lines if no line speaks of the id.
    """
    lines = [line for line in log.lines if _speaks_of(line, identity)]
    around = _find_around(log, lines)
    return Story(identity, lines, around, causes.find_causes(lines, around))


def _speaks_of(line: reading.Line, identity: str) -> bool:
    if line.host == identity:
        return True
    return any(
        value == identity or (isinstance(value, list) and identity in value)
        for value in line.fields.values()
    )


def _find_around(log: reading.Log, lines: list[reading.Line]):
    if not lines:
        return []
    hosts = {line.host for line in lines}
    replicas = set()
    for line in lines:
        replicas.add(line.fields.get('replica'))
        replicas.update(line.fields.get('replicas', []))
    begin = lines[0].time_ms - BEFORE_MS
    end = lines[-1].time_ms + AFTER_MS
    known = {id(line) for line in lines}
    return [
        line
        for line in log.lines
        if begin <= line.time_ms <= end
        and id(line) not in known
        and line.event in AROUND_EVENTS
        and (
            line.host in hosts
            if 'replica' not in line.fields
            else line.fields['replica'] in replicas
        )
    ]


def describe_story(story: Story) -> str:
    """Write a story for people.

    Args:
      story: The story.

    Returns:
      Causes first, then the lines, with the newest ones around them.
    """
    parts = [f'{story.id}: {len(story.lines)} lines']
    parts += [f'likely cause: {text}' for text in story.causes]
    if not story.causes:
        parts.append('likely cause: the logs show none')
    shown = {id(line) for line in story.around[-AROUND_SHOWN:]}
    for line in sorted(
        [*story.lines, *story.around], key=lambda line: line.time_ms
    ):
        own = line in story.lines
        if own or id(line) in shown:
            mark = ' ' if own else '~'
            parts.append(f'{mark} {describe_line(line)}')
    return '\n'.join(parts)


def describe_line(line: reading.Line) -> str:
    """Write one line for people."""
    fields = ' '.join(f'{name}={value}' for name, value in line.fields.items())
    return f'{line.time_ms} {line.host:<24} {line.event:<22} {fields}'
