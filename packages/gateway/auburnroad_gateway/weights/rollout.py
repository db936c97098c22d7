"""Brings replicas to the weight version that their trainer has named.

Pattern: each version is named shortly before the step that needs it, and a
replica that loads serves nobody. Replicas load a few at a time, idle ones
first, so that the others go on with the step.

An order without an answer may still be carried out seconds later. It names
how many orders the replica has accepted before it, so that it has no effect
once another one was carried out; it is repeated with the same number.
"""

import asyncio
import time

from auburnroad_core.http import client
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.directory import replica
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events

TICK_SECONDS = 0.1
# Share of a model's replicas that load at once; more would slow each other.
LOADING_SHARE = 0.4
CALL_SECONDS = 0.6
# A load takes some 0.9 s, longer when several load.
LOAD_SECONDS = 0.9
POLL_SECONDS = 0.25
LOAD_MOST_SECONDS = 4.0
RETRY_SECONDS = 0.4


class WeightRollout:
    """Gives the orders while this gateway holds the duty."""

    __slots__ = (
        '_settings',
        '_adapter',
        '_client',
        '_duty',
        '_configuration',
        '_directory',
        '_tasks',
    )

    def __init__(self, settings, adapter, http_client, duty, holder, replicas):
        self._settings = settings
        self._adapter: adapters.Adapter = adapter
        self._client: client.HttpClient = http_client
        self._duty = duty
        self._configuration = holder
        self._directory = replicas
        self._tasks: dict[replica.Replica, asyncio.Task] = {}

    async def run(self, tail) -> None:
        """Work for as long as the process lives.

        Args:
          tail: The tail of the duty's records.
        """
        while True:
            await asyncio.sleep(TICK_SECONDS)
            await self._duty.check(tail)
            now = time.monotonic()
            if self._duty.may_act(now):
                self._start_loads(now)

    def _start_loads(self, now: float) -> None:
        current = self._configuration.current
        if current is None:
            return
        self._tasks = {
            target: task
            for target, task in self._tasks.items()
            if not task.done()
        }
        for service in current.services.values():
            for model in service.models:
                version = self._configuration.named_versions.get(model)
                if version is not None:
                    self._load_service(service, model, version, now)

    def _load_service(
        self, service: configuration.Service, model, version, now: float
    ) -> None:
        replicas = self._directory.list_all(service.name)
        room = count_at_once(len(replicas)) - sum(
            target in self._tasks for target in replicas
        )
        behind = [
            target
            for target in replicas
            if target not in self._tasks
            and target.versions.get(model, 0) < version
            and self._directory.is_ready(target)
        ]
        behind.sort(key=lambda target: target.count_load(now))
        for target in behind[: max(0, room)]:
            self._tasks[target] = asyncio.ensure_future(
                self._load(target, model, version)
            )

    async def _load(self, target, model: str, version: int) -> None:
        try:
            await self._order(target, model, version)
        except (client.HttpError, adapters.InvalidMessageError) as error:
            events.write(
                'order_failed',
                replica=target.id,
                model=model,
                version=version,
                error=str(error),
            )
            await asyncio.sleep(RETRY_SECONDS)

    async def _order(self, target, model: str, version: int) -> None:
        report = await self._read_report(target)
        if self._is_done(target, report, model, version):
            return
        if report.busy or not self._duty.may_act(time.monotonic()):
            await asyncio.sleep(POLL_SECONDS)
            return
        order = call.VersionOrder(
            model,
            version,
            False,
            self._settings.name,
            self._duty.fence,
            report.order_count,
        )
        target.loading_until = time.monotonic() + LOAD_SECONDS
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


def count_at_once(replicas: int) -> int:
    """Count how many of a model's replicas may load at once."""
    return max(1, int(replicas * LOADING_SHARE))
