"""Finds replicas for the items of a batch at the services of its route.

A route may have several services, which share its items by their weights. The
weights decide while each service has a slot for its share. An item whose
service has none, or is lost, runs at another service of the route: a caller
must not wait while replicas that may run its item are idle. A text goes on at
the service that began it.
"""

import typing

import xxhash

from auburnroad_gateway.batches import ordering
from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.batches import slot_search
from auburnroad_gateway.configuration import holder as configurations
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement
from auburnroad_gateway.directory import replica
from auburnroad_gateway.model import configuration

DRAW_RANGE = 1 << 64


def choose_service(
    route: configuration.Route, batch_id: str, index: int
) -> str:
    """Choose the service of an item by weight, the same at each call.

    Args:
      route: Route of the batch.
      batch_id: Id of the batch.
      index: Index of the item.

    Returns:
      Name of the service.
    """
    if len(route.backends) == 1:
        return route.backends[0].service
    key = f'{batch_id}/{index}'.encode()
    return configuration.choose_service(
        route, xxhash.xxh64_intdigest(key) / DRAW_RANGE
    )


class QueueEntry(typing.NamedTuple):
    """An item that waits for a slot.

    Attributes:
      sort_key: Items with lower keys start first.
      owned: Batch of the item.
      run: Run of the item.
    """

    sort_key: tuple
    owned: owned_batches.OwnedBatch
    run: runs.ItemRun


class ItemPlacement:
    """Requirements of items, and the replicas that meet them."""

    __slots__ = ('_configuration', '_directory', '_failure_domain')

    def __init__(
        self,
        holder: configurations.ConfigurationHolder,
        replicas: directory.Directory,
        failure_domain: str,
    ):
        self._configuration = holder
        self._directory = replicas
        self._failure_domain = failure_domain

    def list_ready(self, route: configuration.Route) -> list[replica.Replica]:
        """List the replicas of a route's services that accept new work."""
        return [
            target
            for name in route.services
            for target in self._directory.list_ready(name)
        ]

    def start_search(self, now: float) -> slot_search.SlotSearch:
        """Start one pass over the waiting items.

        Args:
          now: Monotonic time in seconds.
        """
        return slot_search.SlotSearch(
            self._directory, self._failure_domain, now
        )

    def list_queue(
        self, owned: owned_batches.OwnedBatch, now: float
    ) -> typing.Iterator[QueueEntry]:
        """List the items of a batch that may start.

        Args:
          owned: The batch.
          now: Monotonic time in seconds.
        """
        due_ms = owned.state.submitted_ms + owned.route.due_ms
        pace_ms = placement.find_median_pace(self.list_ready(owned.route), now)
        groups = owned_batches.estimate_groups(
            owned,
            self._find_service(owned.route.services[0]).tokens_per_event,
            pace_ms or slot_search.DEFAULT_PACE_MS,
        )
        for run in owned.waiting.values():
            if run.not_before > now:
                continue
            group = groups[run.item.group]
            entry = ordering.WaitingItem(
                due_ms,
                run.item.group in owned.repeated_groups,
                group.items_left,
                group.expected_ms[run.index],
                run.index,
            )
            yield QueueEntry(ordering.build_sort_key(entry), owned, run)

    def find_slot(
        self, entry: QueueEntry, search: slot_search.SlotSearch
    ) -> replica.Replica | None:
        """Find a slot at the item's own service.

        Returns:
          The replica, of another release than the item's text if the item is
          to start anew; None if there is none.
        """
        return self._find_at(self._find_own_service(entry), entry, search)

    def find_other_slot(
        self, entry: QueueEntry, search: slot_search.SlotSearch
    ) -> replica.Replica | None:
        """Find a slot at the other services of the item's route."""
        if len(entry.owned.route.backends) == 1:
            return None
        own = self._find_own_service(entry)
        for name in entry.owned.route.services:
            if name != own:
                target = self._find_at(name, entry, search)
                if target is not None:
                    return target
        return None

    def build_need(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun, name: str
    ) -> placement.ItemRequirements:
        """Build the requirements of a run at the replicas of a service."""
        submission = owned.state.submission
        service = self._find_service(name)
        return placement.ItemRequirements(
            submission.model,
            submission.minimum_version,
            owned_batches.count_tokens(run, service.tokens_per_event),
            owned_batches.estimate_final_tokens(run, service.tokens_per_event),
            service.memory_tokens,
            run.release,
            service.tokens_per_event,
        )

    def recount_memory(
        self, batches: typing.Iterable[owned_batches.OwnedBatch]
    ) -> None:
        """Recompute the tokens that running items hold on each replica."""
        running = [
            owned.runs[index] for owned in batches for index in owned.running
        ]
        for run in running:
            run.replica.tokens = run.replica.final_tokens = 0
        for run in running:
            self.add_memory(run)

    def add_memory(self, run: runs.ItemRun) -> None:
        """Count the tokens of a run at its replica."""
        service = self._find_service(run.replica.registration.service)
        run.replica.tokens += owned_batches.count_tokens(
            run, service.tokens_per_event
        )
        run.replica.final_tokens += owned_batches.estimate_final_tokens(
            run, service.tokens_per_event
        )

    def _find_own_service(self, entry: QueueEntry) -> str:
        route, run = entry.owned.route, entry.run
        if len(route.backends) == 1:
            return route.backends[0].service
        if run.release is not None and run.release.service in route.services:
            return run.release.service
        return choose_service(route, entry.owned.state.id, run.index)

    def _find_at(
        self, name: str, entry: QueueEntry, search: slot_search.SlotSearch
    ) -> replica.Replica | None:
        need = self.build_need(entry.owned, entry.run, name)
        target = search.find(name, need)
        if target is None and entry.run.release is not None:
            ready = self.list_ready(entry.owned.route)
            target = search.find_for_restart(name, need, entry.run, ready)
        return target

    def _find_service(self, name: str) -> configuration.Service:
        known = self._configuration.current.services.get(name)
        return known or configuration.Service(name)
