"""Follows a stream and keeps the folded state up to date.

The state becomes stale while the log service is unavailable. The property
`is_up_to_date` is true only if the last long poll left no record unread, so
that callers can detect a stale state before they base a decision on it. A poll
that gets no answer ends only with its timeout; `confirm_recent` is for
decisions that can't be taken back.
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

# Short, because an unresponsive connection is detected only by its timeout.
POLL_SECONDS = 1.0
BACKOFF_BASE_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0

Listener = typing.Callable[[list[replay.FoldedRecord]], None]


def backoff_seconds(failures: int) -> float:
    """Compute the exponential backoff after consecutive failures.

    Args:
      failures: Number of consecutive failures, at least 1.

    Returns:
      Seconds to wait, with random jitter so that daemons don't retry at the
      same time.
    """
    limit = BACKOFF_BASE_SECONDS * 2 ** min(failures, 16)
    return random.uniform(0.5, 1.0) * min(limit, MAX_BACKOFF_SECONDS)


async def read_stream(
    service: log_service.LogService, fold: replay.Fold
) -> replay.Replay:
    """Read a stream to its end once.

    Args:
      service: Client of the log service.
      fold: Module that folds the stream.

    Returns:
      The replay; its state is None when the oldest records have expired and
      no checkpoint covers them.

    Raises:
      LogUnavailableError: If the log service can't be read.
    """
    result = replay.Replay(fold)
    while True:
        offset = result.next_offset
        batch = await service.read(fold.STREAM, offset, 0.0)
        result.fold_batch(batch)
        if result.caught_up or result.next_offset >= batch.next_offset:
            return result


class Tail:
    """A folded state that is updated continuously from its stream."""

    __slots__ = (
        '_service',
        '_fold',
        '_replay',
        '_up',
        '_complete_at',
        '_listeners',
        '_waiters',
    )

    def __init__(self, service: log_service.LogService, fold: replay.Fold):
        self._service = service
        self._fold = fold
        self._replay = replay.Replay(fold)
        self._up = False
        self._complete_at = float('-inf')
        self._listeners: list[Listener] = []
        self._waiters: set[asyncio.Future] = set()

    @property
    def fold(self) -> replay.Fold:
        """Module that folds the stream."""
        return self._fold

    @property
    def state(self) -> typing.Any:
        """Current state, None until an initial state has been found."""
        return self._replay.state

    @property
    def is_up_to_date(self) -> bool:
        """Whether the state included every record at the last long poll."""
        return self._up

    @property
    def applied(self) -> int:
        """Offset of the last record folded in, -1 for none."""
        return self._replay.applied

    @property
    def first_offset(self) -> int:
        """Oldest offset that the log service kept at the last read."""
        return self._replay.first_offset

    def on_change(self, listener: Listener) -> None:
        """Register a listener for records and changes of `is_up_to_date`.

        Args:
          listener: Called with the folded records of one read, oldest first;
            the list is empty when only `is_up_to_date` changed.
        """
        self._listeners.append(listener)

    def find_verdict(self, offset: int) -> verdict.Verdict | None:
        """Find the verdict on a recently folded record.

        Args:
          offset: Offset of the record.

        Returns:
          The verdict; None when this tail did not fold the record or no
          longer keeps its verdict.
        """
        return self._replay.find_verdict(offset)

    async def wait_applied(self, offset: int, deadline_ms: int) -> bool:
        """Wait until a record is folded into the state.

        Args:
          offset: Offset of the record.
          deadline_ms: Unix milliseconds at which to stop waiting.

        Returns:
          Whether the record was folded in before the deadline.
        """
        while self.applied < offset:
            if not await self.wait_change(deadline_ms):
                return False
        return True

    async def confirm_recent(
        self, max_age_seconds: float, timeout_seconds: float
    ) -> bool:
        """Read the stream to its end unless that was done recently.

        Args:
          max_age_seconds: Maximum time since the last such read was sent.
          timeout_seconds: Maximum time for the read.

        Returns:
          Whether the state includes every record of that time.
        """
        if self._find_age_seconds() > max_age_seconds:
            try:
                async with asyncio.timeout(timeout_seconds):
                    await self._read(0.0)
            except (log_service.LogUnavailableError, TimeoutError) as error:
                logging.info(
                    'log stream %s: not read for a decision: %r',
                    self._fold.STREAM,
                    error,
                )
        return self._find_age_seconds() <= max_age_seconds

    def _find_age_seconds(self) -> float:
        return clock.read_boot_clock_seconds() - self._complete_at

    async def wait_up_to_date(self, deadline_ms: int) -> bool:
        """Wait until the state is up to date with the log.

        Args:
          deadline_ms: Unix milliseconds at which to stop waiting.

        Returns:
          Whether the state was up to date before the deadline.
        """
        while not self._up:
            if not await self.wait_change(deadline_ms):
                return False
        return True

    async def wait_change(self, deadline_ms: int) -> bool:
        """Wait until records are folded in or `is_up_to_date` changes.

        Args:
          deadline_ms: Unix milliseconds at which to stop waiting.

        Returns:
          Whether a change occurred before the deadline.
        """
        seconds = clock.seconds_until(deadline_ms)
        if seconds <= 0:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            # Not asyncio.wait_for, which can lose a cancellation in
            # Python 3.11.
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
        """Read one batch; use a long poll only if the state is up to date."""
        batch = await self._read(POLL_SECONDS if self._up else 0.0)
        if not self._up and self._replay.next_offset >= batch.next_offset:
            # Records expired before they were read. The state can be restored
            # only after another daemon has written a checkpoint.
            await asyncio.sleep(MAX_BACKOFF_SECONDS)

    async def _read(self, wait_seconds: float) -> log_service.Batch:
        """Read one batch and fold it unless another read was faster."""
        offset = self._replay.next_offset
        requested_at = clock.read_boot_clock_seconds()
        batch = await self._service.read(
            self._fold.STREAM, offset, wait_seconds
        )
        if offset != self._replay.next_offset:
            return batch
        folded = self._replay.fold_batch(batch)
        for record in folded:
            counters.VERDICTS.labels(self._fold.STREAM, record.verdict).inc()
        was_up = self._up
        self._set_up(self._replay.caught_up, 'unread records')
        if self._up:
            self._complete_at = max(self._complete_at, requested_at)
        if folded or was_up != self._up:
            self._notify(folded)
        return batch

    def _set_up(self, up: bool, reason: str) -> None:
        if up == self._up:
            return
        self._up = up
        if up:
            logging.info('log stream %s: state up to date', self._fold.STREAM)
            return
        logging.warning(
            'log stream %s: state not up to date: %s',
            self._fold.STREAM,
            reason,
        )
        if reason != 'unread records':
            self._notify([])

    def _notify(self, folded: list[replay.FoldedRecord]) -> None:
        for listener in self._listeners:
            listener(folded)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
