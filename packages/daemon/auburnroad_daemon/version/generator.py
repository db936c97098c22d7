"""Generates the samples that a trainer's ledger lacks.

The number of samples in flight is limited by the capacity of the engines.
Excess samples are queued by the generator: lower steps are started first, and
obsolete samples are dropped before they use engine time. A straggler gets a
second attempt on another host; the first complete result is kept and the other
attempt is cancelled.
"""

import asyncio
import collections
import typing

from auburnroad_core import clock
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import hedging
from auburnroad_daemon.version import ledger as ledgers
from auburnroad_daemon.version import samples

MIN_ATTEMPTS_IN_FLIGHT = 8
ATTEMPTS_IN_FLIGHT_PER_SLOT = 1.5
RETRY_DELAY_SECONDS = 0.1
POLL_INTERVAL_SECONDS = 0.1
DURATIONS_KEPT = 128

AcceptSample = typing.Callable[[samples.SampleKey, ledgers.Sample], None]


class _RunningSample:
    """The running attempts at one sample."""

    __slots__ = ('key', 'started_ms', 'calls', 'tasks')

    def __init__(self, key: samples.SampleKey, started_ms: int):
        self.key = key
        self.started_ms = started_ms
        self.calls: list[dispatch.Call] = []
        self.tasks: set[asyncio.Task] = set()

    def list_hosts(self) -> frozenset[str]:
        """List the hosts that the attempts have tried."""
        return frozenset(host for call in self.calls for host in call.tried)

    def cancel(self, keep: asyncio.Task | None = None) -> None:
        """Cancel all attempts except the given one."""
        for task in self.tasks:
            if task is not keep:
                task.cancel()


class Generator:
    """Starts, hedges and cancels the sample attempts of one trainer."""

    __slots__ = (
        '_dispatcher',
        '_count_slots',
        '_accept',
        '_ledger',
        '_trainer',
        '_claim',
        '_running',
        '_in_flight',
        '_pending',
        '_needs_rescan',
        '_wake',
        '_loop_task',
        '_attempt_counts',
        '_durations_ms',
        '_hedge',
        'last_step',
        'requested_step',
    )

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        count_slots: typing.Callable[[str], int],
        accept: AcceptSample,
        ledger: ledgers.Ledger,
        trainer: deployment.Trainer,
        claim: int,
    ):
        self._dispatcher = dispatcher
        self._count_slots = count_slots
        self._accept = accept
        self._ledger = ledger
        self._trainer = trainer
        self._claim = claim
        self._running: dict[samples.SampleKey, _RunningSample] = {}
        self._in_flight = 0
        self._attempt_counts: collections.Counter[samples.SampleKey] = (
            collections.Counter()
        )
        self._durations_ms: collections.deque[int] = collections.deque(
            maxlen=DURATIONS_KEPT
        )
        self._pending: collections.deque[samples.SampleKey] = (
            collections.deque()
        )
        self._needs_rescan = True
        self._wake = asyncio.Event()
        self._loop_task = asyncio.create_task(self._run())
        self._hedge = hedging.hedge_never
        self.last_step = 0
        self.requested_step = -1

    def configure(
        self, trainer: deployment.Trainer, policies: deployment.Policies
    ) -> None:
        """Apply the trainer's settings and the hedging policy."""
        self._trainer = trainer
        self._hedge = hedging.POLICIES.get(policies.hedging)
        self.request_rescan()

    def request_rescan(self) -> None:
        """Rescan the entire ledger for samples to generate."""
        self._needs_rescan = True
        self._wake.set()

    async def drain(self) -> None:
        """Start no more attempts and wait for the running ones."""
        self._loop_task.cancel()
        running = self._list_tasks()
        if running:
            await asyncio.wait(running)

    async def close(self) -> None:
        """Stop and cancel the running attempts."""
        tasks = [self._loop_task, *self._list_tasks()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _list_tasks(self) -> list[asyncio.Task]:
        return [
            task
            for sample_run in self._running.values()
            for task in sample_run.tasks
        ]

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            if self._needs_rescan:
                self._needs_rescan = False
                self._cancel_obsolete()
                self._pending = collections.deque(self._find_missing_samples())
            self._start_pending()
            self._hedge_stragglers(clock.time_now_ms())
            try:
                async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _find_missing_samples(self) -> list[samples.SampleKey]:
        return samples.find_missing_samples(
            self._ledger,
            self._trainer.samples_per_group,
            self.last_step,
            self._running,
        )

    def _compute_max_in_flight(self) -> int:
        slots = self._count_slots(self._trainer.service)
        return max(
            MIN_ATTEMPTS_IN_FLIGHT, int(slots * ATTEMPTS_IN_FLIGHT_PER_SLOT)
        )

    def _start_pending(self) -> None:
        max_in_flight = self._compute_max_in_flight()
        while self._pending and self._in_flight < max_in_flight:
            key = self._pending.popleft()
            if key.group in self._ledger.groups and key not in self._running:
                sample_run = _RunningSample(key, clock.time_now_ms())
                self._running[key] = sample_run
                self._start_attempt(sample_run)

    def _hedge_stragglers(self, now_ms: int) -> None:
        """Hedge stragglers if the requested step has no pending samples.

        Pending samples of later steps don't delay second attempts, since the
        trainer waits for the requested step. Samples of the groups that the
        group fraction allows the step to omit don't count as missing.
        """
        if self._pending and self._pending[0].step <= self.requested_step:
            return
        awaited = [
            sample_run
            for sample_run in self._running.values()
            if sample_run.key.step <= self.requested_step
        ]
        trainer = self._trainer
        step_size = trainer.groups_per_step * trainer.samples_per_group
        optional = int(step_size * (1.0 - trainer.group_fraction))
        for sample_run in awaited:
            straggler = hedging.Straggler(
                now_ms - sample_run.started_ms,
                len(sample_run.tasks),
                max(0, len(awaited) - optional),
                step_size,
                self._durations_ms,
            )
            if self._hedge(straggler, self._trainer):
                metrics.SAMPLES.labels('hedged').inc()
                self._start_attempt(sample_run)

    def _start_attempt(self, sample_run: _RunningSample) -> None:
        self._attempt_counts[sample_run.key] += 1
        attempt = self._attempt_counts[sample_run.key]
        call = self._build_call(sample_run, attempt)
        sample_run.calls.append(call)
        task = asyncio.create_task(
            self._run_attempt(sample_run, call, attempt)
        )
        sample_run.tasks.add(task)
        self._in_flight += 1
        task.add_done_callback(
            lambda done: self._handle_attempt_end(sample_run, done)
        )

    def _build_sample_id(self, key: samples.SampleKey) -> str:
        return f'{self._trainer.name}/{key.group}/{key.index}'

    def _build_call(
        self, sample_run: _RunningSample, attempt: int
    ) -> dispatch.Call:
        # The claim makes request ids distinct from those of a later owner.
        sample = self._build_sample_id(sample_run.key)
        request_id = f'{sample}/{self._claim}-{attempt}'
        self._dispatcher.record_event(sample, 'request', request_id)
        return samples.build_call(
            self._trainer,
            self._ledger,
            sample_run.key,
            request_id,
            sample_run.list_hosts(),
        )

    def _handle_attempt_end(
        self, sample_run: _RunningSample, task: asyncio.Task
    ) -> None:
        """Remove an attempt; retry the sample if it was the last attempt."""
        self._in_flight -= 1
        sample_run.tasks.discard(task)
        if not sample_run.tasks:
            self._running.pop(sample_run.key, None)
            if self._is_missing(sample_run.key):
                # First in the queue: the trainer may be waiting for this step.
                self._pending.appendleft(sample_run.key)
        self._wake.set()

    def _is_missing(self, key: samples.SampleKey) -> bool:
        group = self._ledger.groups.get(key.group)
        return group is not None and key.index not in group.samples

    def _cancel_obsolete(self) -> None:
        for sample_run in list(self._running.values()):
            if not self._is_missing(sample_run.key):
                sample_run.cancel()

    async def _run_attempt(
        self, sample_run: _RunningSample, call: dispatch.Call, attempt: int
    ) -> None:
        started_ms = clock.time_now_ms()
        result = await self._dispatcher.run(call)
        if result.outcome is not types.Outcome.RUN or result.status != 200:
            metrics.SAMPLES.labels('failed').inc()
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return
        metrics.SAMPLES.labels('generated').inc()
        self._durations_ms.append(clock.time_now_ms() - started_ms)
        self._dispatcher.record_event(
            self._build_sample_id(sample_run.key), 'whole', result.request_id
        )
        sample = samples.build_sample(sample_run.key, attempt, result)
        self._accept(sample_run.key, sample)
        if not self._is_missing(sample_run.key):
            sample_run.cancel(keep=asyncio.current_task())
