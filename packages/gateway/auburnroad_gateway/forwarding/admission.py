"""Lets single requests wait for slots of full services, in fair shares.

A request waits only if all replicas of its service are full as far as this
gateway knows, and for a share of its route's target latency, so that the
caller learns early that it has to return. Each gateway shares the slots that
it finds free; there is no agreement among gateways.

Only deployments with client accounts use this.
"""

import asyncio
import random
import time
import typing

from auburnroad_core.http import messages
from auburnroad_gateway.accounts import fair_queue
from auburnroad_gateway.configuration import holder as configurations
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

# Share of the route's target latency that a request may wait. A refusal is
# due within a quarter of it; the rest is left to the event loop.
WAIT_LATENCY_SHARE = 0.22
# Interval of the checks for slots that other work than single requests, or
# other gateways, left free.
CHECK_SECONDS = 0.02
# Time for which a refused caller is known when it returns.
RETURN_SECONDS = 10.0
MAX_REFUSED = 5000
# Minimum interval of the log lines of one service.
EVENT_SECONDS = 5.0


class _ServiceQueue:
    """Waiting requests of one service.

    Attributes:
      queue: The waiting requests.
      futures: Futures of their waiters: None once a slot is free, otherwise
        the refusal.
      reserved: Number of free slots whose waiters have not continued yet.
      refused: Number of requests refused since the last log line.
      written_at: Monotonic time of that line in seconds.
      watch: Task that checks for free slots while requests wait.
    """

    __slots__ = (
        'queue',
        'futures',
        'reserved',
        'refused',
        'written_at',
        'watch',
    )

    def __init__(self, draw: typing.Callable[[], float]):
        self.queue = fair_queue.FairQueue(draw)
        self.futures: dict[fair_queue.Entry, asyncio.Future] = {}
        self.reserved = 0
        self.refused = 0
        self.written_at = float('-inf')
        self.watch: asyncio.Task | None = None


class Admission:
    """Admits single requests to the slots of plain services."""

    __slots__ = (
        '_configuration',
        '_directory',
        '_draw',
        '_services',
        '_refused',
    )

    def __init__(
        self,
        holder: configurations.ConfigurationHolder,
        replicas: directory.Directory,
        draw: typing.Callable[[], float] = random.random,
    ):
        """Create the admission of a gateway.

        Args:
          holder: Holder of the current configuration.
          replicas: Registered replicas.
          draw: Draws a number in [0, 1), to spread returning callers.
        """
        self._configuration = holder
        self._directory = replicas
        self._draw = draw
        self._services: dict[str, _ServiceQueue] = {}
        # Time until which a refused caller may return, by account and
        # fingerprint.
        self._refused: dict[tuple[str, str], float] = {}

    def count_waiting(self, service: str) -> int:
        """Count the requests that wait for a slot of a service."""
        known = self._services.get(service)
        return len(known.queue) if known is not None else 0

    def note_end(self, service: str) -> None:
        """Give a slot that has become free to the next request."""
        known = self._services.get(service)
        if known is not None:
            self._assign(service, known, time.monotonic())

    async def enter(self, pending) -> messages.Response | None:
        """Wait until a request may be sent.

        Args:
          pending: A requests.PendingRequest.

        Returns:
          A refusal if there is no slot for it in time; None if the request
          is to be sent now, before the event loop runs other tasks.
        """
        if not self._shares_slots(pending):
            return None
        now = time.monotonic()
        known = self._services.setdefault(
            pending.service, _ServiceQueue(self._draw)
        )
        # Slots may have become free since the last check.
        self._assign(pending.service, known, now)
        if not known.queue and self._count_free(pending.service, known) > 0:
            return None
        entry = self._build_entry(pending, now)
        refusal = known.queue.add(entry, now)
        if refusal is not None:
            metrics.FAIR_QUEUE.labels('refused_at_once').inc()
        else:
            refusal = await self._wait(pending.service, known, entry)
        if refusal is None:
            metrics.FAIR_QUEUE.labels('served').inc()
            return None
        return self._refuse(pending, known, refusal)

    def _shares_slots(self, pending) -> bool:
        """Tell whether a request takes part; reward calls don't."""
        current = self._configuration.current
        if current is None or current.accounts is None:
            return False
        service = current.services.get(pending.service)
        is_plain = service is None or not service.models
        return (
            is_plain
            and bool(pending.fingerprint)
            and bool(self._directory.list_ready(pending.service))
        )

    def _build_entry(self, pending, now: float) -> fair_queue.Entry:
        wait = WAIT_LATENCY_SHARE * pending.route.target_latency_ms / 1000
        key = _find_key(pending)
        return fair_queue.Entry(
            key[0],
            pending.priority,
            1.0,
            min(now + wait, pending.deadline_at),
            self._refused.pop(key, 0.0) > now,
        )

    async def _wait(
        self, service: str, known: _ServiceQueue, entry: fair_queue.Entry
    ) -> fair_queue.Refusal | None:
        future = asyncio.get_running_loop().create_future()
        known.futures[entry] = future
        if known.watch is None:
            known.watch = asyncio.ensure_future(self._watch(service, known))
        # The slot may have become free while other requests wait.
        self._assign(service, known, time.monotonic())
        try:
            return await future
        finally:
            now = time.monotonic()
            known.futures.pop(entry, None)
            known.queue.remove(entry, now)
            if future.done() and not future.cancelled():
                if future.result() is None:
                    known.reserved -= 1

    async def _watch(self, service: str, known: _ServiceQueue) -> None:
        """Check for free slots and overdue requests while any wait."""
        try:
            while known.queue:
                deadline_at = known.queue.find_next_deadline()
                left = deadline_at - time.monotonic()
                await asyncio.sleep(max(0.0, min(CHECK_SECONDS, left)))
                self._assign(service, known, time.monotonic())
        finally:
            known.watch = None

    def _assign(self, service: str, known: _ServiceQueue, now: float) -> None:
        """Refuse overdue requests, and give free slots to the next ones."""
        for entry, refusal in known.queue.refuse_overdue(now):
            metrics.FAIR_QUEUE.labels('refused_late').inc()
            self._resolve(known, entry, refusal)
        while known.queue and self._count_free(service, known) > 0:
            entry = known.queue.pop(now)
            known.reserved += self._resolve(known, entry, None)

    def _resolve(self, known: _ServiceQueue, entry, result) -> bool:
        """Let a waiter continue; tell whether it still waits."""
        future = known.futures.pop(entry, None)
        if future is None or future.done():
            return False
        future.set_result(result)
        return True

    def _count_free(self, service: str, known: _ServiceQueue) -> int:
        """Count the slots that are free as far as this gateway knows."""
        now = time.monotonic()
        ready = self._directory.list_ready(service)
        free = sum(max(0, target.count_free(now)) for target in ready)
        if not any(target.in_flight for target in ready):
            # Reports of full replicas are renewed only by requests.
            free = max(1, free)
        return free - known.reserved

    def _refuse(
        self, pending, known: _ServiceQueue, refusal: fair_queue.Refusal
    ) -> messages.Response:
        now = time.monotonic()
        if len(self._refused) >= MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        self._refused[_find_key(pending)] = now + RETURN_SECONDS
        known.refused += 1
        if now >= known.written_at + EVENT_SECONDS:
            events.write(
                'slots_contended',
                service=pending.service,
                account=_find_key(pending)[0],
                route=pending.route.name,
                waiting=len(known.queue),
                refused=known.refused,
                retry_seconds=round(refusal.retry_seconds, 2),
            )
            known.refused = 0
            known.written_at = now
        return refusals.build_refusal('no_slot', refusal.retry_seconds)


def _find_key(pending) -> tuple[str, str]:
    """Find by what a caller is known when it returns."""
    return pending.account or '', pending.fingerprint
