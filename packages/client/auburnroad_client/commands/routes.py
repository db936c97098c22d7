"""Commands routes and route_changes, which read configuration files.

The files hold the value of the operators' configuration record on the users'
platform.
"""

import pathlib

import msgspec

from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client.routes import changes
from auburnroad_client.routes import overview
from auburnroad_gateway.model import configuration
from auburnroad_platform import configuration as platform_configuration

Options = client_options.Options


async def show_routes(
    options: Options, path: str, host: str, service: str, problems: bool
) -> output.Report:
    """Show the routes of a configuration, grouped, or their problems.

    Args:
      options: Flags of the command.
      path: File with the configuration.
      host: Host to show; empty for all.
      service: Service to show; empty for all.
      problems: Whether to show only the routes that need attention.

    Returns:
      A table.

    Raises:
      NotFoundError: If the file doesn't exist.
      BadInputError: If the file has no valid configuration.
    """
    current = read_configuration(path)
    if problems:
        found = overview.find_problems(current)
        rows = [msgspec.to_builtins(problem) for problem in found]
        text = output.build_table(rows) if rows else 'no problems'
        return output.Report(rows, text)
    groups = overview.group_routes(current.routes, host, service)
    rows = [msgspec.to_builtins(group) for group in groups]
    shown = [
        {**row, 'prefixes': overview.format_prefixes(row['prefixes'])}
        for row in rows
    ]
    text = output.build_table(shown) if shown else 'no routes'
    return output.Report(rows, text)


async def show_changes(
    options: Options, old_path: str, new_path: str
) -> output.Report:
    """Show what a configuration changes for which callers.

    Args:
      options: Flags of the command.
      old_path: File with the earlier configuration.
      new_path: File with the later configuration.

    Returns:
      A table.

    Raises:
      NotFoundError: If a file doesn't exist.
      BadInputError: If a file has no valid configuration.
    """
    found = changes.compare_routes(
        read_configuration(old_path), read_configuration(new_path)
    )
    rows = [msgspec.to_builtins(change) for change in found]
    text = output.build_table(rows) if rows else 'nothing changes'
    return output.Report(rows, text)


def read_configuration(path: str) -> configuration.Configuration:
    """Read a file with the value of the operators' configuration record.

    Args:
      path: The file.

    Returns:
      The configuration.

    Raises:
      NotFoundError: If the file doesn't exist.
      BadInputError: If the file has no valid configuration.
    """
    try:
        value = pathlib.Path(path).read_bytes()
        return platform_configuration.decode_configuration(value)
    except FileNotFoundError as error:
        raise exit_codes.NotFoundError(
            str(error), 'name a file with a configuration record', []
        ) from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise exit_codes.BadInputError(
            f'{path}: {error}', 'name a file with a configuration record', []
        ) from error
