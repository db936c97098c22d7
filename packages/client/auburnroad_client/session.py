"""Connections of one command to the log service and the daemons."""

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
      timeout_seconds: Longest run time in seconds.

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
      answers: Answers with the address; None to read the file that the
        options name, if needed.

    Yields:
      The log service.

    Raises:
      BadInputError: If neither a flag nor answers contain the address.
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
    """Find the addresses of the daemons of the deployment.

    The answers in force take precedence over those of a file, which may be
    newer or older than the running deployment.

    Args:
      options: Flags of the command.

    Returns:
      Entries first, then sides; only the entries if flags name them.

    Raises:
      BadInputError: If the address of the log service is unknown.
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
        # Daemons run on through an outage of the log service, so that the
        # answers of the file can still be used to query them.
        if answers is None:
            raise
    if answers is None:
        raise exit_codes.NotFoundError(
            'nothing is in force yet', 'auburnroad publish FILE'
        )
    return daemons.list_places(answers)
