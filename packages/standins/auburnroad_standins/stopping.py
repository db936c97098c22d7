"""SIGTERM handler that remains until the process ends.

Trainers and callers use it. The event loop removes its own signal handlers
when it closes, and the interpreter restores the default of each signal while
it shuts down. A SIGTERM at that time would kill a process that had completed
its work, and its exit status would report a failure.
"""

import asyncio
import atexit
import signal
import typing


def on_sigterm(callback: typing.Callable[[], None]) -> None:
    """Call a function in the running event loop at SIGTERM.

    Args:
      callback: Called without arguments. After the loop has closed, SIGTERM
        has no effect.
    """
    loop = asyncio.get_running_loop()

    def handle(number, frame):
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback)

    signal.signal(signal.SIGTERM, handle)
    # A blocked signal stays pending whatever its handler, so that the
    # interpreter's shutdown can't be interrupted either.
    atexit.register(signal.pthread_sigmask, signal.SIG_BLOCK, {signal.SIGTERM})
