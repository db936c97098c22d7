"""Handlers of requests, and responses in place of handlers that fail."""

import asyncio
import typing

from absl import logging

from auburnroad_core.http import messages

Handler = typing.Callable[
    [messages.Request], typing.Awaitable[messages.Response]
]


def get_response(work: asyncio.Task) -> messages.Response:
    """Return the handler's response, or an error response without one."""
    if work.cancelled():
        return messages.build_json_response(
            504,
            {'error': {'code': 'stopped', 'message': 'the server stopped'}},
            {'auburnroad-outcome': 'unknown'},
        )
    error = work.exception()
    if error is None or isinstance(error, OSError):
        # A handler that can't respond raises an OSError, which closes the
        # connection.
        return work.result()
    logging.error('HTTP handler failed', exc_info=error)
    return messages.build_json_response(
        500,
        {'error': {'code': 'internal_error', 'message': 'a fault of ours'}},
        {'auburnroad-outcome': 'unknown'},
    )
