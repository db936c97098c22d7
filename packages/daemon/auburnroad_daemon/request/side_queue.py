"""Requests of one service that wait at the side for a free slot.

Engines admit in arrival order, so a replica is never given more than its
slots: what waits here can still be reordered, refused or taken back.
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

VERSION_WAIT_MS = 3_000
RUN_MS_WEIGHT = 0.2
MAX_GROUPS = 4096

Start = typing.Callable[[side_attempt.Attempt, replica_module.Replica], None]


class SideQueue:
    """What waits and runs of one service on this host."""

    __slots__ = (
        '_service',
        '_replicas',
        '_configuration',
        '_start',
        '_placement',
        '_waiting',
        '_attempts',
        '_running',
        '_progress',
        '_run_ms',
        '_demand',
    )

    def __init__(
        self,
        service: str,
        replicas: list[replica_module.Replica],
        configuration: side_configuration.SideConfiguration,
        start: Start,
    ):
        self._service = service
        self._replicas = replicas
        self._configuration = configuration
        self._start = start
        self._placement = placement.Placement()
        self._waiting: dict[str, ordering.Waiting] = {}
        self._attempts: dict[str, side_attempt.Attempt] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._progress: collections.OrderedDict[tuple, int] = (
            collections.OrderedDict()
        )
        self._run_ms = 0.0
        self._demand = reservation.Demand()

    @property
    def service(self) -> str:
        """Service's name."""
        return self._service

    @property
    def settings(self) -> deployment.Service | None:
        """The service's settings, or None when it is not configured."""
        configured = self._configuration.deployment
        if configured is None:
            return None
        return configured.find_service(self._service)

    @property
    def waiting(self) -> list[side_attempt.Attempt]:
        """Requests that wait, oldest first."""
        return list(self._attempts.values())

    def build_load(self) -> types.HostLoad:
        """Build the load of the service as one figure.

        Returns:
          The load at this moment.
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
        """Take a request in, or say why not.

        Args:
          attempt: The request.
          now_ms: Unix milliseconds.

        Returns:
          None when it waits or runs now.
        """
        settings = self.settings
        if settings is None:
            return admission.Refusal(refusals.UNKNOWN_SERVICE, now_ms)
        view = self._build_view(settings, _get_trainer(attempt))
        refusal = admission.check_admission(view, attempt.submit, now_ms)
        if refusal is None:
            self._attempts[attempt.request_id] = attempt
            self._waiting[attempt.request_id] = _describe(attempt)
            self.dispatch(now_ms)
        return refusal

    def remove(self, attempt: side_attempt.Attempt) -> bool:
        """Take a request back that no replica was given.

        Args:
          attempt: The request.

        Returns:
          True when it had waited: it will not run.
        """
        self._waiting.pop(attempt.request_id, None)
        return self._attempts.pop(attempt.request_id, None) is not None

    def release(
        self,
        attempt: side_attempt.Attempt,
        replica: replica_module.Replica,
        run_ms: int | None,
    ) -> None:
        """Free the slot of a request whose run has ended.

        Args:
          attempt: The request.
          replica: Replica that ran it.
          run_ms: How long a successful run took in milliseconds, else None.
        """
        replica.running.discard(attempt.request_id)
        self._running[_get_trainer(attempt)] -= 1
        if run_ms is not None:
            weight = RUN_MS_WEIGHT if self._run_ms else 1.0
            self._run_ms += weight * (run_ms - self._run_ms)

    def dispatch(self, now_ms: int) -> None:
        """Give waiting requests to free slots.

        Args:
          now_ms: Unix milliseconds.
        """
        settings = self.settings
        while settings is not None and self._waiting:
            slots = settings.slots_per_replica
            free = [r for r in self._replicas if r.has_free_slot(slots)]
            chosen = self._choose(free, settings, now_ms) if free else None
            if chosen is None:
                return
            attempt = self._attempts.pop(chosen.request_id)
            del self._waiting[chosen.request_id]
            fresh = [r for r in free if placement.is_fresh(r, attempt.submit)]
            replica = self._placement.choose(fresh, attempt.submit)
            self._begin(attempt, replica)

    def take_expired(
        self, now_ms: int
    ) -> list[tuple[side_attempt.Attempt, admission.Refusal]]:
        """Take out every request that waits in vain.

        Args:
          now_ms: Unix milliseconds.

        Returns:
          The requests, each with the reason why it is not run.
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
            retry_at_ms = self._predict_replica_ms()
            return admission.Refusal(
                refusals.NO_REPLICA,
                admission.clamp_retry(retry_at_ms, now_ms),
            )
        if any(placement.is_fresh(r, submit) for r in ready):
            return None
        if now_ms - attempt.arrived_ms >= VERSION_WAIT_MS:
            return admission.Refusal(
                refusals.VERSION_BEHIND,
                admission.clamp_retry(now_ms + VERSION_WAIT_MS, now_ms),
            )
        return None

    def _choose(self, free, settings, now_ms) -> ordering.Waiting | None:
        configured = self._configuration.deployment
        view = ordering.View(
            self._find_servable(free),
            self._running,
            shares.find_shares(configured, self._service),
            self._progress,
            self.build_load().slots,
            self._count_kept(settings, now_ms),
        )
        return ordering.ORDERINGS.get(configured.policies.ordering)(view)

    def _find_servable(self, free) -> list[ordering.Waiting]:
        """Find what waits and has a free replica with weights new enough."""
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

    def _begin(self, attempt, replica) -> None:
        submit = attempt.submit
        replica.running.add(attempt.request_id)
        self._running[_get_trainer(attempt)] += 1
        if submit.group:
            key = (submit.trainer, submit.step, submit.group)
            self._progress[key] = self._progress.get(key, 0) + 1
            self._progress.move_to_end(key)
            if len(self._progress) > MAX_GROUPS:
                self._progress.popitem(last=False)
        attempt.replica = replica.name
        self._start(attempt, replica)

    def _build_view(self, settings, owner) -> admission.ServiceView:
        load = self.build_load()
        configured = self._configuration.deployment
        weights = shares.find_shares(configured, self._service)
        waiting = collections.Counter(
            waiting.trainer for waiting in self._waiting.values()
        )
        active = {name for name in self._running if self._running[name]}
        own_slots = shares.compute_slots(
            owner,
            active | set(waiting),
            weights,
            load.slots,
            self._count_reserved(settings),
        )
        queue_limit = settings.queue_per_replica * load.ready_replicas
        return admission.ServiceView(
            load.slots,
            load.running,
            load.waiting,
            own_slots,
            waiting[owner],
            shares.compute_queue_limit(owner, weights, queue_limit),
            self._run_ms,
            self._predict_replica_ms(),
        )

    def _count_reserved(self, settings) -> int:
        share = self._configuration.deployment.limits.interactive_share
        return sum(
            ordering.count_reserved(
                r.count_slots(settings.slots_per_replica), share
            )
            for r in self._replicas
            if r.health.up
        )

    def _count_kept(self, settings, now_ms) -> int:
        """Count the reserved slots that callers are likely to use."""
        callers = self._running[ordering.CALLERS] + sum(
            waiting.trainer == ordering.CALLERS
            for waiting in self._waiting.values()
        )
        return reservation.count_kept(
            self._count_reserved(settings),
            self._demand.note(callers, now_ms),
            self.build_load().slots,
            self._run_ms,
        )

    def _predict_replica_ms(self) -> int:
        return min(r.health.probe_ms for r in self._replicas)


def _get_trainer(attempt: side_attempt.Attempt) -> str:
    if attempt.is_interactive:
        return ordering.CALLERS
    return attempt.submit.trainer


def _describe(attempt: side_attempt.Attempt) -> ordering.Waiting:
    submit = attempt.submit
    return ordering.Waiting(
        submit.request_id,
        _get_trainer(attempt),
        submit.step,
        submit.group,
        attempt.arrived_ms,
    )
