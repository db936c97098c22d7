"""Waiting for an event with a timeout."""

import asyncio


async def wait_with_timeout(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set or a timeout passes, and clear the event.

    Args:
      event: The event to wait for.
      seconds: Timeout in seconds.
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
    event.clear()
