"""Health probes of the replicas on this host."""

import asyncio
import typing

from absl import logging

from auburnroad_core import clock
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.connection import waiting
from auburnroad_daemon.version import side_configuration

CHECK_INTERVAL_SECONDS = 0.25


class Probes:
    """Probes each replica at its next probe time."""

    __slots__ = (
        '_replicas',
        '_configuration',
        '_on_change',
        '_tasks',
        '_wake',
    )

    def __init__(
        self,
        replicas: list[replica_module.Replica],
        configuration: side_configuration.SideConfiguration,
        on_change: typing.Callable[[], None],
    ):
        self._replicas = replicas
        self._configuration = configuration
        self._on_change = on_change
        self._tasks: dict[str, asyncio.Task] = {}
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Start due probes without waiting for the next check."""
        self._wake.set()

    async def run(self) -> None:
        """Probe until the task is cancelled."""
        try:
            while True:
                self._start_due()
                await waiting.wait_with_timeout(
                    self._wake, CHECK_INTERVAL_SECONDS
                )
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _start_due(self) -> None:
        now_ms = clock.time_now_ms()
        deployed = self._configuration.deployment
        if deployed is None:
            return
        for replica in self._replicas:
            service = deployed.find_service(replica.service)
            due = now_ms >= replica.health.probe_ms
            if service is None or not due or replica.name in self._tasks:
                continue
            self._tasks[replica.name] = asyncio.ensure_future(
                self._probe(replica, service.kind)
            )

    async def _probe(self, replica, kind) -> None:
        try:
            if kind == 'plain':
                succeeded = await replica.plain.probe()
            else:
                succeeded = await probe_engine(replica)
            was_up = replica.health.up
            replica.health.record_probe(succeeded, clock.time_now_ms())
            if replica.health.up != was_up:
                state = 'up' if replica.health.up else 'down'
                logging.info('replica %s is %s', replica.name, state)
                self._on_change()
        finally:
            del self._tasks[replica.name]


async def probe_engine(replica: replica_module.Replica) -> bool:
    """Read an engine's load report and record it in the replica.

    Args:
      replica: A replica of a model service.

    Returns:
      True if the engine sent a valid report.
    """
    try:
        load = await replica.engine.read_load()
    except engine.EngineError:
        return False
    replica.record_load(load)
    return True
