"""Connections of one command: opened from its options, closed at its end."""

import contextlib
import typing

from auburnroad_client import configuration
from auburnroad_client import daemons
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.platform import log_service


def build_deadline(timeout_seconds: float) -> int:
    """Build the deadline of a command.

    Args:
      timeout_seconds: How long it may take.

    Returns:
      Unix milliseconds.
    """
    return clock.time_now_ms() + int(timeout_seconds * clock.MS_PER_SECOND)


@contextlib.asynccontextmanager
async def open_log(
    options: client_options.Options,
    answers: answer_types.Answers | None = None,
) -> typing.AsyncIterator[log_service.LogService]:
    """Open the log service that the options or the answers name.

    Args:
      options: Flags of the command.
      answers: Answers that are known; None to read them from the file that
        the options name, if it is needed.

    Yields:
      The log service.

    Raises:
      BadInputError: If nothing names its address.
    """
    if answers is None and not options.log_service:
        answers = client_options.read_answers(options)
    address = client_options.find_log_service(options, answers)
    http_client = client.HttpClient()
    try:
        yield log_service.HttpLogService(address, http_client)
    finally:
        http_client.close()


async def find_daemons(
    options: client_options.Options,
) -> list[daemons.Place]:
    """Find where the daemons of the deployment answer.

    The answers in force go before those of a file, which may be newer or
    older than what runs.

    Args:
      options: Flags of the command.

    Returns:
      Entries first; just the entries when flags name them.

    Raises:
      BadInputError: If nothing names an address.
      LogUnavailableError: If the log service can't be read and there is no
        answers file.
      NotFoundError: If nothing is in force.
    """
    if options.entries:
        return [
            daemons.Place(entry, role='entry') for entry in options.entries
        ]
    answers = client_options.read_answers(options)
    try:
        async with open_log(options, answers) as log:
            state = await configuration.read_state(log)
        answers = configuration.parse_answers(state) or answers
    except log_service.LogUnavailableError:
        # What runs goes on through an outage, and so does looking at it.
        if answers is None:
            raise
    if answers is None:
        raise exit_codes.NotFoundError(
            'nothing is in force yet', 'auburnroad publish FILE'
        )
    return daemons.list_places(answers)
