"""Plots failures over time, one line per cause, into a file."""

import collections

import matplotlib.figure

from auburnroad_client.logs import reading
from auburnroad_client.logs import summary

# Less frequent causes are plotted as one line.
MAX_CAUSES_SHOWN = 8
BIN_COUNT = 60
OTHER_CAUSES = 'others'
WIDTH_INCHES = 10
HEIGHT_INCHES = 5


def count_by_bin(
    log: reading.Log, rows: list[summary.Row], from_ms: int, until_ms: int
) -> tuple[list[float], dict[str, list[int]]]:
    """Count the log lines of each cause in bins of equal length.

    Args:
      log: Log lines of all processes.
      rows: Rows of the summary, the most frequent one first.
      from_ms: Unix milliseconds at which the first bin begins.
      until_ms: Unix milliseconds at which the last bin ends.

    Returns:
      Start of each bin in seconds after from_ms, and the counts per bin by
      event and cause.
    """
    bin_ms = max(1, (until_ms - from_ms) / BIN_COUNT)
    names = {
        (row.event, row.cause): f'{row.event} {row.cause}'.strip()
        for row in rows[:MAX_CAUSES_SHOWN]
    }
    counts: dict[str, list[int]] = collections.defaultdict(
        lambda: [0] * BIN_COUNT
    )
    for line, cause in summary.iterate_failures(log, from_ms, until_ms):
        name = names.get((line.event, cause), OTHER_CAUSES)
        bin_index = min(BIN_COUNT - 1, int((line.time_ms - from_ms) / bin_ms))
        counts[name][bin_index] += 1
    starts = [number * bin_ms / 1000 for number in range(BIN_COUNT)]
    return starts, dict(counts)


def draw_plot(log: reading.Log, rows: list[summary.Row], path: str) -> None:
    """Plot failures over time.

    Args:
      log: Log lines of all processes.
      rows: Rows of the summary, the most frequent one first; at least one.
      path: File to write; its suffix selects the format.

    Raises:
      OSError: If the file can't be written.
      ValueError: If the suffix names no known format.
    """
    from_ms = min(row.first_ms for row in rows)
    until_ms = max(row.last_ms for row in rows)
    starts, counts = count_by_bin(log, rows, from_ms, until_ms)
    figure = matplotlib.figure.Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    axes = figure.subplots()
    for name, values in counts.items():
        axes.step(starts, values, where='post', label=name)
    axes.set_xlabel(f'seconds after {from_ms} (Unix milliseconds)')
    axes.set_ylabel('lines per interval')
    axes.legend(fontsize='small')
    figure.savefig(path)
