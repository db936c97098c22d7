"""In which order the items of a gateway's batches are started.

Pattern: more items than slots, a few of them many times as long as the
others, and a trainer that needs most groups but not all. The step nearest
its due time goes first; within it the groups that must come, then what has
begun, then what is predicted to be longest, so that the last item to end is
one that began early.
"""

import msgspec


class Waiting(msgspec.Struct, frozen=True):
    """An item that waits for a slot.

    Attributes:
      due_ms: Unix milliseconds at which its batch is due.
      carried: Whether its group was already asked for in an earlier batch.
      group_left: Items of its group that have no result yet.
      length_hint: Predicted output tokens, zero if unknown.
      index: Its position in the submission.
    """

    due_ms: int
    carried: bool
    group_left: int
    length_hint: int
    index: int


def build_sort_key(entry: Waiting) -> tuple:
    """Build the key by which waiting items are sorted, first one first.

    Args:
      entry: The item.

    Returns:
      A key that is lower for an item that starts earlier.
    """
    return (
        entry.due_ms,
        not entry.carried,
        -entry.length_hint,
        entry.group_left,
        entry.index,
    )
