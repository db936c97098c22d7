"""Finds the requests under which replicas end, and shares them.

A run that breaks off may have lost its connection only. The replica's address
then still accepts connections; that of a replica that has ended refuses them
until its next start, which takes seconds. What is found is shared with all
gateways, since a request may come again at any of them.
"""

import asyncio
import time
import typing

from auburnroad_core import clock
from auburnroad_core.http import listener
from auburnroad_gateway.directory import replica
from auburnroad_gateway.forwarding import crash_records
from auburnroad_gateway.members import facts as all_facts
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

CONNECT_TIMEOUT_SECONDS = 0.4
# Pauses before the attempts to connect. A process that ends may close its
# connections some time before its listener.
PROBE_DELAYS_SECONDS = (0.0, 0.2)
# Time for which crashes are remembered, and for which it is remembered that a
# request is answered in spite of them.
MEMORY_SECONDS = 3600.0

FindListener = typing.Callable[
    [str, float], typing.Awaitable[listener.Listener]
]


class CrashWatch:
    """Probes replicas under which runs broke off, and keeps the records."""

    __slots__ = ('_facts', '_find_listener', '_records', '_probes')

    def __init__(
        self,
        facts: all_facts.SharedFacts,
        find_listener: FindListener = listener.find_listener,
    ):
        """Create a watch without records.

        Args:
          facts: Facts of all gateways.
          find_listener: Tells whether an address accepts connections.
        """
        self._facts = facts
        self._find_listener = find_listener
        self._records = crash_records.CrashRecords()
        self._probes: dict[replica.Replica, asyncio.Task] = {}
        facts.on_fact(all_facts.FactKind.CRASH, self._apply_crash)
        facts.on_fact(all_facts.FactKind.ANSWER, self._apply_answer)

    @property
    def probing(self) -> bool:
        """Whether a probe has not ended yet."""
        return bool(self._probes)

    def find_verdict(self, fingerprint: str) -> crash_records.Verdict:
        """Find whether a request may be sent to replicas."""
        return self._records.find_verdict(fingerprint, time.monotonic())

    def find_retry_seconds(self, fingerprint: str) -> float:
        """Find the time until the crashes of a request are forgotten."""
        forget_at = self._records.find_forget_at(fingerprint)
        return max(0.0, forget_at - time.monotonic())

    def note_answer(self, fingerprint: str) -> None:
        """Record that a replica answered a request, and did not end.

        Args:
          fingerprint: Fingerprint of the request; empty if it is never
            suspected.
        """
        if fingerprint and self._records.note_answer(fingerprint):
            self._share(all_facts.FactKind.ANSWER, fingerprint, '')

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
        if found is not listener.Listener.ENDED:
            return
        if not self._records.is_answered(fingerprint):
            self._share(
                all_facts.FactKind.CRASH, fingerprint, target.incarnation
            )

    def _share(
        self, kind: all_facts.FactKind, fingerprint: str, value: str
    ) -> None:
        until_ms = clock.time_now_ms() + int(MEMORY_SECONDS * 1000)
        self._facts.share(all_facts.Fact(kind, fingerprint, value, until_ms))

    def _apply_crash(self, fact: all_facts.Fact) -> None:
        if self._records.is_answered(fact.key):
            # The gateway that reports it has not answered this request.
            self._share(all_facts.FactKind.ANSWER, fact.key, '')
            return
        now = time.monotonic()
        left_seconds = (fact.until_ms - clock.time_now_ms()) / 1000
        forget_at = now + min(MEMORY_SECONDS, left_seconds)
        crash = crash_records.Crash(
            fact.value, fact.until_ms / 1000 - MEMORY_SECONDS
        )
        if self._records.note_crash(fact.key, crash, now, forget_at):
            events.write(
                'crash_recorded', fingerprint=fact.key, incarnation=fact.value
            )

    def _apply_answer(self, fact: all_facts.Fact) -> None:
        self._records.note_answer(fact.key)
