"""Finds the batches that this gateway owns and claims orphaned batches.

The owner of a batch is recorded in the log. If the owner is no longer alive,
the gateway that runs the batches of the same service appends a claim, and owns
the batch once the claim has been read back from the log. Ownership may come
back to an earlier owner, so a claim counts only until then. A batch is started
when its contents have been read.
"""

import asyncio
import typing

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records
from auburnroad_gateway.configuration import holder as configurations
from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.weights import duty

# Delay before the contents of a batch are read again after a failure.
LOAD_RETRY_SECONDS = 0.2


class BatchClaimer:
    """Loads the batches of this gateway and claims orphaned batches."""

    __slots__ = (
        '_journal',
        '_membership',
        '_duties',
        '_configuration',
        '_start_batch',
        '_unread_claims',
        '_loading',
    )

    def __init__(
        self,
        batch_journal: journal.Journal,
        membership,
        duties: duty.Duties,
        holder: configurations.ConfigurationHolder,
        start_batch: typing.Callable[[fold.BatchState], None],
    ):
        """Initialize the claimer.

        Args:
          batch_journal: Journal of all batches.
          membership: Gateways that are alive.
          duties: Holders of the services' duties.
          holder: Holder of the current configuration.
          start_batch: Called with a batch that this gateway owns once its
            contents are in memory.
        """
        self._journal = batch_journal
        self._membership = membership
        self._duties = duties
        self._configuration = holder
        self._start_batch = start_batch
        # Offsets of claims that were not read back yet, by batch id.
        self._unread_claims: dict[str, asyncio.Future] = {}
        self._loading: dict[str, asyncio.Task] = {}

    def claim_and_load(self, running: typing.Container[str]) -> None:
        """Load the batches of this gateway and claim those of dead owners.

        Args:
          running: Ids of the batches that have been started.
        """
        self._drop_read_claims()
        own = self._membership.incarnation
        settled = self._membership.has_discovered_members
        for state in self._journal.fold.batches.values():
            if not state.is_open or state.id in running:
                continue
            # Only submissions of own or orphaned batches are decompressed,
            # since other gateways may have many batches.
            if state.owner == own:
                if self._find_route(state) is not None:
                    self._load(state)
            elif self._membership.is_former_self(state.owner) or (
                settled and not self._membership.is_alive(state.owner)
            ):
                self._claim(state)

    def _find_route(self, state: fold.BatchState):
        return self._configuration.find_route(state.submission)

    def _load(self, state: fold.BatchState) -> None:
        if state.id not in self._loading:
            self._loading[state.id] = asyncio.create_task(
                self._load_and_start(state)
            )

    async def _load_and_start(self, state: fold.BatchState) -> None:
        try:
            await self._journal.load(state)
        except service.LogError as error:
            events.write('batch_not_loaded', batch=state.id, error=str(error))
            await asyncio.sleep(LOAD_RETRY_SECONDS)
        else:
            if state.is_open and state.owner == self._membership.incarnation:
                self._start_batch(state)
        finally:
            del self._loading[state.id]

    def _drop_read_claims(self) -> None:
        self._unread_claims = {
            batch_id: offset
            for batch_id, offset in self._unread_claims.items()
            if not offset.done()
            or not self._journal.is_folded(batch_id, offset.result())
        }

    def _claim(self, state: fold.BatchState) -> None:
        if state.id in self._unread_claims:
            return
        route = self._find_route(state)
        if route is None:
            return
        runner = self._duties.choose_runner(route.services[0])
        if runner != self._membership.incarnation:
            return
        events.write(
            'batch_claimed',
            batch=state.id,
            previous=state.owner,
            finished=len(state.finished),
        )
        self._unread_claims[state.id] = self._journal.add(
            records.Claim(state.id, self._membership.incarnation, state.owner)
        )
