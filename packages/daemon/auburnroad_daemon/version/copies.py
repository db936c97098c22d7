"""Copies of ledgers: the owner's end and the holder's end.

Each change of a ledger goes to one entry in another failure domain before
anything is promised on it. When that entry goes, the whole ledger is sent to
the next one. A copy is named by the claim that made it, so that the copy of
an owner that was superseded is never mistaken for the newest.
"""

import asyncio
import typing

import msgspec

from auburnroad_core.wire import messages
from auburnroad_daemon.connection import peer_link
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.version import ledger as ledgers

ACKNOWLEDGE_TIMEOUT_SECONDS = 1.0
GATHER_TIMEOUT_SECONDS = 1.0

_CHANGE_DECODER = msgspec.msgpack.Decoder(ledgers.Change)


class Holder(typing.Protocol):
    """An entry that can hold a copy; see connection/peer_link.py."""

    name: str

    @property
    def connected(self) -> bool:
        """Whether messages reach it now."""

    def send(self, message: messages.Message) -> None:
        """Send a message to it."""


class Copier:
    """The owner's end: sends each change to the holder."""

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
        """Name of the entry that holds the copy, or empty."""
        return self._holder.name if self._holder else ''

    @property
    def sequence(self) -> int:
        """Number of the newest change."""
        return self._sequence

    def apply(self, change: ledgers.Change) -> None:
        """Apply a change to the ledger and send it to the holder.

        Args:
          change: The change.
        """
        ledgers.apply(change, self._ledger)
        self._send(change)

    def handle_acknowledge(self, message: messages.CopyAcknowledge) -> None:
        """Note up to which change the holder has followed."""
        if message.claim == self._claim:
            self._acknowledged = max(self._acknowledged, message.sequence)
            self._changed.set()

    async def wait_copied(self) -> bool:
        """Wait until the holder has every change made so far.

        Returns:
          False when no holder could be had, so that only this daemon holds
          the newest changes.
        """
        wanted = self._sequence
        for _ in range(2):
            self._check_holder()
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

    def _check_holder(self) -> None:
        """Find another holder when the last one has gone."""
        if self._holder is not None and self._holder.connected:
            return
        self._holder = self._choose_holder()
        if self._holder is not None:
            self._send_message(ledgers.Replace(self._ledger))

    def _send(self, change: ledgers.Change) -> None:
        known = self._holder
        self._check_holder()
        if self._holder is known and known is not None:
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
    """A ledger held for another entry.

    Attributes:
      claim: Claim of the owner that sent it.
      sequence: Number of the last change.
      ledger: The ledger as of that change.
    """

    claim: int
    sequence: int
    ledger: ledgers.Ledger


class CopyStore:
    """The holder's end: copies by trainer."""

    __slots__ = ('_copies',)

    def __init__(self):
        self._copies: dict[str, Copy] = {}

    def find(self, trainer: str) -> Copy | None:
        """Find the copy of a trainer's ledger."""
        return self._copies.get(trainer)

    def drop(self, trainer: str) -> None:
        """Forget a copy, once this daemon owns the trainer itself."""
        self._copies.pop(trainer, None)

    def update(
        self, message: messages.CopyUpdate
    ) -> messages.CopyAcknowledge | None:
        """Follow a change of the owner.

        Args:
          message: The change.

        Returns:
          What to answer; None when the change can't be followed, since it
          comes from a superseded owner or changes before it are missing.
        """
        change = _CHANGE_DECODER.decode(message.change)
        copy = self._copies.get(message.trainer)
        if isinstance(change, ledgers.Replace):
            if copy is not None and copy.claim > message.claim:
                return None
            copy = Copy(message.claim, message.sequence, change.ledger)
            self._copies[message.trainer] = copy
        elif copy is None or not _follows(copy, message):
            return None
        else:
            ledgers.apply(change, copy.ledger)
            copy.sequence = message.sequence
        return messages.CopyAcknowledge(
            message.trainer, message.claim, message.sequence
        )

    def answer(self, message: messages.CopyRequest) -> messages.CopyAnswer:
        """Tell a new owner what is held of a trainer.

        Args:
          message: The question.

        Returns:
          The copy, or an empty answer.
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


def _follows(copy: Copy, message: messages.CopyUpdate) -> bool:
    return (
        copy.claim == message.claim and copy.sequence + 1 == message.sequence
    )


def choose_newest(answers: list[messages.CopyAnswer]) -> ledgers.Ledger | None:
    """Choose the newest ledger among what peers hold.

    Args:
      answers: Answers of peers, some of them empty.

    Returns:
      The ledger of the highest claim and sequence, or None.
    """
    held = [answer for answer in answers if answer.ledger]
    if not held:
        return None
    newest = max(held, key=lambda a: (a.claim, a.sequence))
    return msgspec.msgpack.decode(newest.ledger, type=ledgers.Ledger)


async def gather_ledger(
    trainer: str,
    own: messages.CopyAnswer,
    links: list[peer_link.PeerLink],
) -> ledgers.Ledger:
    """Ask every peer for its copy of a ledger and take the newest.

    Args:
      trainer: Trainer's name.
      own: What this daemon holds itself.
      links: Links to the other entries.

    Returns:
      The newest ledger; an empty one when nobody holds any.
    """
    asked = [
        asyncio.ensure_future(
            link.ask(lambda id_: messages.CopyRequest(id_, trainer))
        )
        for link in links
        if link.connected
    ]
    if asked:
        await asyncio.wait(asked, timeout=GATHER_TIMEOUT_SECONDS)
    found = [own]
    for task in asked:
        if task.done() and task.exception() is None:
            found.append(task.result())
        task.cancel()
    return choose_newest(found) or ledgers.Ledger(trainer)
