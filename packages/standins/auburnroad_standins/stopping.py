"""SIGTERM handler of trainers and callers that outlives the event loop.

The event loop removes its own signal handlers when it closes. A SIGTERM
during interpreter shutdown would then kill a process that had completed its
work, and its exit status would report a failure.
"""

import asyncio
import signal
import typing


def on_sigterm(callback: typing.Callable[[], None]) -> None:
    """Call a function in the running event loop at SIGTERM.

    Args:
      callback: Called without arguments. After the loop has closed, SIGTERM
        is ignored.
    """
    loop = asyncio.get_running_loop()

    def handle(number, frame):
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback)

    signal.signal(signal.SIGTERM, handle)
