"""SIGTERM for trainers and callers, up to the very end of the process.

A handler of the loop ends with the loop, and a signal that comes while the
interpreter shuts down would then kill a process that had done its work.
"""

import asyncio
import signal
import typing


def on_sigterm(callback: typing.Callable[[], None]) -> None:
    """Call a function in the running loop at SIGTERM.

    Args:
      callback: Called without arguments; nothing is once the loop is closed.
    """
    loop = asyncio.get_running_loop()

    def handle(number, frame):
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback)

    signal.signal(signal.SIGTERM, handle)
