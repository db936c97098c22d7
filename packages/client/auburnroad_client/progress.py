"""Progress messages of commands that wait."""

import asyncio
import contextlib
import typing

from auburnroad_client import output

PROGRESS_INTERVAL_SECONDS = 2.0


@contextlib.asynccontextmanager
async def show_progress(text: str) -> typing.AsyncIterator[None]:
    """Print a message at intervals while the body runs.

    Args:
      text: Message, such as what the command waits for.

    Yields:
      Nothing.
    """

    async def repeat() -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)
            output.print_progress(f'{text} ...')

    task = asyncio.ensure_future(repeat())
    try:
        yield
    finally:
        task.cancel()
