"""In which order the items of a gateway's batches are started.

Pattern: several trainers submit their steps at once, with more items than
slots, a few of them many times as long as the others; after an outage several
steps of each trainer wait together. What must start soonest to be in time
goes first: a long item of one step before a short one of another that is due
at the same time, so that no step's last item begins late. That holds for
items that will be late, too: a trainer names its next version only when the
step is whole, so that each second of a step's end moves all later steps.
"""

import msgspec

# Items whose latest starts differ by less are ordered by their groups, so
# that groups are finished one after the other and not all at the end.
START_STEP_MS = 250


class Waiting(msgspec.Struct, frozen=True):
    """An item that waits for a slot.

    Attributes:
      due_ms: Unix milliseconds at which its batch is due.
      carried: Whether its group was already asked for in an earlier batch;
        its trainer then waits for it.
      group_left: Items of its group that have no result yet.
      expected_ms: Time that it is expected to run.
      index: Its position in the submission.
    """

    due_ms: int
    carried: bool
    group_left: int
    expected_ms: int
    index: int


def build_sort_key(entry: Waiting) -> tuple:
    """Build the key by which waiting items are sorted, first one first.

    Args:
      entry: The item.

    Returns:
      A key that is lower for an item that starts earlier.
    """
    latest_start_ms = entry.due_ms - entry.expected_ms
    return (
        latest_start_ms // START_STEP_MS,
        not entry.carried,
        entry.group_left,
        latest_start_ms,
        entry.index,
    )
