"""Starts runs on replicas and reports the end of each run."""

import asyncio
import typing

from absl import logging

from auburnroad_core import clock
from auburnroad_core import refusals
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.process import side_metrics
from auburnroad_daemon.request import run
from auburnroad_daemon.request import side_attempt

# Called with the attempt, the replica, the answer and the run time in
# milliseconds. The run time is None unless the outcome of the run is RUN.
OnRunEnd = typing.Callable[
    [
        side_attempt.Attempt,
        replica_module.Replica,
        side_attempt.Answer,
        int | None,
    ],
    None,
]


class Runner:
    """Starts runs and tracks those in progress."""

    __slots__ = ('_metrics', '_on_end', '_runs', '_cancel_tasks')

    def __init__(self, metrics: side_metrics.SideMetrics, on_end: OnRunEnd):
        self._metrics = metrics
        self._on_end = on_end
        self._runs: set[asyncio.Task] = set()
        self._cancel_tasks: set[asyncio.Task] = set()

    @property
    def count(self) -> int:
        """Number of runs in progress."""
        return len(self._runs)

    def start(
        self,
        attempt: side_attempt.Attempt,
        replica: replica_module.Replica,
        kind: str,
    ) -> None:
        """Start the only run of a request.

        Args:
          attempt: The request.
          replica: Replica that runs the request.
          kind: Kind of the request's service.
        """
        run_request = run.run_call if kind == 'plain' else run.run_completion
        attempt.task = asyncio.ensure_future(run_request(attempt, replica))
        self._runs.add(attempt.task)
        started_ms = clock.time_now_ms()
        # A task that is cancelled before its first step never runs its
        # coroutine, so the cleanup is done in a callback of the task.
        attempt.task.add_done_callback(
            lambda task: self._end(attempt, replica, task, started_ms)
        )

    async def close(self) -> None:
        """Cancel all runs and wait until they have ended."""
        for task in self._runs:
            task.cancel()
        if self._runs:
            await asyncio.wait(self._runs)
        if self._cancel_tasks:
            await asyncio.wait(self._cancel_tasks)

    def _end(self, attempt, replica, task, started_ms) -> None:
        self._runs.discard(task)
        now_ms = clock.time_now_ms()
        if task.cancelled():
            answer = self._end_cancelled(attempt, replica, now_ms)
        elif task.exception() is not None:
            logging.error(
                'run failed with an unexpected exception',
                exc_info=task.exception(),
            )
            answer = run.build_unknown_answer(attempt, repr(task.exception()))
        else:
            answer = task.result().answer
            self._record_health(replica, task.result(), now_ms)
        run_ms = now_ms - started_ms if _is_complete(answer) else None
        if run_ms is not None:
            seconds = run_ms / clock.MS_PER_SECOND
            service = attempt.submit.service
            self._metrics.run_seconds.labels(service).observe(seconds)
        self._on_end(attempt, replica, answer, run_ms)

    def _end_cancelled(self, attempt, replica, now_ms) -> messages.Done:
        code = attempt.cancel_code or refusals.CANCELLED
        if code == refusals.DEADLINE_PASSED:
            replica.health.record_missed_deadline(now_ms)
        if attempt.submit.model:
            cancellation = replica.engine.cancel(attempt.request_id)
            task = asyncio.ensure_future(cancellation)
            self._cancel_tasks.add(task)
            task.add_done_callback(self._cancel_tasks.discard)
        return run.build_unknown_answer(attempt, code)

    def _record_health(self, replica, result, now_ms) -> None:
        if not result.target_failed:
            replica.health.record_success()
            return
        if replica.health.up:
            self._metrics.ejections.labels(replica.name).inc()
            logging.info(
                'ejecting replica %s: %s',
                replica.name,
                _describe_failure(result),
            )
        replica.health.record_failure(now_ms)


def _is_complete(answer: side_attempt.Answer) -> bool:
    if isinstance(answer, messages.Refused):
        return False
    return answer.outcome is types.Outcome.RUN


def _describe_failure(result: run.Result) -> str:
    answer = result.answer
    if isinstance(answer, messages.Refused):
        return answer.code
    return answer.error
