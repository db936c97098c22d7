"""Denies what the configuration lacks only if that is known for sure.

A status of 404 is final to callers, and what is unknown to this entry may be
part of a newer configuration.
"""

import typing

from auburnroad_core.http import messages
from auburnroad_core.settings import deployment
from auburnroad_daemon.request import answers
from auburnroad_daemon.version import trainer_calls

UNKNOWN_STATUS = 404

Handler = typing.Callable[
    [deployment.Deployment], typing.Awaitable[messages.Response]
]
Confirm = typing.Callable[[], typing.Awaitable[bool]]


def build_unread_refusal(message: str) -> messages.Response:
    """Build the response to what a newer configuration may allow.

    Args:
      message: What the configuration in force lacks.

    Returns:
      A refusal with status 503; nothing was run.
    """
    return trainer_calls.build_retryable_refusal(
        'configuration_unread', f'{message}; a newer configuration may differ'
    )


async def handle_by_current(
    handle: Handler,
    find_deployment: typing.Callable[[], deployment.Deployment],
    confirm: Confirm,
) -> messages.Response:
    """Handle a request by the configuration in force.

    Args:
      handle: Handles the request by a configuration; runs nothing if it
        raises a BadRequestError.
      find_deployment: Returns the configuration in force.
      confirm: Tells whether the configuration was read recently, after
        reading it if need be.

    Returns:
      The response. What is unknown is handled again by a configuration that
      was read meanwhile, and refused if none can be read.
    """
    while True:
        deployed = find_deployment()
        try:
            return await handle(deployed)
        except answers.BadRequestError as error:
            if error.status == UNKNOWN_STATUS:
                if not await confirm():
                    return build_unread_refusal(str(error))
                if find_deployment() is not deployed:
                    continue
            return answers.refuse_bad_request(error)
