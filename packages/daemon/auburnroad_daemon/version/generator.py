"""Generates the samples that a trainer's ledger still misses.

The owner keeps no more samples in flight than the engines can take, so that
the waiting is done here, where the lowest step goes first and what is not
wanted any more costs nothing. Stragglers get a second attempt on another
host; the first whole answer counts and the other attempt is cancelled.
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

MIN_WINDOW = 8
WINDOW_FACTOR = 1.5
FAILED_PAUSE_SECONDS = 0.1
TICK_SECONDS = 0.1
DURATIONS_KEPT = 128

Accept = typing.Callable[[samples.Want, ledgers.Sample], None]


class _Work:
    """The attempts at one sample that run now."""

    __slots__ = ('want', 'begun_ms', 'calls', 'tasks')

    def __init__(self, want: samples.Want, begun_ms: int):
        self.want = want
        self.begun_ms = begun_ms
        self.calls: list[dispatch.Call] = []
        self.tasks: set[asyncio.Task] = set()

    def list_hosts(self) -> frozenset[str]:
        """List the hosts that its attempts went to."""
        return frozenset(host for call in self.calls for host in call.tried)

    def cancel(self, spare: asyncio.Task | None = None) -> None:
        """Cancel every attempt but one."""
        for task in self.tasks:
            if task is not spare:
                task.cancel()


class Generator:
    """Keeps the samples of one trainer in generation."""

    __slots__ = (
        '_dispatcher',
        '_count_slots',
        '_accept',
        '_ledger',
        '_trainer',
        '_claim',
        '_works',
        '_in_flight',
        '_wanted',
        '_outdated',
        '_wake',
        '_pump',
        '_numbers',
        '_durations_ms',
        '_hedge',
        'last_step',
        'asked_step',
    )

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        count_slots: typing.Callable[[str], int],
        accept: Accept,
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
        self._works: dict[samples.Want, _Work] = {}
        self._in_flight = 0
        self._numbers: collections.Counter[samples.Want] = (
            collections.Counter()
        )
        self._durations_ms: collections.deque[int] = collections.deque(
            maxlen=DURATIONS_KEPT
        )
        self._wanted: collections.deque[samples.Want] = collections.deque()
        self._outdated = True
        self._wake = asyncio.Event()
        self._pump = asyncio.create_task(self._run())
        self._hedge = hedging.hedge_never
        self.last_step = 0
        self.asked_step = -1

    def configure(
        self, trainer: deployment.Trainer, policies: deployment.Policies
    ) -> None:
        """Take over the trainer's settings and the policies in force."""
        self._trainer = trainer
        self._hedge = hedging.POLICIES.get(policies.hedging)
        self.wake()

    def wake(self) -> None:
        """Look again through the whole ledger for samples to generate."""
        self._outdated = True
        self._wake.set()

    async def drain(self) -> None:
        """Begin nothing more and wait for what is being generated."""
        self._pump.cancel()
        running = self._list_tasks()
        if running:
            await asyncio.wait(running)

    async def close(self) -> None:
        """Stop; what is being generated is cancelled."""
        tasks = [self._pump, *self._list_tasks()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _list_tasks(self) -> list[asyncio.Task]:
        return [task for work in self._works.values() for task in work.tasks]

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            if self._outdated:
                self._outdated = False
                self._cancel_unwanted()
                self._wanted = collections.deque(self._find_wanted())
            self._begin_wanted()
            self._hedge_stragglers(clock.time_now_ms())
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _find_wanted(self) -> list[samples.Want]:
        return samples.find_wanted(
            self._ledger,
            self._trainer.samples_per_group,
            self.last_step,
            self._works,
        )

    def _count_window(self) -> int:
        slots = self._count_slots(self._trainer.service)
        return max(MIN_WINDOW, int(slots * WINDOW_FACTOR))

    def _begin_wanted(self) -> None:
        window = self._count_window()
        while self._wanted and self._in_flight < window:
            want = self._wanted.popleft()
            if want.group in self._ledger.groups and want not in self._works:
                work = _Work(want, clock.time_now_ms())
                self._works[want] = work
                self._spawn(work)

    def _hedge_stragglers(self, now_ms: int) -> None:
        """Begin second attempts, once all of the step asked for has begun.

        Samples of later steps don't hold them back: the trainer waits for
        this one. Nor do groups that the step can do without.
        """
        if self._wanted and self._wanted[0].step <= self.asked_step:
            return
        waited = [
            work
            for work in self._works.values()
            if work.want.step <= self.asked_step
        ]
        trainer = self._trainer
        wanted = trainer.groups_per_step * trainer.samples_per_group
        spared = int(wanted * (1.0 - trainer.group_fraction))
        for work in waited:
            straggler = hedging.Straggler(
                now_ms - work.begun_ms,
                len(work.tasks),
                max(0, len(waited) - spared),
                wanted,
                self._durations_ms,
            )
            if self._hedge(straggler, self._trainer):
                metrics.SAMPLES.labels('hedged').inc()
                self._spawn(work)

    def _spawn(self, work: _Work) -> None:
        self._numbers[work.want] += 1
        number = self._numbers[work.want]
        call = self._build_call(work, number)
        work.calls.append(call)
        task = asyncio.create_task(self._generate(work, call, number))
        work.tasks.add(task)
        self._in_flight += 1
        task.add_done_callback(lambda done: self._end(work, done))

    def _name_sample(self, want: samples.Want) -> str:
        return f'{self._trainer.name}/{want.group}/{want.index}'

    def _build_call(self, work: _Work, number: int) -> dispatch.Call:
        # The claim keeps ids of a later owner apart from ours.
        sample = self._name_sample(work.want)
        request_id = f'{sample}/{self._claim}-{number}'
        self._dispatcher.record(sample, 'request', request_id)
        return samples.build_call(
            self._trainer,
            self._ledger,
            work.want,
            request_id,
            work.list_hosts(),
        )

    def _end(self, work: _Work, task: asyncio.Task) -> None:
        """Forget an attempt; the last one that failed is made up for."""
        self._in_flight -= 1
        work.tasks.discard(task)
        if not work.tasks:
            self._works.pop(work.want, None)
            if self._is_missing(work.want):
                # Its step may be the one that is waited for.
                self._wanted.appendleft(work.want)
        self._wake.set()

    def _is_missing(self, want: samples.Want) -> bool:
        group = self._ledger.groups.get(want.group)
        return group is not None and want.index not in group.samples

    def _cancel_unwanted(self) -> None:
        for work in list(self._works.values()):
            if not self._is_missing(work.want):
                work.cancel()

    async def _generate(
        self, work: _Work, call: dispatch.Call, number: int
    ) -> None:
        begun_ms = clock.time_now_ms()
        result = await self._dispatcher.run(call)
        if result.outcome is not types.Outcome.RUN or result.status != 200:
            metrics.SAMPLES.labels('failed').inc()
            await asyncio.sleep(FAILED_PAUSE_SECONDS)
            return
        metrics.SAMPLES.labels('generated').inc()
        self._durations_ms.append(clock.time_now_ms() - begun_ms)
        self._dispatcher.record(
            self._name_sample(work.want), 'whole', result.request_id
        )
        sample = samples.build_sample(work.want, number, result)
        self._accept(work.want, sample)
        if not self._is_missing(work.want):
            work.cancel(spare=asyncio.current_task())
