"""Orders the engines of a host to load announced weight versions.

Entries announce versions in their heartbeats; the engines report the version
that they serve. An order whose response was lost is sent again, since loading
a version is idempotent.
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

POLL_INTERVAL_SECONDS = 0.25


class Swapper:
    """Sends load orders to all engines of the host from one loop."""

    __slots__ = (
        '_replicas',
        '_configuration',
        '_relay',
        '_metrics',
        '_on_loaded',
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
        on_loaded: typing.Callable[[], None],
    ):
        self._replicas = {replica.name: replica for replica in replicas}
        self._configuration = configuration
        self._relay = relay
        self._metrics = metrics
        self._on_loaded = on_loaded
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
        """Record announced versions; lower versions are ignored.

        Args:
          versions: Announced version by model.
        """
        for model, version in versions.items():
            if version > self._announced.get(model, swaps.NO_VERSION):
                self._announced[model] = version
                self._wake.set()

    async def run(self) -> None:
        """Send orders until cancelled."""
        try:
            while True:
                self._send_due_orders()
                await waiting.wait_with_timeout(
                    self._wake, POLL_INTERVAL_SECONDS
                )
        finally:
            for task in self._tasks:
                task.cancel()

    def _send_due_orders(self) -> None:
        deployed = self._configuration.deployment
        if deployed is None:
            return
        current = list(self._update_swaps(deployed))
        plan = swaps.SWAP_POLICIES.get(deployed.policies.swapping)
        for swap in plan(current, self._announced, clock.time_now_ms()):
            version = self._announced[swap.model]
            swaps.record_order(swap, version)
            task = asyncio.ensure_future(self._run_order(swap, version))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _update_swaps(self, deployed) -> typing.Iterator[swaps.Swap]:
        """Update the swaps from the state of the replicas."""
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

    async def _run_order(self, swap: swaps.Swap, version: int) -> None:
        result = 'failed'
        try:
            result = await self._send_order(swap, version)
        finally:
            succeeded = result == 'loaded'
            swaps.record_result(swap, succeeded, clock.time_now_ms())
            self._metrics.orders.labels(swap.model, result).inc()
            self._log_result(swap, version, result)
            self._wake.set()
        if succeeded:
            self._on_loaded()

    async def _send_order(self, swap, version) -> str:
        replica = self._replicas[swap.replica]
        order = engine.Order(
            choose_order_kind(replica, swap.model),
            swap.model,
            version,
            version,
            self.source,
        )
        try:
            # Cached weights in the relay shorten the fetch by the engine.
            await self._relay.get(swap.model, version)
            versions = await replica.engine.order(order)
        except weight_store.WeightStoreError:
            return 'no_weights'
        except engine.StaleFenceError:
            return 'old_fence'
        except engine.EngineRejectedError as error:
            if error.status == 404:
                replica.remove_version(swap.model)
            return 'failed'
        except engine.EngineError:
            return 'failed'
        now_ms = clock.time_now_ms()
        for model, reported in versions.items():
            replica.record_version(model, reported, now_ms)
        if replica.get_version(swap.model) >= version:
            return 'loaded'
        return 'failed'

    def _log_result(self, swap, version, result) -> None:
        if result == 'loaded' or swap.failures == 1:
            logging.info(
                'replica %s: order to load model %s version %d: %s',
                swap.replica,
                swap.model,
                version,
                result,
            )


def choose_order_kind(replica: replica_module.Replica, model: str) -> str:
    """Choose the kind of order that loads a version on a replica.

    Args:
      replica: The replica.
      model: Model's or adapter's name.

    Returns:
      The kind of order; a model or adapter that the engine doesn't have is
      loaded as a whole before its versions are changed.
    """
    if replica.get_version(model) != swaps.NO_VERSION:
        return 'load_version'
    return 'load_model' if model == replica.service else 'load_adapter'
