"""Seals the steps of one trainer, so that the log fixes their contents.

The contents are prepared and copied first; then the seal is appended and read
back. While its result is unknown, a retry seals the same contents and never
different ones, since the first seal may still take effect.
"""

import asyncio
import typing

from auburnroad_core.log import records
from auburnroad_core.log import trainer_fold
from auburnroad_core.platform import log_service
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.version import copies
from auburnroad_daemon.version import ledger as ledgers
from auburnroad_daemon.version import owner_refusals

APPEND_TIMEOUT_SECONDS = 5.0

ChooseGroups = typing.Callable[[], list[ledgers.Group] | None]


class Log(typing.Protocol):
    """Interface of the trainers' log stream, as used by an owner."""

    def find(self, trainer: str) -> trainer_fold.TrainerState:
        """Find the folded state of a trainer."""

    async def append(self, record: records.Record) -> int:
        """Append a record and return its offset once it is folded."""


class Sealer:
    """Seals the steps of one trainer under one claim."""

    __slots__ = ('_log', '_ledger', '_copier', '_claim')

    def __init__(
        self,
        log: Log,
        ledger: ledgers.Ledger,
        copier: copies.Copier,
        claim: int,
    ):
        self._log = log
        self._ledger = ledger
        self._copier = copier
        self._claim = claim

    @property
    def _state(self) -> trainer_fold.TrainerState:
        return self._log.find(self._ledger.trainer)

    def is_sealed(self, step: int, generation: int) -> bool:
        """Check whether a seal of a step's generation is in effect."""
        sealed = self._state.sealed.get(step)
        return sealed is not None and sealed.generation == generation

    async def seal(
        self, step: int, generation: int, choose_groups: ChooseGroups
    ) -> None:
        """Prepare the contents of a step and append its seal to the log.

        Args:
          step: Number of the step.
          generation: Generation of the step.
          choose_groups: Returns the groups of the step, or None if too few are
            complete.

        Raises:
          RefusedError: If the step isn't complete or the log is unavailable.
        """
        sealed = self._prepare_contents(step, generation, choose_groups)
        await self._copier.wait_until_copied()
        await self.append(
            records.Seal(
                self._ledger.trainer,
                step,
                generation,
                self._claim,
                self._ledger.version,
                sealed.groups,
                sealed.digest,
                sealed.carried,
            )
        )
        effective = self._state.sealed.get(step)
        is_effective = (
            effective is not None and effective.digest == sealed.digest
        )
        metrics.SEALS.labels(
            'effective' if is_effective else 'no effect'
        ).inc()

    async def append(self, record: records.Record) -> None:
        """Append a record and wait until it is folded.

        Args:
          record: The record; its effect shows in the folded state.

        Raises:
          RefusedError: If the record was not read back within
            APPEND_TIMEOUT_SECONDS.
        """
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_SECONDS):
                await self._log.append(record)
        except (log_service.LogError, TimeoutError) as error:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.LOG_UNAVAILABLE,
                'the log service is unavailable',
            ) from error

    def find_contents(
        self, step: int, generation: int, oldest_allowed: int
    ) -> ledgers.SealedStep:
        """Find the contents of a sealed step.

        Args:
          step: Number of the step.
          generation: Generation of the step.
          oldest_allowed: Lowest allowed weight version of a token.

        Returns:
          The contents whose digest equals that of the effective seal.

        Raises:
          RefusedError: If the step isn't sealed, or its contents are lost or
            too stale.
        """
        if not self.is_sealed(step, generation):
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.NOT_READY, f'step {step} was not sealed'
            )
        contents = self._ledger.sealed.get(step)
        digest = self._state.sealed[step].digest
        if contents is None or contents.digest != digest:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.CONTENTS_LOST,
                'no daemon holds the contents any more; go on with the next '
                'step if this one was taken, else void it',
            )
        if contents.oldest_version < oldest_allowed:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.STALE,
                'the step is too stale for the version that the trainer is '
                'at; go on with the next step, or void it',
            )
        return contents

    def _prepare_contents(
        self, step: int, generation: int, choose_groups: ChooseGroups
    ) -> ledgers.SealedStep:
        """Prepare the contents, unless an earlier call prepared them."""
        pending = self._ledger.sealed.get(step)
        if pending is not None and pending.generation == generation:
            return pending
        groups = choose_groups()
        if groups is None:
            raise owner_refusals.RefusedError(
                owner_refusals.Refusal.NOT_READY,
                f'step {step} is not whole any more',
            )
        sealed = ledgers.build_sealed_step(
            self._ledger, step, generation, self._ledger.version, groups
        )
        self._copier.apply(ledgers.PrepareSeal(sealed))
        return sealed
