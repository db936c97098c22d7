"""Keeps work going that must not end before the process does."""

import asyncio
import traceback
import typing

from auburnroad_gateway.telemetry import events

# Pause before work that has failed begins again.
RESTART_SECONDS = 0.2
# Innermost frames of a failure that are logged.
TRACE_DEPTH = 4

Work = typing.Callable[[], typing.Awaitable[None]]


async def supervise(work: Work) -> None:
    """Run work that must go on for as long as the process lives.

    A fault of ours in one decision must not end all later ones: it is
    reported, and the work begins again.

    Args:
      work: Builds the coroutine.
    """
    while True:
        try:
            await work()
        except Exception as error:
            events.write(
                'work_failed',
                work=repr(work),
                error=repr(error),
                trace=traceback.format_exc(limit=-TRACE_DEPTH),
            )
        await asyncio.sleep(RESTART_SECONDS)
