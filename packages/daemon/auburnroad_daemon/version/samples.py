"""Generates the samples that a trainer's ledger still misses.

The owner keeps no more samples in flight than the engines can take, so that
the waiting is done here, where the lowest step goes first and what is not
wanted any more costs nothing.
"""

import asyncio
import collections
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import ledger as ledgers

MIN_WINDOW = 8
WINDOW_FACTOR = 1.5
FAILED_PAUSE_SECONDS = 0.1


class Want(msgspec.Struct, frozen=True):
    """A sample that is to be generated.

    Attributes:
      step: Step of its group.
      group: Identity of its group.
      index: Place within the group.
    """

    step: int
    group: str
    index: int


def find_wanted(
    ledger: ledgers.Ledger,
    samples_per_group: int,
    last_step: int,
    running: typing.Container[Want],
) -> list[Want]:
    """Find samples to generate, the lowest step first.

    Args:
      ledger: The ledger.
      samples_per_group: Samples in a group.
      last_step: Highest step whose samples would still be fresh.
      running: Samples that are being generated.

    Returns:
      The samples, in the order in which they should be begun.
    """
    wanted = [
        Want(group.step, identity, index)
        for identity, group in ledger.groups.items()
        if group.step <= last_step
        for index in range(samples_per_group)
        if index not in group.samples
    ]
    wanted.sort(key=lambda want: want.step)
    return [want for want in wanted if want not in running]


def predict_last_step(
    first_open_step: int, asked_step: int, staleness_bound: int
) -> int:
    """Predict up to which step samples generated now would be fresh.

    A trainer's version is taken to go up by one with each step, so a step
    that is more than the bound ahead would be handed over too stale.

    Args:
      first_open_step: Lowest step that isn't sealed.
      asked_step: Highest step that the trainer has asked for; it is never
        held back, since the trainer waits for it.
      staleness_bound: Versions that a sample may be behind.

    Returns:
      Number of the step.
    """
    return max(first_open_step + staleness_bound, asked_step)


class Generator:
    """Keeps the samples of one trainer in generation."""

    __slots__ = (
        '_dispatcher',
        '_count_slots',
        '_accept',
        '_ledger',
        '_trainer',
        '_claim',
        '_running',
        '_wanted',
        '_outdated',
        '_wake',
        '_pump',
        '_attempts',
        'last_step',
    )

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        count_slots: typing.Callable[[str], int],
        accept: typing.Callable[[Want, ledgers.Sample], None],
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
        self._running: dict[Want, asyncio.Task] = {}
        self._attempts: dict[Want, int] = {}
        self._wanted: collections.deque[Want] = collections.deque()
        self._outdated = True
        self._wake = asyncio.Event()
        self._pump = asyncio.create_task(self._run())
        self.last_step = 0

    def set_trainer(self, trainer: deployment.Trainer) -> None:
        """Take over a changed configuration of the trainer."""
        self._trainer = trainer
        self.wake()

    def wake(self) -> None:
        """Look again through the whole ledger for samples to generate."""
        self._outdated = True
        self._wake.set()

    async def drain(self) -> None:
        """Begin nothing more and wait for what is being generated."""
        self._pump.cancel()
        running = list(self._running.values())
        if running:
            await asyncio.wait(running)

    async def close(self) -> None:
        """Stop; what is being generated is cancelled."""
        tasks = [self._pump, *self._running.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            if self._outdated:
                self._outdated = False
                self._cancel_unwanted()
                self._wanted = collections.deque(self._find_wanted())
            self._begin_wanted()
            await self._wake.wait()

    def _find_wanted(self) -> list[Want]:
        return find_wanted(
            self._ledger,
            self._trainer.samples_per_group,
            self.last_step,
            self._running,
        )

    def _begin_wanted(self) -> None:
        slots = self._count_slots(self._trainer.service)
        window = max(MIN_WINDOW, int(slots * WINDOW_FACTOR))
        while self._wanted and len(self._running) < window:
            self._begin(self._wanted.popleft())

    def _begin(self, want: Want) -> None:
        if want.group not in self._ledger.groups:
            return
        task = asyncio.create_task(self._generate(want))
        self._running[want] = task
        task.add_done_callback(lambda _: self._forget(want))

    def _cancel_unwanted(self) -> None:
        for want, task in self._running.items():
            group = self._ledger.groups.get(want.group)
            if group is None or want.index in group.samples:
                task.cancel()

    def _forget(self, want: Want) -> None:
        self._running.pop(want, None)
        group = self._ledger.groups.get(want.group)
        if group is not None and want.index not in group.samples:
            # It failed, and its step may be the one that is waited for.
            self._wanted.appendleft(want)
        self._wake.set()

    async def _generate(self, want: Want) -> None:
        group = self._ledger.groups[want.group]
        number = self._attempts.get(want, 0) + 1
        self._attempts[want] = number
        call = self._build_call(want, group, number)
        result = await self._dispatcher.run(call)
        if result.outcome is types.Outcome.RUN and result.status == 200:
            metrics.SAMPLES.labels('generated').inc()
            self._accept(want, build_sample(want, number, result))
            return
        metrics.SAMPLES.labels('failed').inc()
        await asyncio.sleep(FAILED_PAUSE_SECONDS)

    def _build_call(
        self, want: Want, group: ledgers.Group, number: int
    ) -> dispatch.Call:
        trainer = self._trainer
        # The claim keeps ids of a later owner apart from ours.
        request_id = (
            f'{trainer.name}/{want.group}/{want.index}/{self._claim}-{number}'
        )
        body = msgspec.json.encode(
            {
                'model': trainer.model,
                'prompt': group.prompt.prompt,
                'max_tokens': group.prompt.max_tokens,
            }
        )
        submit = messages.Submit(
            request_id,
            trainer.service,
            types.RequestClass.SAMPLE,
            clock.time_now_ms() + trainer.sample_timeout_ms,
            True,
            False,
            'POST',
            '/v1/completions',
            {},
            body,
            trainer.model,
            trainer.name,
            want.step,
            want.group,
            max(-1, self._ledger.version - trainer.staleness_bound),
        )
        return dispatch.Call(submit, group.prompt.prompt.encode())


def build_sample(
    want: Want, number: int, result: dispatch.Result
) -> ledgers.Sample:
    """Build a sample from the result of a call.

    Args:
      want: What was to be generated.
      number: Number of the attempt.
      result: The call's result.

    Returns:
      The sample.
    """
    return ledgers.Sample(
        want.index,
        result.text,
        result.spans,
        number,
        result.replica,
        result.request_id,
    )
