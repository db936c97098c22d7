"""Keeps a fold up to date with its stream, and reads a stream once.

The state grows old while the log service can't be read; `up` says whether it
is as new as the last long poll, so that nobody takes an old state for the
arbiter's word.
"""

import asyncio
import random
import typing

from absl import logging

from auburnroad_core import clock
from auburnroad_core.log import counters
from auburnroad_core.log import replay
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

# Short, since a connection that has gone silent shows only by its timeout.
POLL_SECONDS = 1.0
BACKOFF_FIRST_SECONDS = 0.05
BACKOFF_LIMIT_SECONDS = 1.0

Listener = typing.Callable[[list[replay.Step]], None]


def backoff_seconds(failures: int) -> float:
    """Compute how long to wait after failures in a row.

    Args:
      failures: How many there were, at least 1.

    Returns:
      Seconds, drawn at random so that daemons don't come back together.
    """
    limit = BACKOFF_FIRST_SECONDS * 2 ** min(failures, 16)
    return random.uniform(0.5, 1.0) * min(limit, BACKOFF_LIMIT_SECONDS)


async def read_stream(
    service: log_service.LogService, fold: replay.Fold
) -> replay.Replay:
    """Read a stream to its end, once.

    Args:
      service: The log service.
      fold: Module that folds the stream.

    Returns:
      The replay; its state is None when the oldest records have expired and
      no checkpoint stands for them.

    Raises:
      LogUnavailableError: If the service can't be read.
    """
    result = replay.Replay(fold)
    while True:
        offset = result.next_offset
        batch = await service.read(fold.STREAM, offset, 0.0)
        result.take(batch)
        if result.caught_up or result.next_offset >= batch.next_offset:
            return result


class Tail:
    """A state that follows its stream."""

    __slots__ = (
        '_service',
        '_fold',
        '_replay',
        '_up',
        '_listeners',
        '_waiters',
    )

    def __init__(self, service: log_service.LogService, fold: replay.Fold):
        self._service = service
        self._fold = fold
        self._replay = replay.Replay(fold)
        self._up = False
        self._listeners: list[Listener] = []
        self._waiters: set[asyncio.Future] = set()

    @property
    def fold(self) -> replay.Fold:
        """Module that folds the stream."""
        return self._fold

    @property
    def state(self) -> typing.Any:
        """State so far, None before the first records were read."""
        return self._replay.state

    @property
    def up(self) -> bool:
        """Whether the state held every record at the last long poll."""
        return self._up

    @property
    def applied(self) -> int:
        """Offset of the last record folded in, -1 for none."""
        return self._replay.applied

    @property
    def first_offset(self) -> int:
        """Oldest offset that the log service kept when last read."""
        return self._replay.first_offset

    def on_change(self, listener: Listener) -> None:
        """Call a function after records were folded in or `up` changed.

        Args:
          listener: Called with the records of one read, oldest first; the
            list is empty when only `up` changed.
        """
        self._listeners.append(listener)

    def find_verdict(self, offset: int) -> verdict.Verdict | None:
        """Find what a record did that was folded in lately.

        Args:
          offset: Offset of the record.

        Returns:
          The verdict, or None when it is not known here.
        """
        return self._replay.find_verdict(offset)

    async def wait_applied(self, offset: int, deadline_ms: int) -> bool:
        """Wait until a record is folded in.

        Args:
          offset: Offset of the record.
          deadline_ms: Unix milliseconds at which to give up.

        Returns:
          Whether it was in time.
        """
        while self.applied < offset:
            if not await self.wait_change(deadline_ms):
                return False
        return True

    async def wait_up(self, deadline_ms: int) -> bool:
        """Wait until the state is as new as the log.

        Args:
          deadline_ms: Unix milliseconds at which to give up.

        Returns:
          Whether it was in time.
        """
        while not self._up:
            if not await self.wait_change(deadline_ms):
                return False
        return True

    async def wait_change(self, deadline_ms: int) -> bool:
        """Wait until records are folded in or `up` changes.

        Args:
          deadline_ms: Unix milliseconds at which to give up.

        Returns:
          Whether there was a change in time.
        """
        seconds = clock.seconds_until(deadline_ms)
        if seconds <= 0:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            # Not wait_for, which can swallow a cancellation in 3.11.
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        failures = 0
        while True:
            try:
                await self._poll()
                failures = 0
            except log_service.LogUnavailableError as error:
                failures += 1
                self._set_up(False, str(error))
                await asyncio.sleep(backoff_seconds(failures))

    async def _poll(self) -> None:
        """Read once; wait for a record only when there is nothing to do."""
        wait_seconds = POLL_SECONDS if self._up else 0.0
        offset = self._replay.next_offset
        batch = await self._service.read(
            self._fold.STREAM, offset, wait_seconds
        )
        steps = self._replay.take(batch)
        for step in steps:
            counters.VERDICTS.labels(self._fold.STREAM, step.verdict).inc()
        was_up = self._up
        self._set_up(self._replay.caught_up, 'behind')
        if steps or was_up != self._up:
            self._tell(steps)
        if not self._up and self._replay.next_offset >= batch.next_offset:
            # Only a checkpoint by a daemon that has the state helps now.
            await asyncio.sleep(BACKOFF_LIMIT_SECONDS)

    def _set_up(self, up: bool, reason: str) -> None:
        if up == self._up:
            return
        self._up = up
        if up:
            logging.info('log stream %s is up', self._fold.STREAM)
            return
        logging.warning('log stream %s: %s', self._fold.STREAM, reason)
        if reason != 'behind':
            self._tell([])

    def _tell(self, steps: list[replay.Step]) -> None:
        for listener in self._listeners:
            listener(steps)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
