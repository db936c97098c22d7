"""Writes the texts and results of items to the log."""

from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import lineage
from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.model import batch
from auburnroad_gateway.telemetry import events

# Interval between saves of partial texts. Runs whose attempt started less than
# one interval ago are not saved periodically.
SAVE_INTERVAL_SECONDS = 0.8


class ItemFinisher:
    """Saves texts and appends results of the items of owned batches."""

    __slots__ = ('_journal', '_pieces', '_saved_at')

    def __init__(self, batch_journal: journal.Journal, incarnation: str):
        self._journal = batch_journal
        self._pieces = lineage.PieceCounter(incarnation)
        self._saved_at = 0.0

    def append_result(
        self, owned: owned_batches.OwnedBatch, result: batch.ItemResult
    ) -> None:
        """Append a result and drop the item's run."""
        owned.drop_run(result.index)
        self._journal.add_result(owned.state.id, result)

    def terminate(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun, reason: str
    ) -> None:
        """Append the result of an item that can't be completed."""
        events.write(
            'item_terminated',
            batch=owned.state.id,
            item=run.item.id,
            reason=reason,
            failures=run.failures,
        )
        self.append_result(
            owned, owned_batches.build_result(run, batch.Outcome.TERMINATED)
        )

    def save(
        self, owned: owned_batches.OwnedBatch, running: list[runs.ItemRun]
    ) -> None:
        """Save the text that runs have generated since their last save."""
        if running:
            self._journal.add_progress(
                [
                    owned_batches.checkpoint_run(
                        owned.state.id, run, self._pieces.build_next()
                    )
                    for run in running
                ]
            )

    def save_unfinished(self, owned: owned_batches.OwnedBatch) -> None:
        """Save all text of a batch that is not in the log yet."""
        self.save(owned, owned_batches.list_unsaved_runs(owned))

    def save_long_runs(self, batches, now: float) -> None:
        """Save the texts of long runs at intervals, in one append per batch.

        Args:
          batches: Owned batches.
          now: Monotonic time in seconds.
        """
        if now - self._saved_at < SAVE_INTERVAL_SECONDS:
            return
        self._saved_at = now
        for owned in batches:
            self.save(
                owned,
                [
                    run
                    for run in owned_batches.list_unsaved_runs(owned)
                    if now - run.started_at > SAVE_INTERVAL_SECONDS
                ],
            )
