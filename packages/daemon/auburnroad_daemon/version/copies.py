"""Replicates ledgers from a trainer's owner to a holder.

Each change of a ledger is copied to one entry in another failure domain before
a response depends on it. If that entry is lost, the entire ledger is sent to
another entry. A copy carries the claim of its owner, so that the copy of a
superseded owner is never mistaken for the newest.
"""

import asyncio
import typing

import msgspec

from auburnroad_core import decoding
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import peer_link
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.version import ledger as ledgers

ACKNOWLEDGE_TIMEOUT_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 1.0


class Holder(typing.Protocol):
    """Link to an entry that can hold a copy; see connection/peer_link.py."""

    name: str

    @property
    def connected(self) -> bool:
        """Whether the link is connected."""

    def send(self, message: messages.Message) -> None:
        """Send a message to the entry."""


class Copier:
    """Sends the changes of an owner's ledger to the holder of its copy."""

    __slots__ = (
        '_ledger',
        '_claim',
        '_choose_holder',
        '_holder',
        '_sequence',
        '_acknowledged',
        '_changed',
    )

    def __init__(
        self,
        ledger: ledgers.Ledger,
        claim: int,
        choose_holder: typing.Callable[[], Holder | None],
    ):
        self._ledger = ledger
        self._claim = claim
        self._choose_holder = choose_holder
        self._holder: Holder | None = None
        self._sequence = 0
        self._acknowledged = 0
        self._changed = asyncio.Event()

    @property
    def holder_name(self) -> str:
        """Name of the entry that holds the copy; empty if there is none."""
        return self._holder.name if self._holder else ''

    @property
    def sequence(self) -> int:
        """Sequence number of the newest change."""
        return self._sequence

    def apply(self, change: ledgers.Change) -> None:
        """Apply a change to the ledger and send it to the holder.

        Args:
          change: The change.
        """
        ledgers.apply(change, self._ledger)
        self._send(change)

    def handle_acknowledgement(
        self, message: messages.CopyAcknowledge
    ) -> None:
        """Record the highest sequence number that the holder applied."""
        if message.claim == self._claim:
            self._acknowledged = max(self._acknowledged, message.sequence)
            self._changed.set()

    async def wait_until_copied(self) -> bool:
        """Wait until a holder has acknowledged every change made so far.

        A holder that doesn't acknowledge within ACKNOWLEDGE_TIMEOUT_SECONDS is
        replaced once.

        Returns:
          False if no holder has acknowledged, so that possibly only this
          daemon has the newest changes.
        """
        wanted = self._sequence
        for _ in range(2):
            self._ensure_holder()
            wanted = max(wanted, self._sequence)
            if self._holder is None:
                break
            if await self._wait_acknowledged(wanted):
                return True
            self._holder = None
        metrics.SINGLE_COPIES.inc()
        return False

    async def _wait_acknowledged(self, sequence: int) -> bool:
        try:
            async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_SECONDS):
                while self._acknowledged < sequence:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _ensure_holder(self) -> None:
        """Choose a new holder if there is none or its link is down."""
        if self._holder is not None and self._holder.connected:
            return
        self._holder = self._choose_holder()
        if self._holder is not None:
            self._send_message(ledgers.ReplaceLedger(self._ledger))

    def _send(self, change: ledgers.Change) -> None:
        """Send a change, unless a new holder received it with the ledger."""
        previous = self._holder
        self._ensure_holder()
        if self._holder is previous and previous is not None:
            self._send_message(change)

    def _send_message(self, change: ledgers.Change) -> None:
        self._sequence += 1
        self._holder.send(
            messages.CopyUpdate(
                self._ledger.trainer,
                self._claim,
                self._sequence,
                msgspec.msgpack.encode(change),
            )
        )


class Copy(msgspec.Struct):
    """Copy of a ledger that another entry owns.

    Attributes:
      claim: Claim of the owner that sent it.
      sequence: Sequence number of the last change.
      ledger: The ledger as of that change.
    """

    claim: int
    sequence: int
    ledger: ledgers.Ledger


class CopyStore:
    """Copies held by this entry, by trainer."""

    __slots__ = ('_copies',)

    def __init__(self):
        self._copies: dict[str, Copy] = {}

    def find(self, trainer: str) -> Copy | None:
        """Find the copy of a trainer's ledger."""
        return self._copies.get(trainer)

    def drop(self, trainer: str) -> None:
        """Delete a copy after this daemon became the trainer's owner."""
        self._copies.pop(trainer, None)

    def update(
        self, message: messages.CopyUpdate
    ) -> messages.CopyAcknowledge | None:
        """Apply a change sent by the owner.

        Args:
          message: The change.

        Returns:
          The acknowledgement; None if the change was not applied, because its
          owner was superseded or an earlier change is missing.
        """
        change = decoding.decode_msgpack(message.change, ledgers.Change)
        copy = self._copies.get(message.trainer)
        if isinstance(change, ledgers.ReplaceLedger):
            if copy is not None and copy.claim > message.claim:
                return None
            copy = Copy(message.claim, message.sequence, change.ledger)
            self._copies[message.trainer] = copy
        elif copy is None or not _is_next_change(copy, message):
            return None
        else:
            ledgers.apply(change, copy.ledger)
            copy.sequence = message.sequence
        return messages.CopyAcknowledge(
            message.trainer, message.claim, message.sequence
        )

    def build_answer(
        self, message: messages.CopyRequest
    ) -> messages.CopyAnswer:
        """Build the answer to a new owner that requests a trainer's copy.

        Args:
          message: The request.

        Returns:
          The copy, or an answer with an empty ledger if there is none.
        """
        copy = self._copies.get(message.trainer)
        if copy is None:
            return messages.CopyAnswer(message.request_id, -1, 0, b'')
        return messages.CopyAnswer(
            message.request_id,
            copy.claim,
            copy.sequence,
            msgspec.msgpack.encode(copy.ledger),
        )


def _is_next_change(copy: Copy, message: messages.CopyUpdate) -> bool:
    return (
        copy.claim == message.claim and copy.sequence + 1 == message.sequence
    )


def choose_newest(answers: list[messages.CopyAnswer]) -> ledgers.Ledger | None:
    """Choose the newest ledger among the answers.

    Args:
      answers: Answers to copy requests; some may have an empty ledger.

    Returns:
      The ledger with the highest claim and sequence number, or None if all are
      empty.
    """
    non_empty = [answer for answer in answers if answer.ledger]
    if not non_empty:
        return None
    newest = max(non_empty, key=lambda a: (a.claim, a.sequence))
    return decoding.decode_msgpack(newest.ledger, ledgers.Ledger)


async def fetch_newest_ledger(
    trainer: str,
    own: messages.CopyAnswer,
    links: list[peer_link.PeerLink],
) -> ledgers.Ledger:
    """Request a trainer's copy from every peer and choose the newest.

    Args:
      trainer: Trainer's name.
      own: The answer of this daemon itself.
      links: Links to the other entries.

    Returns:
      The newest ledger; an empty ledger if no entry has one.
    """
    requests = [
        asyncio.ensure_future(
            link.ask(lambda id_: messages.CopyRequest(id_, trainer))
        )
        for link in links
        if link.connected
    ]
    if requests:
        await asyncio.wait(requests, timeout=FETCH_TIMEOUT_SECONDS)
    answers = [own]
    for task in requests:
        if task.done() and task.exception() is None:
            answers.append(task.result())
        task.cancel()
    return choose_newest(answers) or ledgers.Ledger(trainer)
