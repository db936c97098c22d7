"""Waiting for a signal, but not for long."""

import asyncio


async def wait_briefly(signal: asyncio.Event, seconds: float) -> None:
    """Wait until a signal is set or some time has passed, and clear it.

    Args:
      signal: The signal.
      seconds: How long to wait at most.
    """
    try:
        async with asyncio.timeout(seconds):
            await signal.wait()
    except TimeoutError:
        return
    signal.clear()
