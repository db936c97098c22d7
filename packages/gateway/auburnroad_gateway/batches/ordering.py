"""Orders the waiting items of a gateway's batches by their latest start.

Several trainers submit their steps at once, with more items than slots, and
the run time of a few items is many times that of the rest. After an outage
the gateway has several steps of each trainer in its queue. Items are sorted by
latest start, which is the due time minus the expected run time: a long item of
one step precedes a short item of another step with the same due time, so that
the last item of no step starts late. Overdue items follow the same rule: a
trainer names its next weight version only once the step is complete, so each
second of delay of a step delays all later steps.
"""

import msgspec

# Items whose latest starts fall into the same bucket are ordered by group, so
# that groups finish one after another and not all at the end of the step.
START_BUCKET_MS = 250


class WaitingItem(msgspec.Struct, frozen=True):
    """An item that waits for a slot.

    Attributes:
      due_ms: Due time of the item's batch in Unix milliseconds.
      carried: Whether a batch of an earlier step already requested the item's
        group; the trainer then does not finish the step without the group.
      group_left: Number of items of the group without a result.
      expected_ms: Expected run time in milliseconds.
      index: Position of the item in its submission.
    """

    due_ms: int
    carried: bool
    group_left: int
    expected_ms: int
    index: int


def build_sort_key(entry: WaitingItem) -> tuple:
    """Build the key by which waiting items are sorted in ascending order.

    Args:
      entry: The waiting item.

    Returns:
      A key; items with lower keys start earlier.
    """
    latest_start_ms = entry.due_ms - entry.expected_ms
    return (
        latest_start_ms // START_BUCKET_MS,
        not entry.carried,
        entry.group_left,
        latest_start_ms,
        entry.index,
    )
