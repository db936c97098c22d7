"""Finds the requests under which replicas end, and shares them.

A run that breaks off may have lost its connection only. The replica's address
then still accepts connections; that of a replica that has ended refuses them
until its next start, which takes seconds. What is found is shared with all
gateways, since a request may come again at any of them.

A request under which a run broke off is not sent on before the first attempt
to connect has ended. A second attempt follows without holding it back.
"""

import asyncio
import collections
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
# Pause before the second attempt to connect. A process that ends may close its
# connections some time before its listener.
SECOND_ATTEMPT_DELAY_SECONDS = 0.2
# Time after its end for which a replica is not counted as up although its last
# registration is still there.
ENDED_SECONDS = 10.0
# Time for which crashes are remembered, and for which it is remembered that a
# request is answered in spite of them.
MEMORY_SECONDS = 3600.0

FindListener = typing.Callable[
    [str, float], typing.Awaitable[listener.Listener]
]


class _Probe:
    """The first attempt to connect to a replica under which runs broke off.

    Attributes:
      fingerprints: Fingerprints of the requests that it ran.
      ended: Set when the attempt has ended and its finding is recorded.
    """

    __slots__ = ('fingerprints', 'ended')

    def __init__(self):
        self.fingerprints: list[str] = []
        self.ended = asyncio.Event()


class CrashWatch:
    """Probes replicas under which runs broke off, and keeps the records."""

    __slots__ = (
        '_facts',
        '_find_listener',
        '_records',
        '_probes',
        '_tasks',
        '_running',
        '_ended_until',
    )

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
        self._probes: dict[replica.Replica, _Probe] = {}
        self._tasks: set[asyncio.Task] = set()
        self._running: collections.Counter[str] = collections.Counter()
        # Monotonic time in seconds by the incarnation of an ended replica.
        self._ended_until: dict[str, float] = {}
        facts.on_fact(all_facts.FactKind.CRASH, self._apply_crash)
        facts.on_fact(all_facts.FactKind.ANSWER, self._apply_answer)

    @property
    def probing(self) -> bool:
        """Whether a probe has not ended yet."""
        return bool(self._tasks)

    def find_verdict(self, fingerprint: str) -> crash_records.Verdict:
        """Find whether a request may be sent to replicas."""
        return self._records.find_verdict(fingerprint, time.monotonic())

    def is_held(self, fingerprint: str) -> bool:
        """Tell whether a request waits for the finding of a probe."""
        return self._find_holding(fingerprint) is not None

    async def wait_until_probed(
        self, fingerprint: str, deadline_at: float
    ) -> None:
        """Wait until no probe holds a request back.

        Args:
          fingerprint: Fingerprint of the request.
          deadline_at: Monotonic time in seconds at which the wait ends.
        """
        while (probe := self._find_holding(fingerprint)) is not None:
            left_seconds = deadline_at - time.monotonic()
            try:
                async with asyncio.timeout(left_seconds):
                    await probe.ended.wait()
            except TimeoutError:
                return

    def has_crashes(self, fingerprint: str) -> bool:
        """Tell whether a replica is known to have ended under a request."""
        return self._records.has_crashes(fingerprint, time.monotonic())

    def may_risk_replica(
        self, fingerprint: str, ready: list[replica.Replica]
    ) -> bool:
        """Tell whether a request may be sent to one more replica.

        Args:
          fingerprint: Fingerprint of the request.
          ready: Replicas of its service that accept work, as registered.
        """
        now = time.monotonic()
        up = {target.id for target in ready if self._is_up(target, now)}
        return self._records.may_risk_replica(
            fingerprint, up, self._running[fingerprint], now
        )

    def find_retry_seconds(self, fingerprint: str) -> float:
        """Find the time until the crashes of a request are forgotten."""
        forget_at = self._records.find_forget_at(fingerprint)
        return max(0.0, forget_at - time.monotonic())

    def note_run_start(self, fingerprint: str) -> None:
        """Record that a request is sent to a replica."""
        if fingerprint:
            self._running[fingerprint] += 1

    def note_run_end(self, fingerprint: str) -> None:
        """Record that an attempt that was noted to start has ended."""
        if fingerprint:
            self._running[fingerprint] -= 1
            if not self._running[fingerprint]:
                del self._running[fingerprint]

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
            probe = _Probe()
            self._probes[target] = probe
            task = asyncio.create_task(self._run_probe(target, probe))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        probe.fingerprints.append(fingerprint)

    async def _run_probe(self, target: replica.Replica, probe: _Probe) -> None:
        try:
            found = await self._connect(target)
            if found is listener.Listener.ENDED:
                self._note_found(probe, target, found)
        finally:
            # Runs that break off from now on are a reason to connect anew.
            del self._probes[target]
            probe.ended.set()
        if found is not listener.Listener.ENDED:
            await asyncio.sleep(SECOND_ATTEMPT_DELAY_SECONDS)
            self._note_found(probe, target, await self._connect(target))

    async def _connect(self, target: replica.Replica) -> listener.Listener:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                return await self._find_listener(
                    target.address, CONNECT_TIMEOUT_SECONDS
                )
        except TimeoutError:
            return listener.Listener.UNREACHABLE

    def _note_found(
        self, probe: _Probe, target: replica.Replica, found: listener.Listener
    ) -> None:
        has_ended = found is listener.Listener.ENDED
        if has_ended:
            self._note_end(target.incarnation, ENDED_SECONDS)
        for fingerprint in probe.fingerprints:
            metrics.RUNS_BROKEN.labels(found.value).inc()
            events.write(
                'run_broken',
                fingerprint=fingerprint,
                replica=target.id,
                address=target.address,
                found=found.value,
            )
            if has_ended and not self._records.is_answered(fingerprint):
                self._share(
                    all_facts.FactKind.CRASH, fingerprint, target.incarnation
                )

    def _note_end(self, incarnation: str, seconds: float) -> None:
        """Record that a replica is not up for a time from now."""
        now = time.monotonic()
        for ended in [
            ended for ended, until in self._ended_until.items() if until <= now
        ]:
            del self._ended_until[ended]
        until = max(now + seconds, self._ended_until.get(incarnation, 0.0))
        if until > now:
            self._ended_until[incarnation] = until

    def _is_up(self, target: replica.Replica, now: float) -> bool:
        has_failed = target.failures > 0 and now < target.avoid_until
        until = self._ended_until.get(target.incarnation, 0.0)
        return not has_failed and until <= now

    def _find_holding(self, fingerprint: str) -> _Probe | None:
        """Find a probe that a request waits for.

        A request that was once answered crashes no replica, and waits for
        none.
        """
        if self._records.is_answered(fingerprint):
            return None
        for probe in self._probes.values():
            if fingerprint in probe.fingerprints:
                return probe
        return None

    def _share(
        self, kind: all_facts.FactKind, fingerprint: str, value: str
    ) -> None:
        until_ms = clock.time_now_ms() + int(MEMORY_SECONDS * 1000)
        self._facts.share(all_facts.Fact(kind, fingerprint, value, until_ms))

    def _apply_crash(self, fact: all_facts.Fact) -> None:
        left_seconds = (fact.until_ms - clock.time_now_ms()) / 1000
        self._note_end(
            fact.value,
            min(ENDED_SECONDS, left_seconds - MEMORY_SECONDS + ENDED_SECONDS),
        )
        if self._records.is_answered(fact.key):
            # The gateway that reports it has not answered this request.
            self._share(all_facts.FactKind.ANSWER, fact.key, '')
            return
        now = time.monotonic()
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
