"""Orders replicas to load the weight versions that trainers announce.

A trainer announces each version while the current step still permits the
loaded version, and a replica that loads weights serves no requests for about a
second. A step begins with a burst that fills every slot and ends with a few
long runs. Replicas therefore load after the burst, idle replicas first, at
most half of a model's replicas at a time, and the remaining runs of a loading
replica move to other replicas. Waiting items that require the announced
version do not delay a load. A replica whose version is too old for the step
loads immediately.

An unanswered order may still be executed seconds later. Each order therefore
states the number of orders that the replica has accepted before, and has no
effect once another order was executed. A retry states the same number.
"""

import asyncio
import time

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.directory import placement
from auburnroad_gateway.directory import replica
from auburnroad_gateway.duties import lease
from auburnroad_gateway.forwarding import attempt
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.weights import model_assignment
from auburnroad_gateway.weights import speed_assignment

CHECK_INTERVAL_SECONDS = 0.1
# Share of a service's replicas that load concurrently; with more, the loads
# would slow each other down.
LOADING_SHARE = 0.4
CALL_TIMEOUT_SECONDS = 0.6
# A single load takes about 0.9 s, concurrent loads take longer.
EXPECTED_LOAD_SECONDS = 0.9
POLL_INTERVAL_SECONDS = 0.25
LOAD_TIMEOUT_SECONDS = 4.0
RETRY_DELAY_SECONDS = 0.4
# Time from the announcement of a version until replicas that are never idle
# load it. The next version may follow four seconds after the announcement.
FORCED_LOAD_SECONDS = 2.4
# A replica with more runs is not vacated before a forced load: during the
# burst of a step, its runs would overload the other replicas.
MAX_VACATED_RUNS = 3
# Time for the replica to detect that its runs have moved to other replicas.
VACATE_WAIT_SECONDS = 0.02


class WeightRollout:
    """Sends load orders to replicas while this gateway holds the duty."""

    __slots__ = (
        '_settings',
        '_adapter',
        '_client',
        '_duties',
        '_lease',
        '_configuration',
        '_directory',
        '_owner',
        '_tasks',
        '_announced_at',
        '_assignments',
    )

    def __init__(
        self,
        settings,
        adapter,
        http_client,
        duties,
        holder,
        replicas,
        owner,
        holder_lease,
    ):
        self._settings = settings
        self._adapter: adapters.Adapter = adapter
        self._client: client.HttpClient = http_client
        self._duties = duties
        self._lease: lease.HolderLease = holder_lease
        self._configuration = holder
        self._directory = replicas
        self._owner = owner
        self._tasks: dict[replica.Replica, asyncio.Task] = {}
        self._announced_at: dict[tuple[str, int], float] = {}
        self._assignments: dict[str, dict[str, str]] = {}

    async def run(self) -> None:
        """Claim duties and start loads until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            current = self._configuration.current
            if current is None:
                continue
            self._tasks = {
                target: task
                for target, task in self._tasks.items()
                if not task.done()
            }
            for service in current.services.values():
                if service.models:
                    await self._duties.claim_if_vacant(
                        service.name, self._lease.tail
                    )
                    self._start_service_loads(service, time.monotonic())

    def _start_service_loads(
        self, service: configuration.Service, now: float
    ) -> None:
        if not self._duties.is_holder(
            service.name, clock.read_boot_clock_seconds()
        ):
            return
        announced = self._configuration.announced_versions
        demand = self._owner.workload.estimate_demand(service.models)
        self._assignments[service.name] = model_assignment.assign_models(
            self._directory.list_ready(service.name),
            demand.work,
            announced,
            self._assignments.get(service.name, {}),
        )
        speed_assignment.improve(
            self._assignments[service.name],
            self._directory.list_ready(service.name),
            demand.text_tokens,
            now,
        )
        for model in service.models:
            if model in announced:
                self._start_model_loads(service, model, announced[model], now)

    def _start_model_loads(
        self, service, model, version: int, now: float
    ) -> None:
        replicas = self._directory.list_ready(service.name)
        assignment = self._assignments[service.name]
        assigned = [
            target for target in replicas if assignment.get(target.id) == model
        ]
        loads_left = min(
            find_service_load_limit(len(replicas))
            - self._count_loading(replicas),
            find_model_load_limit(len(assigned))
            - self._count_loading(assigned),
        )
        announced_at = self._announced_at.setdefault((model, version), now)
        for target in sorted(
            assigned, key=lambda target: target.count_load(now)
        ):
            if loads_left <= 0:
                return
            if target in self._tasks or not is_outdated(
                target, model, version
            ):
                continue
            if not self._may_load(
                target, replicas, model, version, now, announced_at
            ):
                continue
            loads_left -= 1
            self._tasks[target] = asyncio.ensure_future(
                self._update_replica(target, service.name, model, version)
            )

    def _count_loading(self, replicas: list[replica.Replica]) -> int:
        return sum(target in self._tasks for target in replicas)

    def _may_load(
        self, target, replicas, model, version, now, announced_at
    ) -> bool:
        """Tell whether a replica may be taken out of service for a load."""
        too_old = target.versions.get(model, 0) < version - 1
        if too_old or now - announced_at > FORCED_LOAD_SECONDS:
            return True
        if self._owner.workload.count_waiting_for_older(model, version):
            return False
        free = sum(
            max(0, other.count_free(now))
            for other in replicas
            if other is not target
            and not other.is_loading(now)
            and placement.has_minimum_version(other, model, version - 1)
        )
        return target.count_load(now) <= min(free, MAX_VACATED_RUNS)

    async def _update_replica(
        self, target, service, model, version: int
    ) -> None:
        try:
            if not await self._lease.renew(service):
                # The replica stays in service until an order can go out.
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
                return
            target.vacating = True
            await self._vacate(target)
            await self._order_load(target, service, model, version)
        except (client.HttpError, adapters.InvalidMessageError) as error:
            events.write(
                'order_failed',
                replica=target.id,
                model=model,
                version=version,
                error=str(error),
            )
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        finally:
            target.vacating = False

    async def _vacate(self, target) -> None:
        """Move the runs of this gateway to other replicas.

        Runs for which no other replica has a free slot remain: they pause
        while the replica loads, and continue with the new version.
        """
        self._owner.move_runs()
        await asyncio.sleep(VACATE_WAIT_SECONDS)

    async def _order_load(self, target, service, model, version: int) -> None:
        report = await self._read_report(target)
        if self._note_report(target, report, model, version):
            return
        if report.busy or not await self._lease.renew(service):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            return
        order = call.VersionOrder(
            model,
            version,
            False,
            self._settings.name,
            self._duties.find_fence(service),
            report.order_count,
        )
        target.loading_until = time.monotonic() + EXPECTED_LOAD_SECONDS
        age_seconds = self._lease.records_age
        status = await self._send(service, target, order)
        events.write(
            'order_sent',
            replica=target.id,
            model=model,
            version=version,
            fence=order.fence,
            expected_orders=order.expected_orders,
            duties_age_ms=int(age_seconds * 1000),
            status=status,
        )
        if status in (200, 202):
            await self._wait_loaded(target, model, version)

    async def _send(self, service, target, order: call.VersionOrder) -> int:
        response = await self._fetch(
            target,
            self._adapter.build_order_call(order, target.id),
            lambda: self._lease.begin(service, order.fence),
        )
        return response.status

    async def _wait_loaded(self, target, model: str, version: int) -> None:
        deadline = time.monotonic() + LOAD_TIMEOUT_SECONDS
        await asyncio.sleep(EXPECTED_LOAD_SECONDS)
        while time.monotonic() < deadline:
            report = await self._read_report(target)
            if self._note_report(target, report, model, version):
                return
            if not report.busy:
                return
            target.loading_until = time.monotonic() + POLL_INTERVAL_SECONDS
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _note_report(
        self, target, report: call.Report, model, version
    ) -> bool:
        """Record the reported version; tell whether it is new enough."""
        loaded = report.versions.get(model, 0)
        target.note_version(model, loaded)
        return loaded >= version

    async def _read_report(self, target) -> call.Report:
        response = await self._fetch(target, self._adapter.build_report_call())
        return self._adapter.decode_report(response.body)

    async def _fetch(
        self, target, request, may_send=None
    ) -> messages.Response:
        response = await self._client.fetch(
            target.address, request, CALL_TIMEOUT_SECONDS, may_send
        )
        if response.status != attempt.MISDIRECTED_STATUS:
            head = self._adapter.decode_response_head(response.headers)
            if head.leaving:
                target.note_leaving()
        return response


def is_outdated(target: replica.Replica, model: str, version: int) -> bool:
    """Tell whether a replica's weights are older than a version."""
    return target.versions.get(model, 0) < version


def find_model_load_limit(replicas: int) -> int:
    """Find how many of a model's assigned replicas may load concurrently.

    Args:
      replicas: Number of replicas assigned to the model.
    """
    return (replicas + 1) // 2


def find_service_load_limit(replicas: int) -> int:
    """Find how many of a service's replicas may load concurrently.

    Args:
      replicas: Number of replicas of the service.
    """
    return max(1, int(replicas * LOADING_SHARE))
