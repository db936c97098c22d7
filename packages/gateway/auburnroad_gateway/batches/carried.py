"""What a batch takes over from earlier batches of the same items.

A trainer asks again for groups that were not complete when it ended a step.
Results that there are stand for them as long as their weight versions are
allowed, and unfinished texts are gone on with (leftovers.py).
"""

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import leftovers
from auburnroad_gateway.batches import owned as owned_batches
from auburnroad_gateway.model import batch
from auburnroad_gateway.telemetry import events


def find_groups(batches: fold.Fold, state: fold.Batch) -> set[str]:
    """Find the groups of a batch that an earlier one has asked for in vain.

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
        if other is not state and other.submission.step < state.submission.step
        for item in other.submission.items
        if item.group in groups
    }


def list_results(
    batches: fold.Fold, owned: owned_batches.OwnedBatch
) -> list[batch.ItemResult]:
    """List the earlier results that may stand for items of a batch.

    Args:
      batches: All batches.
      owned: The batch.

    Returns:
      Results of the batch's own items, one an item.
    """
    wanted = _list_wanted(owned)
    found = []
    for other in batches.batches.values():
        if not wanted or other is owned.state:
            continue
        for result in other.results:
            item = other.submission.items[result.index]
            run = wanted.get(item.id)
            if run is not None and owned_batches.fits_earlier(
                run, item, result, owned.terms
            ):
                del wanted[item.id]
                found.append(owned_batches.move_result(result, run.index))
    return found


def resume_texts(
    owned: owned_batches.OwnedBatch, kept: leftovers.Leftovers
) -> None:
    """Let items of a batch go on behind the texts that were kept of them."""
    for run in _list_wanted(owned).values():
        left = kept.take(run.item, owned.terms)
        if left is None:
            continue
        run.adopt_text(left)
        events.write(
            'item_resumed',
            batch=owned.state.id,
            item=run.item.id,
            events=len(run.texts),
            versions=sorted(run.versions),
        )


def _list_wanted(owned: owned_batches.OwnedBatch):
    return {
        run.item.id: run
        for run in owned.runs.values()
        if run.item.group in owned.carried
    }
