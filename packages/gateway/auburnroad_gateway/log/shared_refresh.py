"""Reads the new records of a topic in one call for all that wait for them."""

import asyncio
import time
import typing

from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events


class SharedRefresh:
    """Reads of one topic.

    Attributes:
      read_up_to: All records that were written up to this monotonic time, in
        seconds, have been read.
    """

    __slots__ = ('read_up_to', '_failure', '_refresh', '_running')

    def __init__(
        self,
        failure: str,
        refresh: typing.Callable[[], typing.Awaitable[None]],
    ):
        """Create the reads of a topic.

        Args:
          failure: Name of the log line about a read that failed.
          refresh: Reads all records that have been written by now, or raises
            service.LogError.
        """
        self.read_up_to = float('-inf')
        self._failure = failure
        self._refresh = refresh
        self._running: asyncio.Task | None = None

    async def read(self, give_up_at: float) -> bool:
        """Wait for a read, which may have begun before this call.

        Args:
          give_up_at: Monotonic time in seconds at which the wait ends.

        Returns:
          Whether the read succeeded in time.
        """
        if self._running is None or self._running.done():
            self._running = asyncio.create_task(self._read_once())
        task = self._running
        await asyncio.wait({task}, timeout=give_up_at - time.monotonic())
        return task.done() and task.result()

    async def read_from_now(self, timeout_seconds: float) -> bool:
        """Read all records that have been written by now.

        Args:
          timeout_seconds: Maximum time to wait.

        Returns:
          Whether they have been read.
        """
        asked_at = time.monotonic()
        while self.read_up_to < asked_at:
            if not await self.read(asked_at + timeout_seconds):
                return False
        return True

    async def _read_once(self) -> bool:
        started_at = time.monotonic()
        try:
            await self._refresh()
        except service.LogError as error:
            events.write(self._failure, error=str(error))
            return False
        self.read_up_to = started_at
        return True
