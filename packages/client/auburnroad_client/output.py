"""Output of commands: tables for people, one JSON document for programs.

Results go to standard output; progress, questions and errors go to standard
error. With --json an error is the document on standard output.
"""

import sys
import typing

import msgspec
import tabulate

from auburnroad_client import exit_codes
from auburnroad_core import errors
from auburnroad_core.http import client
from auburnroad_core.platform import log_service


class Report(msgspec.Struct):
    """Result of a command.

    Attributes:
      value: Value that --json prints.
      text: Text for people.
    """

    value: typing.Any
    text: str


class Failure(msgspec.Struct):
    """Error of a command, as --json prints it.

    Attributes:
      code: Name of the exit code in lower case.
      exit_code: Exit code of the process.
      message: Error message.
      remedy: What to do about the error.
      mistakes: Mistakes of a file, each with its position.
      details: Further lines.
    """

    code: str
    exit_code: int
    message: str
    remedy: str = ''
    mistakes: list[errors.ErrorRecord] = []
    details: list[str] = []


class _FailureDocument(msgspec.Struct):
    error: Failure


def build_table(rows: list[dict[str, typing.Any]]) -> str:
    """Build a table for people.

    Args:
      rows: Values by column; a row may lack some columns.

    Returns:
      The table, or a dash if there are no rows.
    """
    if not rows:
        return '-'
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[format_cell(row.get(name)) for name in columns] for row in rows]
    headers = [name.replace('_', ' ') for name in columns]
    return tabulate.tabulate(
        cells, headers, tablefmt='plain', disable_numparse=True
    )


def format_cell(value: typing.Any) -> str:
    """Format one value for a table.

    Args:
      value: Any plain value.

    Returns:
      The text, or a dash for an empty value.
    """
    if value is None or value == '':
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, dict):
        pairs = [f'{name}={format_cell(v)}' for name, v in value.items()]
        return ' '.join(pairs) or '-'
    if isinstance(value, (list, tuple)):
        return ', '.join(format_cell(member) for member in value) or '-'
    return str(value)


def build_failure(error: BaseException) -> Failure:
    """Convert an error of a command to a failure.

    Args:
      error: Any error of a command.

    Returns:
      The failure.
    """
    if isinstance(error, exit_codes.CommandError):
        return _make_failure(
            error.exit_code, str(error), error.remedy, details=error.details
        )
    if isinstance(error, errors.InvalidInputError):
        return _make_failure(
            exit_codes.ExitCode.BAD_INPUT,
            error.message,
            'mend the file',
            mistakes=error.records,
        )
    if isinstance(error, log_service.AppendLostError):
        return _make_failure(
            exit_codes.ExitCode.OUTCOME_UNKNOWN,
            f'the answer of the log service was lost: {error}',
            'check auburnroad audit',
        )
    if isinstance(error, (log_service.LogError, client.HttpError)):
        return _make_failure(
            exit_codes.ExitCode.PLATFORM_UNAVAILABLE,
            f'the log service is unavailable: {error}',
            'nothing was changed; try again later',
        )
    return _make_failure(exit_codes.ExitCode.FAILED, f'{error}')


def _make_failure(code, message, remedy='', **more) -> Failure:
    return Failure(code.name.lower(), int(code), message, remedy, **more)


def print_report(report: Report, as_json: bool) -> None:
    """Print the result of a command.

    Args:
      report: The result.
      as_json: Whether a program reads it.
    """
    print(_encode(report.value) if as_json else report.text)


def print_failure(failure: Failure, as_json: bool) -> None:
    """Print the error of a command.

    Args:
      failure: The failure.
      as_json: Whether a program reads it.
    """
    if as_json:
        print(_encode(_FailureDocument(failure)))
        return
    lines = [f'error: {failure.message}']
    lines += [f'  {mistake}' for mistake in failure.mistakes]
    lines += [f'  {line}' for line in failure.details]
    if failure.remedy:
        lines.append(f'what to do: {failure.remedy}')
    print('\n'.join(lines), file=sys.stderr)


def print_progress(text: str) -> None:
    """Print a progress message on standard error.

    Args:
      text: One line.
    """
    print(text, file=sys.stderr, flush=True)


def _encode(value: typing.Any) -> str:
    return msgspec.json.encode(value).decode()
