"""Names the likely cause of a failure from the lines around it.

A cause is a function from the story of an id to a sentence. The registry
holds them by name; the most specific one that applies is told first.
"""

import typing

from auburnroad_client.logs import reading
from auburnroad_core import registry

Lines = list[reading.Line]
Cause = typing.Callable[[Lines, Lines], str]

CAUSES: registry.Registry[Cause] = registry.Registry('cause')
# Most specific first.
ORDER = (
    'terminated',
    'not_configured',
    'batch_refused',
    'no_replica',
    'replica_gone',
    'silent_replica',
    'orphaned',
    'log_away',
    'slow_replica',
)


def find_causes(story: Lines, around: Lines) -> list[str]:
    """Find what explains a story.

    Args:
      story: Lines that speak of the id, by time.
      around: Lines about its hosts and replicas at the time, by time.

    Returns:
      Sentences, the most specific one first.
    """
    found = []
    for name in ORDER:
        text = CAUSES.get(name)(story, around)
        if text:
            found.append(text)
    return found


def _find(lines: Lines, *events: str) -> reading.Line | None:
    return next((line for line in lines if line.event in events), None)


def _list(value: object) -> str:
    if isinstance(value, list):
        return ', '.join(map(str, value)) or 'none'
    return str(value)


@CAUSES.register('terminated')
def _explain_terminated(story: Lines, around: Lines) -> str:
    line = _find(story, 'item_terminated')
    if line is None:
        return ''
    return (
        f'the item was terminated: {line.fields.get("reason")}, after '
        f'{line.fields.get("failures")} failed runs'
    )


@CAUSES.register('not_configured')
def _explain_not_configured(story: Lines, around: Lines) -> str:
    if _find(around, 'configuration_in_force') or not _find(around, 'started'):
        return ''
    return 'the gateway had started and could not read a configuration yet'


@CAUSES.register('batch_refused')
def _explain_batch_refused(story: Lines, around: Lines) -> str:
    line = _find(story, 'batch_refused', 'batch_in_doubt')
    if line is None:
        return ''
    known = 'is not' if line.event == 'batch_refused' else 'may be'
    return (
        f'the batch was not in the log after {line.fields.get("took_ms")} ms '
        f'and {known} in it: the log service was away from {line.host}'
    )


@CAUSES.register('no_replica')
def _explain_no_replica(story: Lines, around: Lines) -> str:
    line = _find(story, 'request_failed', 'stream_refused')
    if line is None or line.fields.get('outcome') == 'timed_out':
        return ''
    tried = _list(line.fields.get('replicas', []))
    reason = line.fields.get('reason')
    return f'no attempt was answered ({reason}); replicas tried: {tried}'


@CAUSES.register('silent_replica')
def _explain_silence(story: Lines, around: Lines) -> str:
    line = _find(story, 'request_failed')
    if line is not None and line.fields.get('outcome') == 'timed_out':
        tried = _list(line.fields.get('replicas', []))
        return f'the time ran out while these replicas worked: {tried}'
    moved = [
        entry
        for entry in story
        if entry.event == 'item_moved'
        and entry.fields.get('reason') == 'stalled'
    ]
    if not moved:
        return ''
    replicas = sorted({str(entry.fields.get('replica')) for entry in moved})
    return f'runs stalled at {", ".join(replicas)} and went on elsewhere'


@CAUSES.register('replica_gone')
def _explain_replica_gone(story: Lines, around: Lines) -> str:
    line = _find(around, 'replica_gone')
    if line is None:
        return ''
    return (
        f'replica {line.fields.get("replica")} was gone: '
        f'{line.fields.get("reason")}'
    )


@CAUSES.register('orphaned')
def _explain_orphaned(story: Lines, around: Lines) -> str:
    line = _find(story, 'batch_claimed')
    if line is None:
        return ''
    return (
        f'the owner {line.fields.get("previous")} was taken for dead, and '
        f'{line.host} went on with {line.fields.get("finished")} items done'
    )


@CAUSES.register('log_away')
def _explain_log_away(story: Lines, around: Lines) -> str:
    line = _find(
        around, 'log_append_failing', 'log_read_failing', 'log_detour'
    )
    if line is None:
        return ''
    return (
        f'the log service failed for {line.host}: {line.fields.get("error")}'
    )


@CAUSES.register('slow_replica')
def _explain_slow(story: Lines, around: Lines) -> str:
    moved = [
        entry
        for entry in story
        if entry.event == 'item_moved' and entry.fields.get('reason') == 'slow'
    ]
    if not moved:
        return ''
    worst = max(moved, key=lambda line: line.fields.get('pace_ms', 0))
    return (
        f'replica {worst.fields.get("replica")} was slow '
        f'({worst.fields.get("pace_ms")} ms an event); {len(moved)} moves'
    )
