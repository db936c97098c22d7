"""Handles requests at a side, from submission to acknowledgement."""

import asyncio

from auburnroad_core import clock
from auburnroad_core import refusals
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.process import history as history_module
from auburnroad_daemon.process import side_metrics
from auburnroad_daemon.request import admission
from auburnroad_daemon.request import runner
from auburnroad_daemon.request import side_attempt
from auburnroad_daemon.request import side_attempts
from auburnroad_daemon.request import side_queue
from auburnroad_daemon.version import side_configuration

SWEEP_INTERVAL_SECONDS = 0.1
# Time by which a run of a non-idempotent request may exceed its deadline. Only
# the end of the run shows whether the request was run.
NON_IDEMPOTENT_GRACE_MS = 30_000


class SideRequests:
    """Admits, runs and answers requests for the host's replicas."""

    __slots__ = (
        '_replicas',
        '_queues',
        '_attempts',
        '_configuration',
        '_metrics',
        '_history',
        '_runner',
        'leaving',
    )

    def __init__(
        self,
        replicas: list[replica_module.Replica],
        configuration: side_configuration.SideConfiguration,
        metrics: side_metrics.SideMetrics,
        history: history_module.History,
    ):
        self._replicas = replicas
        self._configuration = configuration
        self._metrics = metrics
        self._history = history
        self._attempts = side_attempts.Attempts()
        self._runner = runner.Runner(metrics, self._handle_run_end)
        self.leaving = False
        self._queues = {
            service: side_queue.SideQueue(
                service,
                [r for r in replicas if r.service == service],
                configuration,
                self._start_run,
            )
            for service in sorted({r.service for r in replicas})
        }

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._runner.count

    def is_idle(self) -> bool:
        """Check that no request waits, runs or lacks an acknowledgement.

        Returns:
          True if a planned stop interrupts no request.
        """
        waiting = any(queue.waiting for queue in self._queues.values())
        now_ms = clock.time_now_ms()
        unacknowledged = self._attempts.count_unacknowledged(now_ms)
        return not (waiting or self.running or unacknowledged)

    def build_loads(self) -> list[types.HostLoad]:
        """Build the load of each service on this host.

        Returns:
          The current loads.
        """
        return [queue.build_load() for queue in self._queues.values()]

    def handle_submit(
        self, peer: stream.Stream, submit: messages.Submit
    ) -> None:
        """Admit or refuse a new request, or resume a known request.

        Args:
          peer: Stream that the message arrived on.
          submit: The request.
        """
        known = self._attempts.find(submit.request_id)
        if known is not None:
            self._attempts.move_to_stream(known, peer, 0)
            return
        now_ms = clock.time_now_ms()
        attempt = side_attempt.Attempt(submit, peer, now_ms)
        self._metrics.submitted.labels(submit.service).inc()
        self._record_event(attempt, 'submitted', submit.service)
        if not self._attempts.is_full:
            self._attempts.add(attempt)
        refusal = self._admit(attempt, now_ms)
        if refusal is not None:
            self._refuse(attempt, refusal, now_ms)

    def handle_cancel(
        self, peer: stream.Stream, message: messages.Cancel
    ) -> None:
        """Cancel a request whose answer is no longer needed.

        Args:
          peer: Stream that the message arrived on.
          message: Contains the id of the request.
        """
        attempt = self._attempts.find(message.request_id)
        if attempt is not None:
            self._cancel_if_allowed(attempt)

    def handle_resume(
        self, peer: stream.Stream, message: messages.Resume
    ) -> None:
        """Resume a request on another stream, or report that it is unknown.

        Args:
          peer: Stream that the message arrived on.
          message: Contains the id of the request and the next chunk's index.
        """
        attempt = self._attempts.find(message.request_id)
        result = 'unknown' if attempt is None else 'known'
        self._metrics.resumed.labels(result).inc()
        if attempt is None:
            peer.send(messages.UnknownRequest(message.request_id))
            return
        self._record_event(attempt, 'resumed')
        self._attempts.move_to_stream(attempt, peer, message.next_index)

    def handle_acknowledgement(
        self, peer: stream.Stream, message: messages.Acknowledge
    ) -> None:
        """Drop a request whose complete answer was received by the entry.

        Args:
          peer: Stream that the message arrived on.
          message: Contains the id of the request.
        """
        attempt = self._attempts.find(message.request_id)
        if attempt is not None and attempt.answer is not None:
            self._attempts.remove(attempt)

    def detach_stream(self, peer: stream.Stream) -> None:
        """Keep the requests of a broken stream so that they can be resumed.

        Args:
          peer: The stream.
        """
        self._attempts.detach_stream(peer, clock.time_now_ms())

    def dispatch(self) -> None:
        """Start waiting requests after a change of a replica or version."""
        now_ms = clock.time_now_ms()
        for queue in self._queues.values():
            queue.dispatch(now_ms)

    def refuse_waiting(self, code: str) -> None:
        """Refuse all waiting requests as not run.

        Args:
          code: Refusal code as defined in refusals.py.
        """
        now_ms = clock.time_now_ms()
        for queue in self._queues.values():
            for attempt in queue.waiting:
                queue.remove(attempt)
                refusal = admission.Refusal(code, now_ms)
                self._refuse(attempt, refusal, now_ms)

    async def sweep(self) -> None:
        """Expire requests periodically until the task is cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now_ms = clock.time_now_ms()
            self._refuse_expired(now_ms)
            for attempt in self._attempts:
                if attempt.answer is None:
                    self._cancel_overdue(attempt, now_ms)
            self._attempts.remove_expired(now_ms)

    async def close(self) -> None:
        """Cancel the running requests and wait until their runs have ended."""
        await self._runner.close()

    def _admit(self, attempt, now_ms) -> admission.Refusal | None:
        submit = attempt.submit
        queue = self._queues.get(submit.service)
        if self.leaving:
            return admission.Refusal(refusals.LEAVING, now_ms)
        if self._configuration.deployment is None:
            retry_at_ms = now_ms + admission.MAX_RETRY_DELAY_MS
            return admission.Refusal(refusals.NO_CONFIGURATION, retry_at_ms)
        if queue is None:
            return admission.Refusal(refusals.UNKNOWN_SERVICE, now_ms)
        if self._attempts.find(submit.request_id) is None:
            retry_at_ms = now_ms + admission.MAX_RETRY_DELAY_MS
            return admission.Refusal(refusals.OVERLOADED, retry_at_ms)
        return queue.admit(attempt, now_ms)

    def _refuse(self, attempt, refusal, now_ms) -> None:
        submit = attempt.submit
        self._metrics.refused.labels(submit.service, refusal.code).inc()
        self._record_event(attempt, 'refused', refusal.code)
        answer = messages.Refused(
            attempt.request_id,
            refusal.code,
            refusal.retry_at_ms,
            self.build_loads(),
        )
        attempt.finish(answer, now_ms)
        if submit.idempotent:
            # The entry retries an idempotent request whether it is told that
            # the request was refused or that its id is unknown.
            self._attempts.remove(attempt)

    def _refuse_expired(self, now_ms) -> None:
        for queue in self._queues.values():
            for attempt, refusal in queue.remove_expired(now_ms):
                self._refuse(attempt, refusal, now_ms)

    def _cancel_overdue(self, attempt, now_ms) -> None:
        submit = attempt.submit
        if side_attempts.is_orphaned(attempt, now_ms):
            self._cancel_if_allowed(attempt)
        grace_ms = 0 if submit.idempotent else NON_IDEMPOTENT_GRACE_MS
        if now_ms >= submit.deadline_ms + grace_ms:
            self._cancel(attempt, refusals.DEADLINE_PASSED)

    def _cancel_if_allowed(self, attempt) -> None:
        """Cancel a request unless it is non-idempotent and already running."""
        if attempt.submit.idempotent or attempt.task is None:
            self._cancel(attempt, refusals.CANCELLED)

    def _cancel(self, attempt, code) -> None:
        if attempt.answer is not None:
            return
        now_ms = clock.time_now_ms()
        if self._queues[attempt.submit.service].remove(attempt):
            refusal = admission.Refusal(code, now_ms)
            self._refuse(attempt, refusal, now_ms)
        elif attempt.task is not None:
            attempt.cancel_code = code
            attempt.task.cancel()

    def _start_run(self, attempt, replica) -> None:
        self._record_event(attempt, 'started', replica.name)
        kind = self._queues[attempt.submit.service].settings.kind
        self._runner.start(attempt, replica, kind)

    def _handle_run_end(self, attempt, replica, answer, run_ms) -> None:
        now_ms = clock.time_now_ms()
        queue = self._queues[attempt.submit.service]
        queue.release_slot(attempt, replica, run_ms)
        self._finish(attempt, answer, now_ms)
        queue.dispatch(now_ms)

    def _finish(self, attempt, answer, now_ms) -> None:
        service = attempt.submit.service
        if isinstance(answer, messages.Refused):
            refusal = admission.Refusal(answer.code, answer.retry_at_ms)
            self._refuse(attempt, refusal, now_ms)
            return
        answer.loads = self.build_loads()
        self._metrics.done.labels(service, answer.outcome.value).inc()
        self._record_event(attempt, 'done', answer.outcome.value)
        attempt.finish(answer, now_ms)

    def _record_event(self, attempt, event, detail='') -> None:
        now_ms = clock.time_now_ms()
        self._history.add(attempt.request_id, now_ms, event, detail)
