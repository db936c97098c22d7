"""Ownership of one trainer: takes its groups, generates, seals, hands over.

A step is handed over only after its seal was read back as effective, under
the claim of this owner. An owner that was superseded while it was paused
finds that its records have no effect, and stops.
"""

import asyncio
import typing

from auburnroad_core.log import records
from auburnroad_core.log import trainer_fold
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import copies
from auburnroad_daemon.version import generator
from auburnroad_daemon.version import ledger as ledgers
from auburnroad_daemon.version import owner_refusals
from auburnroad_daemon.version import samples
from auburnroad_daemon.version import sealer


class Owner:
    """The owner of one trainer, for as long as its claim is the newest."""

    __slots__ = (
        '_log',
        '_ledger',
        '_copier',
        '_sealer',
        '_generator',
        '_trainer',
        '_claim',
        '_changed',
        '_sealing',
        '_asked_step',
        '_on_version',
        'closed',
    )

    def __init__(
        self,
        log: sealer.Log,
        ledger: ledgers.Ledger,
        claim: int,
        current: deployment.Deployment,
        dispatcher: dispatch.Dispatcher,
        count_slots: typing.Callable[[str], int],
        choose_holder: typing.Callable[[], copies.Holder | None],
        on_version: typing.Callable[[str, int], None],
    ):
        self._log = log
        self._ledger = ledger
        self._claim = claim
        self._trainer = current.find_trainer(ledger.trainer)
        self._copier = copies.Copier(ledger, claim, choose_holder)
        self._sealer = sealer.Sealer(log, ledger, self._copier, claim)
        self._generator = generator.Generator(
            dispatcher, count_slots, self._accept, ledger, self._trainer, claim
        )
        self._generator.configure(self._trainer, current.policies)
        self._changed = asyncio.Event()
        self._sealing = asyncio.Lock()
        self._asked_step = -1
        self._on_version = on_version
        self.closed = False
        if ledger.version >= 0:
            on_version(self._trainer.model, ledger.version)
        self._plan()

    @property
    def claim(self) -> int:
        """Offset of the claim, which is its fencing number."""
        return self._claim

    @property
    def ledger(self) -> ledgers.Ledger:
        """The ledger, to be read only."""
        return self._ledger

    @property
    def copier(self) -> copies.Copier:
        """The owner's end of the copy."""
        return self._copier

    @property
    def _state(self) -> trainer_fold.TrainerState:
        return self._log.find(self._trainer.name)

    def configure(self, current: deployment.Deployment) -> None:
        """Take a configuration over that still has the trainer."""
        self._trainer = current.find_trainer(self._ledger.trainer)
        self._generator.configure(self._trainer, current.policies)

    async def drain(self) -> None:
        """Begin no more samples and let those in flight end."""
        await self._generator.drain()
        await self._copier.wait_copied()

    async def close(self) -> None:
        """Stop to generate; nothing is handed over any more."""
        self.closed = True
        await self._generator.close()
        self._changed.set()

    async def set_version(self, version: int, strict: bool = False) -> None:
        """Take in the trainer's weight version.

        Args:
          version: Version that the trainer is at.
          strict: Whether a lower version than known is refused.

        Raises:
          RefusedError: If the version went back.
        """
        if strict and version < self._ledger.version:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.VERSION_BACK,
                f'version {self._ledger.version} is known already; a run '
                'that starts over goes on above it',
            )
        if version > self._ledger.version:
            self._copier.apply(ledgers.SetVersion(version))
            self._on_version(self._trainer.model, version)
            self._drop_stale()
            self._changed.set()

    async def submit(self, change: ledgers.AddGroups) -> int:
        """Take groups in.

        Args:
          change: The submission.

        Returns:
          How many groups of the submission are held.

        Raises:
          RefusedError: If a group differs, or the step is sealed.
        """
        self._check_generation(change.step, change.generation)
        if self._sealer.is_sealed(change.step, change.generation):
            return len(change.prompts)
        try:
            new = ledgers.find_new_prompts(self._ledger, change)
        except ledgers.GroupDiffersError as error:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.GROUP_DIFFERS,
                f'group {error} was submitted with another prompt',
            ) from error
        if new:
            self._copier.apply(
                ledgers.AddGroups(change.step, change.generation, new)
            )
            self._plan()
            self._changed.set()
        await self._copier.wait_copied()
        return len(change.prompts)

    async def take(
        self, step: int, generation: int, version: int, wait_seconds: float
    ) -> bytes:
        """Hand a step over.

        Args:
          step: Number of the step.
          generation: Generation that the trainer wants.
          version: Weight version that the trainer is at now.
          wait_seconds: How long to wait for a step that isn't whole.

        Returns:
          The sealed contents; the same bytes each time.

        Raises:
          RefusedError: If the step can't be handed over.
        """
        await self.set_version(version)
        self._check_generation(step, generation)
        self._finish_before(step)
        self._asked_step = max(self._asked_step, step)
        self._plan()
        if not self._sealer.is_sealed(step, generation):
            await self._wait_ready(step, generation, wait_seconds)
            async with self._sealing:
                await self._seal(step, generation)
        return self._hand_over(step, generation)

    async def void(self, step: int, generation: int) -> int:
        """Give a sealed step up.

        Args:
          step: Number of the step.
          generation: Generation that is given up.

        Returns:
          The generation under which the step is submitted anew.

        Raises:
          RefusedError: If the log service can't take the record.
        """
        current = self._state.find_generation(step)
        if generation == current and self._sealer.is_sealed(step, generation):
            await self._sealer.append(
                records.Void(self._trainer.name, step, generation, self._claim)
            )
            current = self._state.find_generation(step)
        if current != generation + 1:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.GENERATION,
                f'generation {current} is the newest',
            )
        own = [
            identity
            for identity, group in self._ledger.groups.items()
            if group.step == step and group.generation < current
        ]
        self._copier.apply(ledgers.Finish(step, own))
        return current

    def describe(self) -> dict:
        """Describe the trainer for status pages."""
        return {
            'trainer': self._trainer.name,
            'model': self._trainer.model,
            'claim': self._claim,
            'copy': self._copier.holder_name,
            'version': self._ledger.version,
            'newest_step': self._state.newest_step,
            'groups': len(self._ledger.groups),
            'samples': sum(
                len(group.samples) for group in self._ledger.groups.values()
            ),
        }

    def _plan(self) -> None:
        """Tell the generator how far ahead it may work."""
        self._generator.last_step = samples.predict_last_step(
            self._state.newest_step + 1,
            self._asked_step,
            self._trainer.staleness_bound,
        )
        self._generator.asked_step = self._asked_step
        self._generator.wake()

    def _accept(self, want: samples.Want, sample: ledgers.Sample) -> None:
        group = self._ledger.groups.get(want.group)
        if group is None or want.index in group.samples:
            metrics.SAMPLES.labels('superseded').inc()
            return
        oldest = self._ledger.version - self._trainer.staleness_bound
        if (types.oldest_version(sample.spans) or 0) < oldest:
            metrics.SAMPLES.labels('stale').inc()
            return
        self._copier.apply(ledgers.AddSample(want.group, sample))
        self._changed.set()

    def _drop_stale(self) -> None:
        """Drop samples that can't be handed over any more."""
        oldest = self._ledger.version - self._trainer.staleness_bound
        for identity, group in self._ledger.groups.items():
            if indices := ledgers.find_stale_samples(group, oldest):
                metrics.SAMPLES.labels('stale').inc(len(indices))
                self._copier.apply(ledgers.DropSamples(identity, indices))
        self._generator.wake()

    def _check_generation(self, step: int, generation: int) -> None:
        current = self._state.find_generation(step)
        if generation != current:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.GENERATION,
                f'step {step} is at generation {current}',
            )
        if step < self._state.newest_step:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.ALREADY_TAKEN,
                f'step {self._state.newest_step} was sealed later',
            )

    def _finish_before(self, step: int) -> None:
        """Drop what earlier steps used up: the trainer has taken them."""
        for earlier, sealed in sorted(self._state.sealed.items()):
            used = trainer_fold.list_identities(
                earlier, sealed.groups, sealed.carried
            )
            held = [name for name in used if name in self._ledger.groups]
            if earlier < step and (held or earlier in self._ledger.sealed):
                self._copier.apply(ledgers.Finish(earlier, held))
        self._drop_expired(step)

    def _drop_expired(self, step: int) -> None:
        """Drop groups that came too late for any step that may use them."""
        oldest = step - trainer_fold.CARRY_STEPS
        expired = [
            identity
            for identity, group in self._ledger.groups.items()
            if group.step < oldest
        ]
        if expired:
            metrics.SAMPLES.labels('expired').inc(len(expired))
            self._copier.apply(ledgers.Finish(oldest - 1, expired))

    def _choose(self, step: int, generation: int):
        return ledgers.choose_groups(
            self._ledger,
            step,
            generation,
            self._trainer.samples_per_group,
            self._trainer.group_fraction,
        )

    async def _wait_ready(
        self, step: int, generation: int, wait_seconds: float
    ) -> None:
        known = any(
            g.step == step and g.generation == generation
            for g in self._ledger.groups.values()
        )
        if not known:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.UNKNOWN_STEP,
                f'submit the groups of step {step}',
            )
        try:
            async with asyncio.timeout(wait_seconds):
                while not (self.closed or self._choose(step, generation)):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.NOT_READY,
                f'step {step} is not whole yet',
            ) from None
        self._check_open()

    async def _seal(self, step: int, generation: int) -> None:
        """Seal a step, unless a question before has done it."""
        if self._sealer.is_sealed(step, generation):
            return
        await self._sealer.seal(
            step, generation, lambda: self._choose(step, generation)
        )

    def _hand_over(self, step: int, generation: int) -> bytes:
        """Return the sealed contents, if they are held and still fresh."""
        self._check_open()
        oldest = self._ledger.version - self._trainer.staleness_bound
        contents = self._sealer.find_contents(step, generation, oldest)
        metrics.SAMPLES.labels('handed over').inc()
        self._plan()
        return contents.body

    def _check_open(self) -> None:
        if self.closed or self._state.claim != self._claim:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.NOT_OWNER,
                'another entry owns the trainer now',
            )
