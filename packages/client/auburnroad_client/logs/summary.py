"""Counts failures, refusals and unavailable dependencies by cause."""

import collections

import msgspec

from auburnroad_client.logs import reading

# Field with the cause by event; empty for an event without such a field.
CAUSE_FIELDS = {
    'request_failed': 'reason',
    'stream_refused': 'reason',
    'stream_broken': 'reason',
    'stream_not_resumed': 'reason',
    'request_quarantined': 'fingerprint',
    'request_held': 'service',
    'run_broken': 'found',
    'item_restarted': 'release',
    'batch_refused': '',
    'batch_in_doubt': '',
    'batch_claimed': '',
    'batch_not_loaded': 'error',
    'item_terminated': 'reason',
    'item_attempt_ended': 'how',
    'item_moved': 'reason',
    'order_failed': 'error',
    'log_append_failing': 'error',
    'log_read_failing': 'error',
    'member_dead': 'member',
    'work_failed': 'error',
}


class Row(msgspec.Struct):
    """Number of log lines with one event and cause.

    Attributes:
      event: Name of the event.
      cause: Text of the field with the cause, or empty.
      count: Number of lines.
      hosts: Number of hosts that wrote these lines.
      first_ms: Unix milliseconds of the first line.
      last_ms: Unix milliseconds of the last line.
    """

    event: str
    cause: str
    count: int
    hosts: int
    first_ms: int
    last_ms: int


def build_summary(
    log: reading.Log, from_ms: int = 0, until_ms: int = 0
) -> list[Row]:
    """Count log lines by event and cause.

    Args:
      log: Log lines of all processes.
      from_ms: Unix milliseconds; earlier lines are ignored.
      until_ms: Unix milliseconds; later lines are ignored. Zero for no limit.

    Returns:
      Rows, the most frequent cause first.
    """
    grouped = collections.defaultdict(list)
    for line, cause in iterate_failures(log, from_ms, until_ms):
        grouped[line.event, cause].append(line)
    rows = [
        Row(
            event,
            cause,
            len(lines),
            len({line.host for line in lines}),
            lines[0].time_ms,
            lines[-1].time_ms,
        )
        for (event, cause), lines in grouped.items()
    ]
    return sorted(rows, key=lambda row: -row.count)


def iterate_failures(log: reading.Log, from_ms: int, until_ms: int):
    """Yield the lines of failures, each with its cause.

    Args:
      log: Log lines of all processes.
      from_ms: Unix milliseconds; earlier lines are ignored.
      until_ms: Unix milliseconds; later lines are ignored. Zero for no limit.

    Yields:
      Each line of a failure, refusal or unavailable dependency, and the text
      of its cause.
    """
    for line in log.lines:
        if line.event not in CAUSE_FIELDS or line.time_ms < from_ms:
            continue
        if until_ms and line.time_ms > until_ms:
            continue
        yield line, str(line.fields.get(CAUSE_FIELDS[line.event], ''))
