"""Flags of every command and the addresses that they select.

Addresses come from a flag, else from an answers file, else from the answers
in force on the log service.
"""

import pathlib
import re

import msgspec

from auburnroad_client import exit_codes
from auburnroad_client.questionnaire import answer_checks
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import files

_ADDRESS_PATTERN = re.compile(r'[0-9]+(\.[0-9]+){3}:[0-9]{1,5}')


class Options(msgspec.Struct, frozen=True):
    """Flags of every command.

    Attributes:
      json: Whether to print JSON for programs.
      log_service: Address of the log service, or empty.
      entries: HTTP addresses of entries, or empty.
      answers: Path of an answers file; if empty, ./answers.jsonc is used if it
        exists.
    """

    json: bool = False
    log_service: str = ''
    entries: tuple[str, ...] = ()
    answers: str = ''


def build_options(
    json: bool, log_service: str, entry: str, answers: str
) -> Options:
    """Build the options from flags.

    Args:
      json: Whether to print JSON.
      log_service: Address, or empty.
      entry: Comma-separated addresses, or empty.
      answers: Path, or empty.

    Returns:
      The options.

    Raises:
      BadInputError: If an address is malformed.
    """
    entries = tuple(part for part in entry.split(',') if part)
    for flag, address in [
        ('--log_service', log_service),
        *[('--entry', address) for address in entries],
    ]:
        if address and not _ADDRESS_PATTERN.fullmatch(address):
            raise exit_codes.BadInputError(
                f'{flag}: {address!r} is not an address',
                "use the form 'IP number:port'",
            )
    return Options(json, log_service, entries, answers)


def read_answers(options: Options) -> answer_types.Answers | None:
    """Read the answers file that the addresses come from.

    Args:
      options: Flags of the command.

    Returns:
      The answers, or None if no file is named and ./answers.jsonc does not
      exist.

    Raises:
      InvalidInputError: If the file has mistakes.
    """
    if options.answers:
        return answer_checks.read_answers(options.answers)
    if pathlib.Path(files.ANSWERS_NAME).is_file():
        return answer_checks.read_answers(files.ANSWERS_NAME)
    return None


def find_log_service(
    options: Options, answers: answer_types.Answers | None
) -> str:
    """Find the address of the log service.

    Args:
      options: Flags of the command.
      answers: Answers of a file, or None.

    Returns:
      The address.

    Raises:
      BadInputError: If neither a flag nor answers contain it.
    """
    if options.log_service:
        return options.log_service
    if answers is not None:
        return answers.platform.log_service
    raise exit_codes.BadInputError(
        'the address of the log service is not known',
        'use --log_service IP:PORT or --answers FILE, or run the command where'
        f' {files.ANSWERS_NAME} is',
    )
