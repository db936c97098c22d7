"""Continuous batching: one task runs the token steps of all requests.

The task sleeps for the duration of each token step. Requests beyond the slots
are queued in order of arrival, without priorities. The task runs only while
the batch holds a request.
"""

import asyncio
import collections
import typing

from auburnroad_core import clock
from auburnroad_standins.engine import options
from auburnroad_standins.engine import runs

# Token steps make up for process delays up to this length. Steps that are lost
# in a longer delay, such as a freeze, are skipped.
CATCH_UP_SECONDS = 0.05
TIME_TOLERANCE_SECONDS = 1e-6


class BatchEngine(typing.Protocol):
    """Part of the engine that the batch calls."""

    versions: dict[str, int]

    def compute_prefill_ms(self, run: runs.Run) -> float:
        """Compute how long a run's prefill takes, in milliseconds."""

    def record_event(
        self, run: runs.Run, event: str, version: int = -1
    ) -> None:
        """Record an event of a run."""

    def record_load(self) -> None:
        """Record the load after the number of requests has changed."""


def compute_step_ms(
    engine_options: options.EngineOptions, running: int
) -> float:
    """Compute the duration of a token step.

    Args:
      engine_options: The engine's options.
      running: Number of requests in the batch, at least 1.

    Returns:
      The duration in milliseconds.
    """
    growth = 1 + engine_options.batch_slowdown * (running - 1)
    return engine_options.token_ms * growth


class Batch:
    """The requests that have a slot, and the queue of waiting requests.

    Attributes:
      factor: Multiplier of the duration of token steps and prefills.
    """

    __slots__ = (
        '_options',
        '_engine',
        '_running',
        '_waiting',
        '_step_end',
        '_task',
        '_resumed',
        'factor',
    )

    def __init__(
        self, engine_options: options.EngineOptions, engine: BatchEngine
    ):
        self._options = engine_options
        self._engine = engine
        self._running: list[runs.Run] = []
        self._waiting: collections.deque[runs.Run] = collections.deque()
        self._step_end = 0.0
        self._task: asyncio.Task | None = None
        self._resumed: asyncio.Event | None = None
        self.factor = 1.0

    @property
    def running(self) -> int:
        """Number of requests that have a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def submit(self, run: runs.Run) -> None:
        """Queue a run and start it when a slot is free.

        Args:
          run: A new run.
        """
        if self._task is None:
            self._step_end = asyncio.get_running_loop().time()
            self._task = asyncio.ensure_future(self._drive())
        self._waiting.append(run)
        self._admit()
        self._engine.record_load()

    def cancel(self, run: runs.Run) -> None:
        """Cancel a run; do nothing if it has already ended.

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
        self._engine.record_event(run, 'cancelled')
        self._admit()
        self._engine.record_load()

    async def pause(self, seconds: float) -> None:
        """Pause the token steps.

        Args:
          seconds: Duration of the pause in seconds.
        """
        self._resumed = asyncio.Event()
        try:
            await asyncio.sleep(seconds)
        finally:
            self._resumed.set()
            self._resumed = None
            # The batch does not catch up with steps missed in the pause.
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
            self._engine.record_load()

    def _produce(self, run: runs.Run) -> None:
        version = self._engine.versions[run.request.model]
        if version != run.version:
            run.change_version(version)
            self._engine.record_event(run, 'version', version)
        run.produce()
        if run.finished:
            self._engine.record_event(run, 'finished')

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._options.slots:
            run = self._waiting.popleft()
            prefill_ms = self._engine.compute_prefill_ms(run) * self.factor
            run.ready_at = self._step_end + prefill_ms / clock.MS_PER_SECOND
            run.started = True
            self._running.append(run)
            self._engine.record_event(run, 'started')
