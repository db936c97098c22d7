"""Finds the batches that this gateway is to run, and takes orphans over.

A batch is ours if the log says so. One whose owner is gone is claimed by
whoever runs its service, and is ours once the claim stands in the log. It
begins when its contents have been read.
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

# A batch whose contents could not be read is tried again so much later.
LOAD_RETRY_SECONDS = 0.2


class Adoption:
    """Watches which batches are ours."""

    __slots__ = (
        '_journal',
        '_membership',
        '_duties',
        '_configuration',
        '_begin',
        '_claimed',
        '_loading',
    )

    def __init__(
        self,
        batch_journal: journal.Journal,
        membership,
        duties: duty.Duties,
        holder: configurations.ConfigurationHolder,
        begin: typing.Callable[[fold.Batch], None],
    ):
        """Wire it.

        Args:
          batch_journal: All batches.
          membership: Who lives.
          duties: Who runs which service.
          holder: The configuration.
          begin: Called with a batch that is ours, when all of it is here.
        """
        self._journal = batch_journal
        self._membership = membership
        self._duties = duties
        self._configuration = holder
        self._begin = begin
        self._claimed: dict[str, str] = {}
        self._loading: dict[str, asyncio.Task] = {}

    def adopt(self, running: typing.Container[str]) -> None:
        """Begin batches that are ours, and claim those of dead owners.

        Args:
          running: Ids of the batches that have begun.
        """
        own = self._membership.incarnation
        settled = self._membership.settled
        for state in self._journal.fold.batches.values():
            if not state.open or state.id in running:
                continue
            # The batches of others stay packed: there may be many.
            if state.owner == own:
                if self._find_route(state) is not None:
                    self._load(state)
            elif settled and not self._membership.is_alive(state.owner):
                self._claim(state)

    def _find_route(self, state: fold.Batch):
        return self._configuration.find_route(state.submission)

    def _load(self, state: fold.Batch) -> None:
        if state.id not in self._loading:
            self._loading[state.id] = asyncio.create_task(
                self._load_and_begin(state)
            )

    async def _load_and_begin(self, state: fold.Batch) -> None:
        try:
            await self._journal.load(state)
        except service.LogError as error:
            events.write('batch_not_loaded', batch=state.id, error=str(error))
            await asyncio.sleep(LOAD_RETRY_SECONDS)
        else:
            if state.open and state.owner == self._membership.incarnation:
                self._begin(state)
        finally:
            del self._loading[state.id]

    def _claim(self, state: fold.Batch) -> None:
        route = self._find_route(state)
        if route is None:
            return
        runner = self._duties.choose_runner(route.backends[0].service)
        if runner != self._membership.incarnation:
            return
        if self._claimed.get(state.id) == state.owner:
            return
        self._claimed[state.id] = state.owner
        events.write(
            'batch_claimed',
            batch=state.id,
            previous=state.owner,
            finished=len(state.finished),
        )
        self._journal.add(
            records.Claim(state.id, self._membership.incarnation, state.owner)
        )
