"""Reuses results and partial texts of earlier batches with the same items.

A trainer requests groups again that were incomplete when it ended a step.
Existing results are reused if their weight versions still satisfy the
constraints of the new batch, and partial texts are resumed (partial_runs.py).
Results and texts of another account are never reused: they would disclose
that account's batches.
"""

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import partial_runs
from auburnroad_gateway.model import batch
from auburnroad_gateway.telemetry import events


def find_repeated_groups(
    batches: fold.Fold, state: fold.BatchState
) -> set[str]:
    """Find the groups of a batch that a batch of an earlier step requested.

    Args:
      batches: All batches.
      state: The batch.

    Returns:
      Names of groups.
    """
    groups = {item.group for item in state.submission.items}
    return {
        item.group
        for other in batches.batches.values()
        if other is not state
        and other.account == state.account
        and other.submission.step < state.submission.step
        for item in other.submission.items
        if item.group in groups
    }


def list_reusable_results(
    batches: fold.Fold, owned: owned_batches.OwnedBatch
) -> list[batch.ItemResult]:
    """List the results of other batches that items of a batch may reuse.

    Args:
      batches: All batches.
      owned: The batch.

    Returns:
      Results with the indexes of the batch's own items, at most one per item.
    """
    pending = _build_repeated_runs(owned)
    found = []
    for other in batches.batches.values():
        if not pending or other is owned.state:
            continue
        if other.account != owned.state.account:
            continue
        for result in other.results:
            item = other.submission.items[result.index]
            run = pending.get(item.id)
            if run is not None and owned_batches.is_reusable(
                run, item, result, owned.constraints
            ):
                del pending[item.id]
                found.append(owned_batches.copy_result(result, run.index))
    return found


def resume_partial_runs(
    owned: owned_batches.OwnedBatch, cache: partial_runs.PartialRunCache
) -> None:
    """Let items of a batch resume after their cached partial texts."""
    for run in _build_repeated_runs(owned).values():
        cached = cache.take(run.item, owned.constraints)
        if cached is None:
            continue
        run.resume_from(cached)
        events.write(
            'item_resumed',
            batch=owned.state.id,
            item=run.item.id,
            events=len(run.texts),
            versions=sorted(run.versions),
        )


def _build_repeated_runs(owned: owned_batches.OwnedBatch):
    return {
        run.item.id: run
        for run in owned.runs.values()
        if run.item.group in owned.repeated_groups
    }
