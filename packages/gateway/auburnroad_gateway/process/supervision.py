"""Restarts background work that fails."""

import asyncio
import typing

from auburnroad_gateway.telemetry import events

RESTART_DELAY_SECONDS = 0.2

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
            events.write_error('work_failed', error, work=repr(function))
        await asyncio.sleep(RESTART_DELAY_SECONDS)
