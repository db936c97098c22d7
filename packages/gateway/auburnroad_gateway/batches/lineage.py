"""Tells which saved pieces of an item's text belong to one run.

Generation isn't deterministic, so that two runs of an item make different
texts even with the same software and weights. After a loss of all gateways
several of them may believe that they own a batch, and each saves a text of its
own. Each piece therefore has an id and names the piece that it goes on from,
and a text in the log is one chain of pieces. The event numbers of two chains
may meet; this doesn't join them.

Pieces of gateways that write no ids are never continued. A gateway that goes
on after such a piece saves the whole text anew.
"""

import msgspec


class PieceId(msgspec.Struct, frozen=True, array_like=True):
    """Id of a saved piece of a text.

    Attributes:
      writer: Incarnation of the gateway that saved the piece.
      number: Number of the piece among all that this gateway saved.
    """

    writer: str
    number: int


class PieceCounter:
    """Numbers the pieces that one incarnation of a gateway saves."""

    __slots__ = ('_writer', '_next')

    def __init__(self, writer: str):
        self._writer = writer
        self._next = 0

    def build_next(self) -> PieceId:
        """Build an id that no other piece has."""
        piece = PieceId(self._writer, self._next)
        self._next += 1
        return piece


def extend(known: list, record, owner: str) -> bool:
    """Add a piece to the chain of an item's text, if it belongs there.

    The result depends on the records and their order only, so that all
    gateways have the same chain.

    Args:
      known: Pieces of the text, in order; changed in place. Pieces have the
        attributes of records.Progress.
      record: The piece that comes next in the log.
      owner: Incarnation of the owner of the item's batch at this place of the
        log.

    Returns:
      Whether the chain has changed.
    """
    if known and known[-1].complete:
        # The first complete text counts, like the first result.
        return False
    if record.piece is not None and any(
        part.piece == record.piece for part in known
    ):
        # A call that appended the piece was repeated.
        return False
    if record.after < 0:
        return _start(known, record, owner)
    return _continue(known, record, owner)


def _start(known: list, record, owner: str) -> bool:
    """Replace the chain, but not that of the owner by one of another."""
    if known and _is_by(known[-1], owner) and not _is_by(record, owner):
        return False
    known[:] = [record]
    return True


def _continue(known: list, record, owner: str) -> bool:
    """Append a piece after the one that it names.

    A former owner may have saved a rest after the new owner read the chain.
    The owner's piece then takes the place of this rest.
    """
    if record.continues is None:
        return False
    for number, part in enumerate(known):
        if part.piece != record.continues:
            continue
        rest = known[number + 1 :]
        if part.last_event != record.after or (
            rest and (_is_by(rest[0], owner) or not _is_by(record, owner))
        ):
            return False
        known[number + 1 :] = [record]
        return True
    return False


def _is_by(record, writer: str) -> bool:
    return record.piece is not None and record.piece.writer == writer
