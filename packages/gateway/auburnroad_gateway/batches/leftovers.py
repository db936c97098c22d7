"""Texts of items whose batch was ended before they were complete.

Pattern: a trainer waits for most groups of a step, ends the step, and asks
for the other groups again in the next one, which then must have them. They
are the ones with the longest texts, so that the next step would wait for them
once more. Their runs go on behind the text that there is, as long as its
weight versions are still allowed.
"""

import collections

from auburnroad_gateway.batches import owned
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.model import batch

# Most bytes of texts that are kept; the oldest go first. Some steps' worth.
KEEP_BYTES = 6_000_000


class Leftovers:
    """Unfinished runs by item id, the newest ones."""

    __slots__ = ('_runs', '_bytes')

    def __init__(self):
        self._runs: collections.OrderedDict[str, runs.ItemRun] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def keep(self, run: runs.ItemRun) -> None:
        """Keep the text of a run that has ended without a result."""
        if not run.texts:
            return
        self._pop(run.item.id)
        self._runs[run.item.id] = run
        self._bytes += _count_bytes(run)
        while self._bytes > KEEP_BYTES:
            self._pop(next(iter(self._runs)))

    def take(self, item: batch.Item, terms: runs.Terms):
        """Take the run of an item that is asked for again.

        Args:
          item: The item as it is asked for now.
          terms: What its generation has to keep to now.

        Returns:
          A run whose text may go on; None if there is none.
        """
        run = self._pop(item.id)
        if run is None:
            return None
        if not owned.is_same_item(run.item, item):
            return None
        if any(version < terms.minimum_version for version in run.versions):
            return None
        if terms.single_version and len(run.versions) != 1:
            return None
        return run

    def _pop(self, item_id: str) -> runs.ItemRun | None:
        run = self._runs.pop(item_id, None)
        if run is not None:
            self._bytes -= _count_bytes(run)
        return run


def _count_bytes(run: runs.ItemRun) -> int:
    return sum(len(text) for text in run.texts)
