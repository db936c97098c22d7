"""Waiting for an event with a timeout."""

import asyncio


async def wait_with_timeout(signal: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set or a timeout passes, and clear the event.

    Args:
      signal: The event.
      seconds: Timeout in seconds.
    """
    try:
        async with asyncio.timeout(seconds):
            await signal.wait()
    except TimeoutError:
        return
    signal.clear()
