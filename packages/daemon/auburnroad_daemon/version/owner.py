"""The owner of one trainer: accepts its groups and delivers its steps.

A step is delivered only after its seal was read back from the log and took
effect under the claim of this owner. The records of an owner that was
superseded while it was paused have no effect, so a superseded owner refuses to
deliver.
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
    """Serves one trainer while its claim is the newest."""

    __slots__ = (
        '_log',
        '_ledger',
        '_copier',
        '_sealer',
        '_generator',
        '_trainer',
        '_claim',
        '_changed',
        '_seal_lock',
        '_requested_step',
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
            dispatcher,
            count_slots,
            self._accept_sample,
            ledger,
            self._trainer,
            claim,
        )
        self._generator.configure(self._trainer, current.policies)
        self._changed = asyncio.Event()
        self._seal_lock = asyncio.Lock()
        self._requested_step = -1
        self._on_version = on_version
        self.closed = False
        if ledger.version >= 0:
            on_version(self._trainer.model, ledger.version)
        self._update_generation_limit()

    @property
    def claim(self) -> int:
        """Offset of the claim in the log; also the fencing number."""
        return self._claim

    @property
    def ledger(self) -> ledgers.Ledger:
        """The ledger; callers must not modify it."""
        return self._ledger

    @property
    def copier(self) -> copies.Copier:
        """Sender of the ledger's changes to the holder of the copy."""
        return self._copier

    @property
    def _state(self) -> trainer_fold.TrainerState:
        return self._log.find(self._trainer.name)

    def configure(self, current: deployment.Deployment) -> None:
        """Apply a configuration, which must contain the trainer."""
        self._trainer = current.find_trainer(self._ledger.trainer)
        self._generator.configure(self._trainer, current.policies)

    async def drain(self) -> None:
        """Start no more samples and wait for those in flight."""
        await self._generator.drain()
        await self._copier.wait_until_copied()

    async def close(self) -> None:
        """Stop generating; later requests are refused."""
        self.closed = True
        await self._generator.close()
        self._changed.set()

    async def set_version(self, version: int, strict: bool = False) -> None:
        """Record the trainer's weight version and drop stale samples.

        Args:
          version: Current version of the trainer.
          strict: Whether to refuse a version below the recorded version,
            instead of ignoring it.

        Raises:
          RefusedError: If strict is set and the version is lower.
        """
        if strict and version < self._ledger.version:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.VERSION_WENT_BACK,
                f'version {self._ledger.version} is known already; a run '
                'that starts over goes on above it',
            )
        if version > self._ledger.version:
            self._copier.apply(ledgers.SetVersion(version))
            self._on_version(self._trainer.model, version)
            self._drop_stale_samples()
            self._changed.set()

    async def submit(self, change: ledgers.AddGroups) -> int:
        """Add submitted groups to the ledger.

        Args:
          change: The submission.

        Returns:
          Number of groups in the submission.

        Raises:
          RefusedError: If a group was submitted with a different prompt, or
            the generation is not current, or a later step is sealed.
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
            self._update_generation_limit()
            self._changed.set()
        await self._copier.wait_until_copied()
        return len(change.prompts)

    async def deliver(
        self, step: int, generation: int, version: int, wait_seconds: float
    ) -> bytes:
        """Seal a step if necessary, and return its contents.

        Args:
          step: Number of the step.
          generation: Generation that the trainer requests.
          version: Current weight version of the trainer.
          wait_seconds: Maximum time to wait until the step is complete.

        Returns:
          The sealed contents; repeated calls return the same bytes.

        Raises:
          RefusedError: If the step can't be delivered.
        """
        await self.set_version(version)
        self._check_generation(step, generation)
        self._finish_earlier_steps(step)
        self._requested_step = max(self._requested_step, step)
        self._update_generation_limit()
        if not self._sealer.is_sealed(step, generation):
            await self._wait_until_ready(step, generation, wait_seconds)
            async with self._seal_lock:
                await self._seal(step, generation)
        return self._read_contents(step, generation)

    async def void(self, step: int, generation: int) -> int:
        """Void a sealed step, so that it is submitted again.

        Args:
          step: Number of the step.
          generation: Generation to void.

        Returns:
          The new generation, under which the step is submitted again.

        Raises:
          RefusedError: If the log service is unavailable, or the generation
            is not the newest.
        """
        current = self._state.find_generation(step)
        if generation == current and self._sealer.is_sealed(step, generation):
            await self._sealer.append(
                records.Void(self._trainer.name, step, generation, self._claim)
            )
            current = self._state.find_generation(step)
        if current != generation + 1:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.WRONG_GENERATION,
                f'generation {current} is the newest',
            )
        voided = [
            identity
            for identity, group in self._ledger.groups.items()
            if group.step == step and group.generation < current
        ]
        self._copier.apply(ledgers.FinishStep(step, voided))
        return current

    def describe(self) -> dict:
        """Describe the trainer's state, as shown by the HTTP interface."""
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

    def _update_generation_limit(self) -> None:
        """Update the last step for which the generator may run samples."""
        self._generator.last_step = samples.predict_last_step(
            self._state.newest_step + 1,
            self._requested_step,
            self._trainer.staleness_bound,
        )
        self._generator.requested_step = self._requested_step
        self._generator.request_rescan()

    def _accept_sample(
        self, key: samples.SampleKey, sample: ledgers.Sample
    ) -> None:
        group = self._ledger.groups.get(key.group)
        if group is None or key.index in group.samples:
            metrics.SAMPLES.labels('superseded').inc()
            return
        oldest = self._ledger.version - self._trainer.staleness_bound
        if (types.oldest_version(sample.spans) or 0) < oldest:
            metrics.SAMPLES.labels('stale').inc()
            return
        self._copier.apply(ledgers.AddSample(key.group, sample))
        self._changed.set()

    def _drop_stale_samples(self) -> None:
        """Drop samples that are too stale for delivery."""
        oldest = self._ledger.version - self._trainer.staleness_bound
        for identity, group in self._ledger.groups.items():
            if indices := ledgers.find_stale_samples(group, oldest):
                metrics.SAMPLES.labels('stale').inc(len(indices))
                self._copier.apply(ledgers.DropSamples(identity, indices))
        self._generator.request_rescan()

    def _check_generation(self, step: int, generation: int) -> None:
        """Refuse an outdated generation, or a step before a sealed step."""
        current = self._state.find_generation(step)
        if generation != current:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.WRONG_GENERATION,
                f'step {step} is at generation {current}',
            )
        if step < self._state.newest_step:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.ALREADY_TAKEN,
                f'step {self._state.newest_step} was sealed later',
            )

    def _finish_earlier_steps(self, step: int) -> None:
        """Drop the contents and groups of earlier sealed steps.

        A request for a later step shows that the trainer received them.
        """
        for earlier, sealed in sorted(self._state.sealed.items()):
            used = trainer_fold.list_group_ids(
                earlier, sealed.groups, sealed.carried
            )
            remaining = [name for name in used if name in self._ledger.groups]
            if earlier < step and (
                remaining or earlier in self._ledger.sealed
            ):
                self._copier.apply(ledgers.FinishStep(earlier, remaining))
        self._drop_expired_groups(step)

    def _drop_expired_groups(self, step: int) -> None:
        """Drop groups that are too old to be carried into this step."""
        oldest = step - trainer_fold.MAX_CARRY_STEPS
        expired = [
            identity
            for identity, group in self._ledger.groups.items()
            if group.step < oldest
        ]
        if expired:
            metrics.SAMPLES.labels('expired').inc(len(expired))
            self._copier.apply(ledgers.FinishStep(oldest - 1, expired))

    def _choose_groups(self, step: int, generation: int):
        return ledgers.choose_groups(
            self._ledger,
            step,
            generation,
            self._trainer.samples_per_group,
            self._trainer.group_fraction,
        )

    async def _wait_until_ready(
        self, step: int, generation: int, wait_seconds: float
    ) -> None:
        is_submitted = any(
            g.step == step and g.generation == generation
            for g in self._ledger.groups.values()
        )
        if not is_submitted:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.UNKNOWN_STEP,
                f'submit the groups of step {step}',
            )
        try:
            async with asyncio.timeout(wait_seconds):
                while not (
                    self.closed or self._choose_groups(step, generation)
                ):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.NOT_READY,
                f'step {step} is not whole yet',
            ) from None
        self._check_is_owner()

    async def _seal(self, step: int, generation: int) -> None:
        """Seal a step, unless a concurrent request has sealed it."""
        if self._sealer.is_sealed(step, generation):
            return
        await self._sealer.seal(
            step, generation, lambda: self._choose_groups(step, generation)
        )

    def _read_contents(self, step: int, generation: int) -> bytes:
        """Return the sealed contents if they are available and fresh."""
        self._check_is_owner()
        oldest = self._ledger.version - self._trainer.staleness_bound
        contents = self._sealer.find_contents(step, generation, oldest)
        metrics.SAMPLES.labels('handed over').inc()
        self._update_generation_limit()
        return contents.body

    def _check_is_owner(self) -> None:
        if self.closed or self._state.claim != self._claim:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.NOT_OWNER,
                'another entry owns the trainer now',
            )
