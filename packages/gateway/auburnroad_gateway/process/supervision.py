"""Restarts background work that fails."""

import asyncio
import traceback
import typing

from auburnroad_gateway.telemetry import events

RESTART_DELAY_SECONDS = 0.2
# Number of innermost frames in a logged stack trace.
TRACE_FRAMES = 4

CoroutineFunction = typing.Callable[[], typing.Awaitable[None]]


async def supervise(function: CoroutineFunction) -> None:
    """Run background work and restart it whenever it ends or fails.

    A bug that raises an exception once must not end the work until the process
    is restarted: the exception is logged and the work is run again after a
    delay.

    Args:
      function: Coroutine function that does the work.
    """
    while True:
        try:
            await function()
        except Exception as error:
            events.write(
                'work_failed',
                work=repr(function),
                error=repr(error),
                trace=traceback.format_exc(limit=-TRACE_FRAMES),
            )
        await asyncio.sleep(RESTART_DELAY_SECONDS)
