"""Searches free slots for waiting items, and decides which texts to give up.

A text goes on only at replicas of the release that began it. While none of
them has a free slot, the item may also start anew at another release, which
costs the time that the text took.
"""

import math

import msgspec

from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement
from auburnroad_gateway.directory import replica


# Assumed time between two events before the first measurement: the value of a
# replica in the present deployments with half of its slots in use.
DEFAULT_PACE_MS = 48.0


class SlotSearch:
    """Searches in one pass over the waiting items.

    A search that failed is not repeated for items with the same requirements.
    """

    __slots__ = ('_directory', '_failure_domain', '_now', '_failed')

    def __init__(
        self, replicas: directory.Directory, failure_domain: str, now: float
    ):
        self._directory = replicas
        self._failure_domain = failure_domain
        self._now = now
        self._failed: set[tuple] = set()

    def find(
        self, service: str, need: placement.ItemRequirements
    ) -> replica.Replica | None:
        """Find a replica with a free slot.

        Args:
          service: Service of the replicas.
          need: Requirements of the item.

        Returns:
          The best replica; None if no slot is free for such items.
        """
        key = (service, need.model, need.minimum_version, need.release)
        if key in self._failed:
            return None
        target = placement.choose_for_item(
            self._directory.list_ready(service),
            self._failure_domain,
            need,
            self._now,
        )
        if target is None:
            self._failed.add(key)
        return target

    def find_for_restart(
        self,
        service: str,
        need: placement.ItemRequirements,
        run: runs.ItemRun,
        ready: list[replica.Replica] | None = None,
    ) -> replica.Replica | None:
        """Find a replica where an item may start anew without its text.

        Args:
          service: Service of the replicas.
          need: Requirements of the item, for which no slot is free.
          run: The item's run.
          ready: Replicas at which the text may go on; those of the service
            that accept new work if it is None.

        Returns:
          A replica of any release with a free slot; None if there is none, or
          the item should wait for one of its own release.
        """
        if ready is None:
            ready = self._directory.list_ready(service)
        if run.release is None or not self._may_give_up(ready, run):
            return None
        return self.find(service, msgspec.structs.replace(need, release=None))

    def _may_give_up(
        self, ready: list[replica.Replica], run: runs.ItemRun
    ) -> bool:
        """Tell whether an item has waited for as long as its text took.

        If no replica of the release is left, there is nothing to wait for.
        """
        if not placement.list_with_release(ready, run.release):
            return True
        if math.isinf(run.restart_at):
            pace_ms = placement.find_median_pace(ready, self._now)
            text_ms = owned_batches.count_events(run) * (
                pace_ms or DEFAULT_PACE_MS
            )
            run.restart_at = self._now + text_ms / 1000
        return self._now >= run.restart_at
