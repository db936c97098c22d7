"""Draws failures over time, one line a cause, into a file."""

import collections

import matplotlib.figure

from auburnroad_client.logs import reading
from auburnroad_client.logs import summary

# Causes beyond the most frequent ones are drawn together.
MOST_CAUSES = 8
BINS = 60
OTHERS = 'others'
WIDTH_INCHES = 10
HEIGHT_INCHES = 5


def count_over_time(
    log: reading.Log, rows: list[summary.Row], from_ms: int, until_ms: int
) -> tuple[list[float], dict[str, list[int]]]:
    """Count the lines of each cause in spans of equal length.

    Args:
      log: The lines of all processes.
      rows: Their causes, the most frequent one first.
      from_ms: Unix milliseconds at which the first span begins.
      until_ms: Unix milliseconds at which the last one ends.

    Returns:
      Start of each span in seconds from the first one, and counts a span by
      the cause's name.
    """
    span_ms = max(1, (until_ms - from_ms) / BINS)
    names = {
        (row.event, row.cause): f'{row.event} {row.cause}'.strip()
        for row in rows[:MOST_CAUSES]
    }
    counts: dict[str, list[int]] = collections.defaultdict(lambda: [0] * BINS)
    for line, cause in summary.iterate_counted(log, from_ms, until_ms):
        name = names.get((line.event, cause), OTHERS)
        span = min(BINS - 1, int((line.time_ms - from_ms) / span_ms))
        counts[name][span] += 1
    starts = [number * span_ms / 1000 for number in range(BINS)]
    return starts, dict(counts)


def draw(log: reading.Log, rows: list[summary.Row], path: str) -> None:
    """Draw failures over time.

    Args:
      log: The lines of all processes.
      rows: Their causes, the most frequent one first; one at least.
      path: File to write; its ending names the format.

    Raises:
      OSError: If the file can't be written.
      ValueError: If its ending names no known format.
    """
    from_ms = min(row.first_ms for row in rows)
    until_ms = max(row.last_ms for row in rows)
    starts, counts = count_over_time(log, rows, from_ms, until_ms)
    figure = matplotlib.figure.Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    axes = figure.subplots()
    for name, values in counts.items():
        axes.step(starts, values, where='post', label=name)
    axes.set_xlabel(f'seconds from {from_ms} (Unix milliseconds)')
    axes.set_ylabel('lines a span')
    axes.legend(fontsize='small')
    figure.savefig(path)
