"""Tells on standard error what a command waits for."""

import asyncio
import contextlib
import typing

from auburnroad_client import output

PROGRESS_SECONDS = 2.0


@contextlib.asynccontextmanager
async def show_progress(text: str) -> typing.AsyncIterator[None]:
    """Say on standard error what takes long, while the body runs.

    Args:
      text: What is waited for.

    Yields:
      Nothing.
    """

    async def repeat() -> None:
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            output.print_progress(f'{text} ...')

    task = asyncio.ensure_future(repeat())
    try:
        yield
    finally:
        task.cancel()
