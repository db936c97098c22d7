"""Commands explain --logs, summarize and steps, which read only log files."""

import msgspec

from auburnroad_client import exit_codes
from auburnroad_client.logs import reading
from auburnroad_client.logs import steps as all_steps
from auburnroad_client.logs import summary
from auburnroad_client.logs import timeline as timelines
from auburnroad_client import options as client_options
from auburnroad_client import output

Options = client_options.Options


def split_paths(paths: object) -> list[str]:
    """Split a flag with one path, comma-separated paths or a list."""
    if isinstance(paths, str):
        return [path for path in paths.split(',') if path]
    if isinstance(paths, (list, tuple)):
        return [str(path) for path in paths]
    return [str(paths)]


async def explain(
    options: Options, identity: str, paths: list[str]
) -> output.Report:
    """Build the timeline of an id from log files, without any daemon.

    Args:
      options: Flags of the command.
      identity: Id of a request, batch, item, replica or incarnation, or a
        host's name.
      paths: Log files and directories.

    Returns:
      The timeline.

    Raises:
      NotFoundError: If no line mentions the id, or a path doesn't exist.
    """
    log = _read_logs(paths)
    timeline = timelines.build_timeline(log, identity)
    if not timeline.lines:
        raise exit_codes.NotFoundError(
            f'no log line mentions {identity!r}',
            f'{len(log.lines)} lines were read, {log.broken} had no event',
            [],
        )
    return output.Report(
        msgspec.to_builtins(timeline), timelines.format_timeline(timeline)
    )


async def summarize(
    options: Options,
    paths: list[str],
    from_ms: int,
    until_ms: int,
    plot_path: str,
) -> output.Report:
    """Count failures, refusals and unavailable dependencies by cause.

    Args:
      options: Flags of the command.
      paths: Log files and directories.
      from_ms: Unix milliseconds; earlier lines are ignored.
      until_ms: Unix milliseconds; later lines are ignored. Zero for no limit.
      plot_path: File for a plot of failures over time; empty for none.

    Returns:
      A table, the most frequent cause first.

    Raises:
      NotFoundError: If a path doesn't exist.
      BadInputError: If the plot can't be written.
    """
    log = _read_logs(paths)
    summary_rows = summary.build_summary(log, from_ms, until_ms)
    if plot_path and summary_rows:
        _draw_plot(log, summary_rows, plot_path)
    rows = [msgspec.to_builtins(row) for row in summary_rows]
    text = output.build_table(rows) if rows else 'nothing failed'
    if log.broken:
        text += f'\n{log.broken} lines had no event'
    return output.Report(rows, text)


async def show_steps(
    options: client_options.Options, paths: list[str]
) -> output.Report:
    """Show where the time of training steps went.

    Args:
      options: Flags of the command.
      paths: Log files and directories.

    Returns:
      A table of steps, and the sum of each phase.

    Raises:
      NotFoundError: If a path doesn't exist.
    """
    steps = all_steps.build_steps(_read_logs(paths))
    totals = all_steps.sum_phases(steps)
    rows = [msgspec.to_builtins(step) for step in steps]
    if not rows:
        return output.Report(rows, 'no step ended')
    sums = ', '.join(f'{phase} {total}' for phase, total in totals.items())
    return output.Report(rows, f'{output.build_table(rows)}\nsum: {sums}')


def _draw_plot(
    log: reading.Log, summary_rows: list[summary.Row], path: str
) -> None:
    # Imported here because matplotlib takes half a second to import.
    from auburnroad_client.logs import plot

    try:
        plot.draw_plot(log, summary_rows, path)
    except (OSError, ValueError) as error:
        raise exit_codes.BadInputError(
            str(error), 'use a file name that ends in .png or .svg', []
        ) from error


def _read_logs(paths: list[str]) -> reading.Log:
    try:
        return reading.read_log(paths)
    except FileNotFoundError as error:
        raise exit_codes.NotFoundError(
            str(error), 'name log files or directories of log files', []
        ) from error
