"""The commands explain --logs and logs: what logs alone tell."""

import msgspec

from auburnroad_client import exit_codes
from auburnroad_client.logs import reading
from auburnroad_client.logs import story as stories
from auburnroad_client.logs import summary
from auburnroad_client import options as client_options
from auburnroad_client import output

Options = client_options.Options


def split_paths(paths: object) -> list[str]:
    """Split what a flag gives: one path, several with commas, or a list."""
    if isinstance(paths, str):
        return [path for path in paths.split(',') if path]
    if isinstance(paths, (list, tuple)):
        return [str(path) for path in paths]
    return [str(paths)]


async def explain(
    options: Options, identity: str, paths: list[str]
) -> output.Report:
    """Tell the story of an id from logs, with no daemon running.

    Args:
      options: Flags of the command.
      identity: Id of a request, batch, item, replica or incarnation, or a
        host's name.
      paths: Files and directories.

    Returns:
      The story.

    Raises:
      NotFoundError: If no line speaks of the id, or a path names nothing.
    """
    log = _read(paths)
    story = stories.build_story(log, identity)
    if not story.lines:
        raise exit_codes.NotFoundError(
            f'no line speaks of {identity!r}',
            f'{len(log.lines)} lines were read, {log.broken} held no event',
            [],
        )
    return output.Report(
        msgspec.to_builtins(story), stories.describe_story(story)
    )


async def summarize(
    options: Options,
    paths: list[str],
    from_ms: int,
    until_ms: int,
    plot_path: str,
) -> output.Report:
    """Count failures, refusals and lost dependencies by cause.

    Args:
      options: Flags of the command.
      paths: Files and directories.
      from_ms: Unix milliseconds; earlier lines don't count.
      until_ms: Unix milliseconds; later lines don't count. Zero for all.
      plot_path: File to draw failures over time into; empty for none.

    Returns:
      A table, the most frequent cause first.

    Raises:
      NotFoundError: If a path names nothing.
      BadInputError: If the plot can't be written.
    """
    log = _read(paths)
    found = summary.build_summary(log, from_ms, until_ms)
    if plot_path and found:
        _draw(log, found, plot_path)
    rows = [msgspec.to_builtins(row) for row in found]
    text = output.build_table(rows) if rows else 'nothing failed'
    if log.broken:
        text += f'\n{log.broken} lines held no event'
    return output.Report(rows, text)


def _draw(log: reading.Log, found: list[summary.Row], path: str) -> None:
    # The library takes half a second to import: only when it is asked for.
    from auburnroad_client.logs import plot

    try:
        plot.draw(log, found, path)
    except (OSError, ValueError) as error:
        raise exit_codes.BadInputError(
            str(error), 'give a file that ends in .png or .svg', []
        ) from error


def _read(paths: list[str]) -> reading.Log:
    try:
        return reading.read_log(paths)
    except FileNotFoundError as error:
        raise exit_codes.NotFoundError(
            str(error), 'give files or directories of logs', []
        ) from error
