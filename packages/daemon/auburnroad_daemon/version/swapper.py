"""Gives the host's engines their orders to load weight versions.

What is announced comes with the heartbeats of entries; what is served is
read from the engines. An order whose answer was lost is given again, since
the second one of a version changes nothing.
"""

import asyncio
import typing

from absl import logging

from auburnroad_core import clock
from auburnroad_core.platform import weight_store
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.connection import waiting
from auburnroad_daemon.process import side_metrics
from auburnroad_daemon.version import relay as relay_module
from auburnroad_daemon.version import side_configuration
from auburnroad_daemon.version import swaps

TICK_SECONDS = 0.25


class Swapper:
    """Orders versions, one loop for the host."""

    __slots__ = (
        '_replicas',
        '_configuration',
        '_relay',
        '_metrics',
        '_changed',
        '_announced',
        '_swaps',
        '_wake',
        '_tasks',
        'source',
    )

    def __init__(
        self,
        replicas: list[replica_module.Replica],
        configuration: side_configuration.SideConfiguration,
        relay: relay_module.WeightRelay,
        metrics: side_metrics.SideMetrics,
        changed: typing.Callable[[], None],
    ):
        self._replicas = {replica.name: replica for replica in replicas}
        self._configuration = configuration
        self._relay = relay
        self._metrics = metrics
        self._changed = changed
        self._announced: dict[str, int] = {}
        self._swaps: dict[tuple[str, str], swaps.Swap] = {}
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self.source = ''

    @property
    def announced(self) -> dict[str, int]:
        """Highest announced version by model."""
        return self._announced

    def announce(self, versions: dict[str, int]) -> None:
        """Take announced versions in; lower ones change nothing.

        Args:
          versions: Version by model, as an entry knows them.
        """
        for model, version in versions.items():
            if version > self._announced.get(model, swaps.NO_VERSION):
                self._announced[model] = version
                self._wake.set()

    async def run(self) -> None:
        """Give orders until the task is cancelled."""
        try:
            while True:
                self._give_orders()
                await waiting.wait_briefly(self._wake, TICK_SECONDS)
        finally:
            for task in self._tasks:
                task.cancel()

    def _give_orders(self) -> None:
        deployed = self._configuration.deployment
        if deployed is None:
            return
        current = list(self._update_swaps(deployed))
        plan = swaps.SWAPPINGS.get(deployed.policies.swapping)
        for swap in plan(current, self._announced, clock.time_now_ms()):
            version = self._announced[swap.model]
            swaps.record_order(swap, version)
            task = asyncio.ensure_future(self._order(swap, version))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _update_swaps(self, deployed) -> typing.Iterator[swaps.Swap]:
        """Bring what the plans decide from up to date."""
        for model in self._announced:
            service = deployed.find_model(model)
            for replica in self._replicas.values():
                if service is None or replica.service != service.name:
                    continue
                swap = self._swaps.setdefault(
                    (replica.name, model), swaps.Swap(replica.name, model)
                )
                swap.reported = replica.get_version(model)
                swap.up = replica.health.up
                swap.running = len(replica.running)
                yield swap

    async def _order(self, swap: swaps.Swap, version: int) -> None:
        result = 'failed'
        try:
            result = await self._try_order(swap, version)
        finally:
            succeeded = result == 'loaded'
            swaps.record_end(swap, succeeded, clock.time_now_ms())
            self._metrics.orders.labels(swap.model, result).inc()
            self._log(swap, version, result)
            self._wake.set()
        if succeeded:
            self._changed()

    async def _try_order(self, swap, version) -> str:
        replica = self._replicas[swap.replica]
        order = engine.Order(
            choose_order(replica, swap.model),
            swap.model,
            version,
            version,
            self.source,
        )
        try:
            # The engine's own fetch is short when the weights are here.
            await self._relay.get(swap.model, version)
            versions = await replica.engine.order(order)
        except weight_store.WeightStoreError:
            return 'no_weights'
        except engine.OldFenceError:
            return 'old_fence'
        except engine.EngineRejectedError as error:
            if error.status == 404:
                replica.forget_version(swap.model)
            return 'failed'
        except engine.EngineError:
            return 'failed'
        now_ms = clock.time_now_ms()
        for model, reported in versions.items():
            replica.note_version(model, reported, now_ms)
        if replica.get_version(swap.model) >= version:
            return 'loaded'
        return 'failed'

    def _log(self, swap, version, result) -> None:
        if result == 'loaded' or swap.failures == 1:
            logging.info(
                '%s: order to load %s version %d: %s',
                swap.replica,
                swap.model,
                version,
                result,
            )


def choose_order(replica: replica_module.Replica, model: str) -> str:
    """Choose the kind of order that brings a version to a replica.

    Args:
      replica: The replica.
      model: Model's or adapter's name.

    Returns:
      The kind: a model that the engine does not have yet is loaded first.
    """
    if replica.get_version(model) != swaps.NO_VERSION:
        return 'load_version'
    return 'load_model' if model == replica.service else 'load_adapter'
