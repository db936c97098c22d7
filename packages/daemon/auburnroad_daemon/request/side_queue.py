"""Queue of one service's requests that wait at the side for a free slot.

Engines admit requests in arrival order, so a replica never receives more
requests than it has slots. Requests in this queue can still be reordered,
refused or removed.
"""

import collections
import typing

from auburnroad_core import refusals
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.request import admission
from auburnroad_daemon.request import ordering
from auburnroad_daemon.request import placement
from auburnroad_daemon.request import reservation
from auburnroad_daemon.request import shares
from auburnroad_daemon.request import side_attempt
from auburnroad_daemon.version import side_configuration

# Maximum time that a request waits for a replica with its minimum version.
VERSION_WAIT_MS = 3_000
# Weight of the newest run time in the moving average.
RUN_MS_WEIGHT = 0.2
MAX_RECORDED_GROUPS = 4096

StartRun = typing.Callable[
    [side_attempt.Attempt, replica_module.Replica], None
]


class SideQueue:
    """Waiting and running requests of one service on this host."""

    __slots__ = (
        '_service',
        '_replicas',
        '_configuration',
        '_start_run',
        '_placement',
        '_waiting',
        '_attempts',
        '_running',
        '_progress',
        '_average_run_ms',
        '_demand',
    )

    def __init__(
        self,
        service: str,
        replicas: list[replica_module.Replica],
        configuration: side_configuration.SideConfiguration,
        start_run: StartRun,
    ):
        self._service = service
        self._replicas = replicas
        self._configuration = configuration
        self._start_run = start_run
        self._placement = placement.Placement()
        self._waiting: dict[str, ordering.WaitingRequest] = {}
        self._attempts: dict[str, side_attempt.Attempt] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._progress: collections.OrderedDict[tuple, int] = (
            collections.OrderedDict()
        )
        self._average_run_ms = 0.0
        self._demand = reservation.CallerDemand()

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    @property
    def settings(self) -> deployment.Service | None:
        """Settings of the service, or None if it is not configured."""
        configured = self._configuration.deployment
        if configured is None:
            return None
        return configured.find_service(self._service)

    @property
    def waiting(self) -> list[side_attempt.Attempt]:
        """Waiting requests, oldest first."""
        return list(self._attempts.values())

    def build_load(self) -> types.HostLoad:
        """Build the load of the service, summed over its replicas.

        Returns:
          The current load.
        """
        ready = [r for r in self._replicas if r.health.up]
        settings = self.settings
        slots = settings.slots_per_replica if settings is not None else 0
        return types.HostLoad(
            self._service,
            sum(r.count_slots(slots) for r in ready),
            sum(len(r.running) for r in self._replicas),
            len(self._waiting),
            len(ready),
        )

    def admit(
        self, attempt: side_attempt.Attempt, now_ms: int
    ) -> admission.Refusal | None:
        """Add a request to the queue if admission allows it.

        Args:
          attempt: The request.
          now_ms: Current time in Unix milliseconds.

        Returns:
          The refusal, or None if the request now waits or runs.
        """
        settings = self.settings
        if settings is None:
            return admission.Refusal(refusals.UNKNOWN_SERVICE, now_ms)
        view = self._build_view(settings, _get_account(attempt))
        refusal = admission.check_admission(view, attempt.submit, now_ms)
        if refusal is None:
            self._attempts[attempt.request_id] = attempt
            self._waiting[attempt.request_id] = _build_waiting_request(attempt)
            self.dispatch(now_ms)
        return refusal

    def remove(self, attempt: side_attempt.Attempt) -> bool:
        """Remove a waiting request from the queue.

        Args:
          attempt: The request.

        Returns:
          True if the request was waiting; it will then not run.
        """
        self._waiting.pop(attempt.request_id, None)
        return self._attempts.pop(attempt.request_id, None) is not None

    def release_slot(
        self,
        attempt: side_attempt.Attempt,
        replica: replica_module.Replica,
        run_ms: int | None,
    ) -> None:
        """Free the slot of a request whose run has ended.

        Args:
          attempt: The request.
          replica: Replica that ran the request.
          run_ms: Run time in milliseconds, or None if the run failed.
        """
        replica.running.discard(attempt.request_id)
        self._running[_get_account(attempt)] -= 1
        if run_ms is not None:
            weight = RUN_MS_WEIGHT if self._average_run_ms else 1.0
            self._average_run_ms += weight * (run_ms - self._average_run_ms)

    def dispatch(self, now_ms: int) -> None:
        """Start waiting requests while slots are free.

        Args:
          now_ms: Current time in Unix milliseconds.
        """
        settings = self.settings
        while settings is not None and self._waiting:
            slots = settings.slots_per_replica
            free = [r for r in self._replicas if r.has_free_slot(slots)]
            chosen = (
                self._choose_request(free, settings, now_ms) if free else None
            )
            if chosen is None:
                return
            attempt = self._attempts.pop(chosen.request_id)
            del self._waiting[chosen.request_id]
            fresh = [r for r in free if placement.is_fresh(r, attempt.submit)]
            replica = self._placement.choose(fresh, attempt.submit)
            self._start_attempt(attempt, replica)

    def remove_expired(
        self, now_ms: int
    ) -> list[tuple[side_attempt.Attempt, admission.Refusal]]:
        """Remove the waiting requests that can't be run any more.

        Args:
          now_ms: Current time in Unix milliseconds.

        Returns:
          The removed requests, each with its refusal.
        """
        expired = []
        for attempt in self.waiting:
            refusal = self._check_waiting(attempt, now_ms)
            if refusal is not None:
                self.remove(attempt)
                expired.append((attempt, refusal))
        return expired

    def _check_waiting(self, attempt, now_ms) -> admission.Refusal | None:
        submit = attempt.submit
        if self.settings is None:
            return admission.Refusal(refusals.UNKNOWN_SERVICE, now_ms)
        if submit.deadline_ms <= now_ms:
            return admission.Refusal(refusals.DEADLINE_PASSED, now_ms)
        ready = [r for r in self._replicas if r.health.up]
        if not ready:
            retry_at_ms = self._predict_replica_ready_ms()
            return admission.Refusal(
                refusals.NO_REPLICA,
                admission.clamp_retry_time(retry_at_ms, now_ms),
            )
        if any(placement.is_fresh(r, submit) for r in ready):
            return None
        if now_ms - attempt.arrived_ms >= VERSION_WAIT_MS:
            return admission.Refusal(
                refusals.VERSION_BEHIND,
                admission.clamp_retry_time(now_ms + VERSION_WAIT_MS, now_ms),
            )
        return None

    def _choose_request(
        self, free, settings, now_ms
    ) -> ordering.WaitingRequest | None:
        configured = self._configuration.deployment
        view = ordering.QueueView(
            self._find_servable(free),
            self._running,
            shares.find_shares(configured, self._service),
            self._progress,
            self.build_load().slots,
            self._count_reserved(settings, now_ms),
        )
        return ordering.ORDERINGS.get(configured.policies.ordering)(view)

    def _find_servable(self, free) -> list[ordering.WaitingRequest]:
        """Find waiting requests whose minimum version a free replica has."""
        newest: dict[str, int] = {}
        servable = []
        for attempt in self._attempts.values():
            submit = attempt.submit
            if submit.model not in newest:
                versions = [r.get_version(submit.model) for r in free]
                newest[submit.model] = max(versions)
            if newest[submit.model] >= submit.minimum_version:
                servable.append(self._waiting[attempt.request_id])
        return servable

    def _start_attempt(self, attempt, replica) -> None:
        submit = attempt.submit
        replica.running.add(attempt.request_id)
        self._running[_get_account(attempt)] += 1
        if submit.group:
            key = (submit.trainer, submit.step, submit.group)
            self._progress[key] = self._progress.get(key, 0) + 1
            self._progress.move_to_end(key)
            if len(self._progress) > MAX_RECORDED_GROUPS:
                self._progress.popitem(last=False)
        attempt.replica = replica.name
        self._start_run(attempt, replica)

    def _build_view(self, settings, account) -> admission.ServiceView:
        load = self.build_load()
        configured = self._configuration.deployment
        weights = shares.find_shares(configured, self._service)
        waiting = collections.Counter(
            waiting.trainer for waiting in self._waiting.values()
        )
        active = {name for name in self._running if self._running[name]}
        own_slots = shares.compute_slots(
            account,
            active | set(waiting),
            weights,
            load.slots,
            self._count_reservable(settings),
        )
        queue_limit = settings.queue_per_replica * load.ready_replicas
        return admission.ServiceView(
            load.slots,
            load.running,
            load.waiting,
            own_slots,
            waiting[account],
            shares.compute_queue_limit(account, weights, queue_limit),
            self._average_run_ms,
            self._predict_replica_ready_ms(),
        )

    def _count_reservable(self, settings) -> int:
        share = self._configuration.deployment.limits.interactive_share
        return sum(
            ordering.count_reservable(
                r.count_slots(settings.slots_per_replica), share
            )
            for r in self._replicas
            if r.health.up
        )

    def _count_reserved(self, settings, now_ms) -> int:
        """Count the slots to reserve given the callers' recent demand."""
        callers = self._running[ordering.CALLERS] + sum(
            waiting.trainer == ordering.CALLERS
            for waiting in self._waiting.values()
        )
        return reservation.count_reserved(
            self._count_reservable(settings),
            self._demand.record_callers(callers, now_ms),
            self.build_load().slots,
            self._average_run_ms,
        )

    def _predict_replica_ready_ms(self) -> int:
        return min(r.health.probe_ms for r in self._replicas)


def _get_account(attempt: side_attempt.Attempt) -> str:
    if attempt.is_interactive:
        return ordering.CALLERS
    return attempt.submit.trainer


def _build_waiting_request(
    attempt: side_attempt.Attempt,
) -> ordering.WaitingRequest:
    submit = attempt.submit
    return ordering.WaitingRequest(
        submit.request_id,
        _get_account(attempt),
        submit.step,
        submit.group,
        attempt.arrived_ms,
    )
