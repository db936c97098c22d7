"""The flags that every command takes, and the addresses that follow.

Addresses come from a flag, else from an answers file, else from the answers
that are in force on the log service.
"""

import pathlib
import re

import msgspec

from auburnroad_client import exit_codes
from auburnroad_client.questionnaire import answer_checks
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import files

_ADDRESS = re.compile(r'[0-9]+(\.[0-9]+){3}:[0-9]{1,5}')


class Options(msgspec.Struct, frozen=True):
    """Flags of every command.

    Attributes:
      json: Whether to print JSON for programs.
      log_service: Address of the log service, or empty.
      entries: HTTP addresses of entries, or empty.
      answers: Path of an answers file, or empty for ./answers.jsonc if it is
        there.
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
      entry: Addresses between commas, or empty.
      answers: Path, or empty.

    Returns:
      The options.

    Raises:
      BadInputError: If an address is none.
    """
    entries = tuple(part for part in entry.split(',') if part)
    for flag, address in [
        ('--log_service', log_service),
        *[('--entry', address) for address in entries],
    ]:
        if address and not _ADDRESS.fullmatch(address):
            raise exit_codes.BadInputError(
                f'{flag}: {address!r} is no address',
                "give 'IP number:port'",
            )
    return Options(json, log_service, entries, answers)


def read_answers(options: Options) -> answer_types.Answers | None:
    """Read the answers file that addresses are taken from.

    Args:
      options: Flags of the command.

    Returns:
      The answers, or None when no file is named and none is here.

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
      answers: Answers that are known, or None.

    Returns:
      Its address.

    Raises:
      BadInputError: If nothing names it.
    """
    if options.log_service:
        return options.log_service
    if answers is not None:
        return answers.platform.log_service
    raise exit_codes.BadInputError(
        'the address of the log service is not known',
        'give --log_service IP:PORT or --answers FILE, or run this where'
        f' {files.ANSWERS_NAME} is',
    )
