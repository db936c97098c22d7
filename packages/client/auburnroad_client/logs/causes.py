"""Rules that derive the likely cause of a failure from log lines.

A rule is a function that returns a sentence if it applies, else an empty
string. The registry holds the rules by name.
"""

import typing

from auburnroad_client.logs import reading
from auburnroad_core import registry

Lines = list[reading.Line]
CauseRule = typing.Callable[[Lines, Lines], str]

CAUSES: registry.Registry[CauseRule] = registry.Registry('cause')
# Causes are reported in this order, the most specific one first.
ORDER = (
    'terminated',
    'not_configured',
    'key_refused',
    'configuration_unread',
    'batch_refused',
    'crashes_replicas',
    'held',
    'release_unavailable',
    'no_replica',
    'reward_call',
    'reward_route',
    'replica_gone',
    'silent_replica',
    'orphaned',
    'usage_incomplete',
    'usage_late',
    'log_away',
    'slow_replica',
)


def find_causes(lines: Lines, context: Lines) -> list[str]:
    """Find the likely causes of the events of an id.

    Args:
      lines: Lines that mention the id, by time.
      context: Lines about the hosts and replicas of the id, by time; see
        Timeline.around.

    Returns:
      One sentence per cause, the most specific one first.
    """
    found = []
    for name in ORDER:
        text = CAUSES.get(name)(lines, context)
        if text:
            found.append(text)
    return found


def _find_event(lines: Lines, *events: str) -> reading.Line | None:
    return next((line for line in lines if line.event in events), None)


def _format_list(value: object) -> str:
    if isinstance(value, list):
        return ', '.join(map(str, value)) or 'none'
    return str(value)


@CAUSES.register('terminated')
def _explain_terminated(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'item_terminated')
    if line is None:
        return ''
    return (
        f'the item was terminated: {line.fields.get("reason")}, after '
        f'{line.fields.get("failures")} failed runs'
    )


@CAUSES.register('not_configured')
def _explain_not_configured(lines: Lines, context: Lines) -> str:
    if _find_event(context, 'configuration_in_force') or not _find_event(
        context, 'started'
    ):
        return ''
    return 'the gateway had started but had not read a configuration yet'


@CAUSES.register('key_refused')
def _explain_key(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'key_refused', 'key_unchecked')
    if line is None:
        return ''
    key = line.fields.get('fingerprint')
    if line.event == 'key_unchecked':
        return (
            f'{line.host} could not read the accounts to decide on the key '
            f'with fingerprint {key}'
        )
    if key == 'missing':
        return 'the request had no key, or none that could be read'
    return (
        f'no account of revision {line.fields.get("revision")} had the key '
        f'with fingerprint {key}'
    )


@CAUSES.register('configuration_unread')
def _explain_configuration_unread(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'request_refused')
    if line is None or line.fields.get('code') != 'configuration_unread':
        return ''
    return (
        f'revision {line.fields.get("revision")} does not allow the request, '
        f"and {line.host} had not read the operators' topic for "
        f'{line.fields.get("age_ms")} ms, so that a newer one may'
    )


@CAUSES.register('batch_refused')
def _explain_batch_refused(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'batch_refused', 'batch_in_doubt')
    if line is None:
        return ''
    known = 'is not' if line.event == 'batch_refused' else 'may be'
    return (
        f'the log did not confirm the batch in {line.fields.get("took_ms")} '
        f'ms, and the batch {known} in the log: the log service was '
        f'unavailable to {line.host}'
    )


@CAUSES.register('no_replica')
def _explain_no_replica(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'request_failed', 'stream_refused')
    if line is None or line.fields.get('outcome') == 'timed_out':
        return ''
    tried = _format_list(line.fields.get('replicas', []))
    reason = line.fields.get('reason')
    return f'no attempt was answered ({reason}); replicas tried: {tried}'


@CAUSES.register('crashes_replicas')
def _explain_quarantined(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'request_quarantined')
    if line is None:
        return ''
    return (
        'the request crashes the replicas that run it; see run_broken and '
        f'crash_recorded with fingerprint {line.fields.get("fingerprint")}'
    )


@CAUSES.register('held')
def _explain_held(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'request_held')
    if line is None:
        return ''
    return (
        'a replica ended under the request, which is kept away from the last '
        f'half of the replicas of {line.fields.get("service")} until those '
        'that ended are back; see run_broken with fingerprint '
        f'{line.fields.get("fingerprint")}'
    )


@CAUSES.register('release_unavailable')
def _explain_not_resumed(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'stream_not_resumed')
    if line is None:
        return ''
    begun_by = line.fields.get('begun_by')
    if line.fields.get('release') is None:
        reason = line.fields.get('reason', 'reason not logged')
        return (
            f'{line.host} did not know which software version began the '
            f'stream of attempt {begun_by or "that was not named"}: {reason}'
        )
    return (
        f'no replica of the software version that began the stream of '
        f'attempt {begun_by} accepted work'
    )


@CAUSES.register('silent_replica')
def _explain_silent_replica(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'request_failed')
    if line is not None and line.fields.get('outcome') == 'timed_out':
        tried = _format_list(line.fields.get('replicas', []))
        return f'the deadline passed while replicas ran the request: {tried}'
    moved = [
        entry
        for entry in lines
        if entry.event == 'item_moved'
        and entry.fields.get('reason') == 'stalled'
    ]
    if not moved:
        return ''
    replicas = sorted({str(entry.fields.get('replica')) for entry in moved})
    return f'runs stalled at {", ".join(replicas)} and moved to other replicas'


@CAUSES.register('reward_call')
def _explain_reward_call(lines: Lines, context: Lines) -> str:
    failed = [line for line in lines if line.event == 'reward_call_failed']
    if not failed:
        return ''
    reasons = sorted({str(line.fields.get('reason')) for line in failed})
    return (
        f'the score was late or missing: {len(failed)} reward calls failed '
        f'({", ".join(reasons)})'
    )


@CAUSES.register('reward_route')
def _explain_reward_route(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'reward_route_missing')
    if line is None:
        return ''
    return (
        f'no route of {line.host} matched the reward calls to '
        f'{line.fields.get("target")}; the batch was refused'
    )


@CAUSES.register('replica_gone')
def _explain_replica_gone(lines: Lines, context: Lines) -> str:
    line = _find_event(context, 'replica_gone')
    if line is None:
        return ''
    return (
        f'replica {line.fields.get("replica")} became unavailable: '
        f'{line.fields.get("reason")}'
    )


@CAUSES.register('orphaned')
def _explain_orphaned(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'batch_claimed')
    if line is None:
        return ''
    return (
        f'the owner {line.fields.get("previous")} was considered dead; '
        f'{line.host} resumed with {line.fields.get("finished")} items done'
    )


@CAUSES.register('log_away')
def _explain_log_unavailable(lines: Lines, context: Lines) -> str:
    line = _find_event(
        context, 'log_append_failing', 'log_read_failing', 'log_detour'
    )
    if line is None:
        return ''
    return (
        f'the log service failed for {line.host}: {line.fields.get("error")}'
    )


@CAUSES.register('slow_replica')
def _explain_slow_replica(lines: Lines, context: Lines) -> str:
    moved = [
        entry
        for entry in lines
        if entry.event == 'item_moved' and entry.fields.get('reason') == 'slow'
    ]
    if not moved:
        return ''
    worst = max(moved, key=lambda line: line.fields.get('pace_ms', 0))
    return (
        f'replica {worst.fields.get("replica")} was slow '
        f'({worst.fields.get("pace_ms")} ms per event); {len(moved)} moves'
    )


@CAUSES.register('usage_incomplete')
def _explain_usage_incomplete(lines: Lines, context: Lines) -> str:
    line = _find_event(lines, 'usage_incomplete')
    if line is None:
        return ''
    hosts = _format_list(line.fields.get('hosts', []))
    return f'the report was fixed before these hosts were done: {hosts}'


@CAUSES.register('usage_late')
def _explain_usage_late(lines: Lines, context: Lines) -> str:
    fixed = _find_event(lines, 'usage_fixed')
    sent = _find_event(lines, 'usage_sent', 'usage_given_up')
    if sent is None or not sent.fields.get('late', True):
        return ''
    if fixed is None:
        return 'the report was late, and no log line says when it was fixed'
    failed = sum(line.event == 'duty_call_failed' for line in context)
    return (
        f'the report was late: fixed {fixed.fields.get("after_ms")} ms after '
        f'the end of the window, then {failed} calls failed'
    )
