"""Brings replicas to the weight version that their trainer has named.

Pattern: each version is named while the step before it still allows the
version that is loaded, and a replica that loads serves nobody for a second.
A step begins with a burst that fills every slot and ends with a few long
runs. So replicas load after the burst, at most half of a model's at a time,
idle ones first, and their last runs go on at the others. Items that only the
named version may generate are no reason to wait. A replica that is too old
for the step loads at once.

An order without an answer may still be carried out seconds later. It names
how many orders the replica has accepted before it, so that it has no effect
once another one was carried out; it is repeated with the same number.
"""

import asyncio
import time

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.directory import placement
from auburnroad_gateway.directory import replica
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.weights import homes

TICK_SECONDS = 0.1
# Share of a service's replicas that load at once; more would slow each other.
LOADING_SHARE = 0.4
CALL_SECONDS = 0.6
# A load takes some 0.9 s, longer when several load.
LOAD_SECONDS = 0.9
POLL_SECONDS = 0.25
LOAD_MOST_SECONDS = 4.0
RETRY_SECONDS = 0.4
# Replicas that are never idle load so long after the version was named; the
# next one may follow four seconds after it.
FORCE_SECONDS = 2.4
# A replica with more runs isn't vacated before it has to load: in the burst of
# a step they would only crowd the others.
VACATE_RUNS = 3
# Time until the replica has noticed that its runs have gone elsewhere.
VACATE_SECONDS = 0.02


class WeightRollout:
    """Gives the orders while this gateway holds the duty."""

    __slots__ = (
        '_settings',
        '_adapter',
        '_client',
        '_duties',
        '_configuration',
        '_directory',
        '_owner',
        '_tasks',
        '_named_at',
        '_homes',
    )

    def __init__(
        self, settings, adapter, http_client, duties, holder, replicas, owner
    ):
        self._settings = settings
        self._adapter: adapters.Adapter = adapter
        self._client: client.HttpClient = http_client
        self._duties = duties
        self._configuration = holder
        self._directory = replicas
        self._owner = owner
        self._tasks: dict[replica.Replica, asyncio.Task] = {}
        self._named_at: dict[tuple[str, int], float] = {}
        self._homes: dict[str, dict[str, str]] = {}

    async def run(self, tail) -> None:
        """Work for as long as the process lives.

        Args:
          tail: The tail of the duty's records.
        """
        while True:
            await asyncio.sleep(TICK_SECONDS)
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
                    await self._duties.check(service.name, tail)
                    self._load_service(service, time.monotonic())

    def _may_act(self, service_name: str) -> bool:
        return self._duties.may_act(service_name, clock.time_boot_seconds())

    def _load_service(
        self, service: configuration.Service, now: float
    ) -> None:
        if not self._may_act(service.name):
            return
        named = self._configuration.named_versions
        self._homes[service.name] = homes.assign_homes(
            self._directory.list_ready(service.name),
            self._owner.estimate_work(service.models),
            named,
            self._homes.get(service.name, {}),
        )
        for model in service.models:
            if model in named:
                self._load_model(service, model, named[model], now)

    def _load_model(self, service, model, version: int, now: float) -> None:
        replicas = self._directory.list_ready(service.name)
        at_home = self._homes[service.name]
        home = [
            target for target in replicas if at_home.get(target.id) == model
        ]
        room = min(
            count_at_once(len(replicas)) - self._count_loading(replicas),
            count_half(len(home)) - self._count_loading(home),
        )
        named_at = self._named_at.setdefault((model, version), now)
        for target in sorted(home, key=lambda target: target.count_load(now)):
            if room <= 0:
                return
            if target in self._tasks or not is_behind(target, model, version):
                continue
            if not self._may_load(
                target, replicas, model, version, now, named_at
            ):
                continue
            room -= 1
            target.vacating = True
            self._tasks[target] = asyncio.ensure_future(
                self._load(target, service.name, model, version)
            )

    def _count_loading(self, replicas: list[replica.Replica]) -> int:
        return sum(target in self._tasks for target in replicas)

    def _may_load(
        self, target, replicas, model, version, now, named_at
    ) -> bool:
        """Tell whether the work that there is can do without a replica."""
        too_old = target.versions.get(model, 0) < version - 1
        if too_old or now - named_at > FORCE_SECONDS:
            return True
        if self._owner.count_waiting(model, version):
            return False
        free = sum(
            max(0, other.count_free(now))
            for other in replicas
            if other is not target
            and not other.is_loading(now)
            and placement.is_fresh(other, model, version - 1)
        )
        return target.count_load(now) <= min(free, VACATE_RUNS)

    async def _load(self, target, service, model, version: int) -> None:
        try:
            await self._vacate(target)
            await self._order(target, service, model, version)
        except (client.HttpError, adapters.InvalidMessageError) as error:
            events.write(
                'order_failed',
                replica=target.id,
                model=model,
                version=version,
                error=str(error),
            )
            await asyncio.sleep(RETRY_SECONDS)
        finally:
            target.vacating = False

    async def _vacate(self, target) -> None:
        """Let the runs of this gateway go on elsewhere.

        Those that find no place stay: they pause while the replica loads,
        and go on under the new version.
        """
        self._owner.look()
        await asyncio.sleep(VACATE_SECONDS)

    async def _order(self, target, service, model, version: int) -> None:
        report = await self._read_report(target)
        if self._is_done(target, report, model, version):
            return
        if report.busy or not self._may_act(service):
            await asyncio.sleep(POLL_SECONDS)
            return
        order = call.VersionOrder(
            model,
            version,
            False,
            self._settings.name,
            self._duties.find_fence(service),
            report.order_count,
        )
        target.loading_until = time.monotonic() + LOAD_SECONDS
        self._duties.note_action(service, clock.time_boot_seconds())
        status = await self._send(target, order)
        events.write(
            'order_sent',
            replica=target.id,
            model=model,
            version=version,
            fence=order.fence,
            expected_orders=order.expected_orders,
            status=status,
        )
        if status in (200, 202):
            await self._wait_loaded(target, model, version)

    async def _send(self, target, order: call.VersionOrder) -> int:
        response = await self._client.fetch(
            target.address,
            self._adapter.build_order_call(order, target.id),
            CALL_SECONDS,
        )
        return response.status

    async def _wait_loaded(self, target, model: str, version: int) -> None:
        give_up_at = time.monotonic() + LOAD_MOST_SECONDS
        await asyncio.sleep(LOAD_SECONDS)
        while time.monotonic() < give_up_at:
            report = await self._read_report(target)
            if self._is_done(target, report, model, version):
                return
            if not report.busy:
                return
            target.loading_until = time.monotonic() + POLL_SECONDS
            await asyncio.sleep(POLL_SECONDS)

    def _is_done(self, target, report: call.Report, model, version) -> bool:
        loaded = report.versions.get(model, 0)
        target.note_version(model, loaded)
        return loaded >= version

    async def _read_report(self, target) -> call.Report:
        response = await self._client.fetch(
            target.address, self._adapter.build_report_call(), CALL_SECONDS
        )
        return self._adapter.decode_report(response.body)


def is_behind(target: replica.Replica, model: str, version: int) -> bool:
    """Tell whether a replica has older weights than the named ones."""
    return target.versions.get(model, 0) < version


def count_half(replicas: int) -> int:
    """Count how many of a model's own replicas may load at once."""
    return (replicas + 1) // 2


def count_at_once(replicas: int) -> int:
    """Count how many of a service's replicas may load at once."""
    return max(1, int(replicas * LOADING_SHARE))
