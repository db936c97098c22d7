"""Caches partial texts of items whose batch ended before they were complete.

A trainer waits for most groups of a step, ends the step, and requests the
remaining groups again in the next step, which cannot complete without them.
These groups have the longest texts, so generating them anew would delay the
next step as well. Their runs therefore resume after the partial text if its
weight versions still satisfy the constraints.
"""

import collections

from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.model import batch

# Maximum size of the cached texts, enough for several steps; the oldest texts
# are evicted first.
MAX_TEXT_BYTES = 6_000_000


class PartialRunCache:
    """Cache of the newest unfinished runs by account and item id."""

    __slots__ = ('_runs', '_bytes')

    def __init__(self):
        self._runs: collections.OrderedDict[tuple[str, str], runs.ItemRun] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def add(self, run: runs.ItemRun, account: str) -> None:
        """Add a run that ended without a result; empty texts are ignored.

        Args:
          run: The run.
          account: Account of its batch; empty if none.
        """
        if not run.texts:
            return
        key = (account, run.item.id)
        self._pop(key)
        self._runs[key] = run
        self._bytes += _count_bytes(run)
        while self._bytes > MAX_TEXT_BYTES:
            self._pop(next(iter(self._runs)))

    def take(self, item: batch.Item, constraints: runs.Constraints):
        """Remove and return the cached run of a repeated item.

        Args:
          item: The item as it is requested now.
          constraints: Constraints on its generation in the new batch.

        Returns:
          A run whose text may be resumed; None if no such run is cached.
        """
        run = self._pop((constraints.account or '', item.id))
        if run is None:
            return None
        if not owned_batches.is_same_item(run.item, item):
            return None
        if any(
            version < constraints.minimum_version for version in run.versions
        ):
            return None
        if constraints.single_version and len(run.versions) != 1:
            return None
        return run

    def _pop(self, key: tuple[str, str]) -> runs.ItemRun | None:
        run = self._runs.pop(key, None)
        if run is not None:
            self._bytes -= _count_bytes(run)
        return run


def _count_bytes(run: runs.ItemRun) -> int:
    return sum(len(text) for text in run.texts)
