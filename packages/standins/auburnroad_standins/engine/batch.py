"""Continuous batching: one task drives all requests, a sleep a token step.

Requests beyond the slots wait in order of arrival; the engine knows no
priorities. The task exists only while there is a request.
"""

import asyncio
import collections
import typing

from auburnroad_core import clock
from auburnroad_standins.engine import options
from auburnroad_standins.engine import runs

# A process that was late by less than this catches up; time that it lost in
# a freeze is gone.
CATCH_UP_SECONDS = 0.05
TIME_TOLERANCE_SECONDS = 1e-6


class Host(typing.Protocol):
    """What the batch asks of the engine around it."""

    versions: dict[str, int]

    def compute_prefill_ms(self, run: runs.Run) -> float:
        """Compute how long a run's prefill takes, in milliseconds."""

    def note(self, run: runs.Run, event: str, version: int = -1) -> None:
        """Take note of a change of a run."""

    def report_load(self) -> None:
        """Take note that the number of requests has changed."""


def compute_step_ms(
    engine_options: options.EngineOptions, running: int
) -> float:
    """Compute how long a token step takes.

    Args:
      engine_options: The engine's options.
      running: Requests in the batch, at least 1.

    Returns:
      Milliseconds.
    """
    growth = 1 + engine_options.batch_slowdown * (running - 1)
    return engine_options.token_ms * growth


class Batch:
    """The slots and the queue before them."""

    __slots__ = (
        '_options',
        '_host',
        '_running',
        '_waiting',
        '_step_end',
        '_task',
        '_resumed',
        'factor',
    )

    def __init__(self, engine_options: options.EngineOptions, host: Host):
        self._options = engine_options
        self._host = host
        self._running: list[runs.Run] = []
        self._waiting: collections.deque[runs.Run] = collections.deque()
        self._step_end = 0.0
        self._task: asyncio.Task | None = None
        self._resumed: asyncio.Event | None = None
        self.factor = 1.0

    @property
    def running(self) -> int:
        """How many requests have a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many requests wait for a slot."""
        return len(self._waiting)

    def submit(self, run: runs.Run) -> None:
        """Take a run in.

        Args:
          run: The run; it gets a slot at once if one is free.
        """
        if self._task is None:
            self._step_end = asyncio.get_running_loop().time()
            self._task = asyncio.ensure_future(self._drive())
        self._waiting.append(run)
        self._admit()
        self._host.report_load()

    def cancel(self, run: runs.Run) -> None:
        """End a run early; one that has ended is left alone.

        Args:
          run: The run.
        """
        if run.ended:
            return
        if run.started:
            self._running.remove(run)
        else:
            self._waiting.remove(run)
        run.cancel()
        self._host.note(run, 'cancelled')
        self._admit()
        self._host.report_load()

    async def pause(self, seconds: float) -> None:
        """Stop the token steps for a while.

        Args:
          seconds: How long.
        """
        self._resumed = asyncio.Event()
        try:
            await asyncio.sleep(seconds)
        finally:
            self._resumed.set()
            self._resumed = None
            # The time of the pause isn't caught up with.
            self._step_end = asyncio.get_running_loop().time()

    async def _drive(self) -> None:
        loop = asyncio.get_running_loop()
        while self._running:
            if self._resumed is not None:
                await self._resumed.wait()
            step_start = self._begin_step(loop.time())
            await asyncio.sleep(self._step_end - loop.time())
            if self._resumed is None:
                self._step(step_start)
        self._task = None

    def _begin_step(self, now: float) -> float:
        start = self._step_end
        if now - start > CATCH_UP_SECONDS:
            start = now
        step_ms = compute_step_ms(self._options, self.running) * self.factor
        self._step_end = start + step_ms / clock.MS_PER_SECOND
        return start

    def _step(self, step_start: float) -> None:
        ready_at = step_start + TIME_TOLERANCE_SECONDS
        ended = False
        for run in self._running:
            if run.ready_at <= ready_at:
                self._produce(run)
                ended = ended or run.finished
        if ended:
            self._running = [run for run in self._running if not run.finished]
            self._admit()
            self._host.report_load()

    def _produce(self, run: runs.Run) -> None:
        version = self._host.versions[run.request.model]
        if version != run.version:
            run.change_version(version)
            self._host.note(run, 'version', version)
        run.produce()
        if run.finished:
            self._host.note(run, 'finished')

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._options.slots:
            run = self._waiting.popleft()
            prefill_ms = self._host.compute_prefill_ms(run) * self.factor
            run.ready_at = self._step_end + prefill_ms / clock.MS_PER_SECOND
            run.started = True
            self._running.append(run)
            self._host.note(run, 'started')
