"""Counts failures, refusals and lost dependencies by cause over a time."""

import collections

import msgspec

from auburnroad_client.logs import reading

# Event to the field that tells its cause.
COUNTED = {
    'request_failed': 'reason',
    'stream_refused': 'reason',
    'stream_broken': 'reason',
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
    """How often one cause was seen.

    Attributes:
      event: Event's name.
      cause: What its line tells as the cause.
      count: Number of lines.
      hosts: Number of hosts that wrote them.
      first_ms: Unix milliseconds of the first one.
      last_ms: Unix milliseconds of the last one.
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
    """Count by event and cause.

    Args:
      log: The lines of all processes.
      from_ms: Unix milliseconds; earlier lines don't count.
      until_ms: Unix milliseconds; later lines don't count. Zero for all.

    Returns:
      Rows, the most frequent one first.
    """
    grouped = collections.defaultdict(list)
    for line, cause in iterate_counted(log, from_ms, until_ms):
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


def iterate_counted(log: reading.Log, from_ms: int, until_ms: int):
    """Yield the lines that count, each with its cause.

    Args:
      log: The lines of all processes.
      from_ms: Unix milliseconds; earlier lines don't count.
      until_ms: Unix milliseconds; later lines don't count. Zero for all.

    Yields:
      Lines of failures, refusals and lost dependencies, and what each tells
      as its cause.
    """
    for line in log.lines:
        if line.event not in COUNTED or line.time_ms < from_ms:
            continue
        if until_ms and line.time_ms > until_ms:
            continue
        yield line, str(line.fields.get(COUNTED[line.event], ''))
