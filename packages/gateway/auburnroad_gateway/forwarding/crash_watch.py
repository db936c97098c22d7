"""Finds out whether a replica ended while it ran a request.

A run that breaks off may have lost its connection only. The replica's address
then still accepts connections; that of a replica that has ended refuses them
until its next start, which takes seconds.
"""

import asyncio
import typing

from auburnroad_core.http import listener
from auburnroad_gateway.directory import replica
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

CONNECT_TIMEOUT_SECONDS = 0.4
# Pauses before the attempts to connect. A process that ends may close its
# connections some time before its listener.
PROBE_DELAYS_SECONDS = (0.0, 0.2)

FindListener = typing.Callable[
    [str, float], typing.Awaitable[listener.Listener]
]


class CrashWatch:
    """Probes each replica under which a run broke off."""

    __slots__ = ('_on_crash', '_find_listener', '_probes')

    def __init__(
        self,
        on_crash: typing.Callable[[str, replica.Replica], None],
        find_listener: FindListener = listener.find_listener,
    ):
        """Create a watch without probes.

        Args:
          on_crash: Called with the fingerprint of a request and the replica
            that ended while it ran the request.
          find_listener: Tells whether an address accepts connections.
        """
        self._on_crash = on_crash
        self._find_listener = find_listener
        self._probes: dict[replica.Replica, asyncio.Task] = {}

    @property
    def probing(self) -> bool:
        """Whether a probe has not ended yet."""
        return bool(self._probes)

    def note_broken(self, fingerprint: str, target: replica.Replica) -> None:
        """Find out whether a replica under which a run broke off has ended.

        Args:
          fingerprint: Fingerprint of the request; empty if it is never
            suspected.
          target: Replica that ran the request.
        """
        if not fingerprint:
            return
        probe = self._probes.get(target)
        if probe is None:
            probe = asyncio.create_task(self._probe(target))
            self._probes[target] = probe
            probe.add_done_callback(lambda _: self._probes.pop(target, None))
        probe.add_done_callback(
            lambda task: self._note_probed(fingerprint, target, task)
        )

    async def _probe(self, target: replica.Replica) -> listener.Listener:
        found = listener.Listener.UNREACHABLE
        for delay_seconds in PROBE_DELAYS_SECONDS:
            await asyncio.sleep(delay_seconds)
            found = await self._find_listener(
                target.address, CONNECT_TIMEOUT_SECONDS
            )
            if found is listener.Listener.ENDED:
                break
        return found

    def _note_probed(self, fingerprint: str, target, task) -> None:
        if task.cancelled():
            return
        found = task.result()
        metrics.RUNS_BROKEN.labels(found.value).inc()
        events.write(
            'run_broken',
            fingerprint=fingerprint,
            replica=target.id,
            address=target.address,
            found=found.value,
        )
        if found is listener.Listener.ENDED:
            self._on_crash(fingerprint, target)
