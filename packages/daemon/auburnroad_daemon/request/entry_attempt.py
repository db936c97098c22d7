"""State at the entry of one attempt of a request on one side.

The link to the side adds received messages, and the dispatcher reads them in
order. A side sends chunks again after a reconnect; duplicates are dropped
here, so that the reader never receives a token twice.
"""

import asyncio

import msgspec

from auburnroad_core import types
from auburnroad_core.wire import messages


class Lost(msgspec.Struct, frozen=True):
    """The side is unreachable, so the outcome of the attempt is unknown."""

    reason: str


Event = messages.Chunk | messages.Done | messages.Refused | Lost


class Attempt:
    """A request that an entry sent to a side, with its received events."""

    __slots__ = ('submit', 'host', '_events', '_next_index', '_ended')

    def __init__(self, submit: messages.Submit, host: str):
        self.submit = submit
        self.host = host
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._next_index = 0
        self._ended = False

    @property
    def request_id(self) -> str:
        """Id of the attempt."""
        return self.submit.request_id

    @property
    def next_index(self) -> int:
        """Index of the first chunk that has not been received."""
        return self._next_index

    @property
    def ended(self) -> bool:
        """Whether the final event has been received."""
        return self._ended

    def receive_chunk(self, chunk: messages.Chunk) -> bool:
        """Add a received chunk; ignore it if it is a duplicate.

        Args:
          chunk: A chunk of this attempt.

        Returns:
          False if earlier chunks are missing, so that the side must send them
          and this chunk again.
        """
        if chunk.index > self._next_index:
            return False
        if chunk.index == self._next_index and not self._ended:
            self._next_index += 1
            self._events.put_nowait(chunk)
        return True

    def receive_end(self, event: Event) -> bool:
        """Add the final event; ignore it if one was received before.

        Args:
          event: Done, Refused or Lost.

        Returns:
          False if chunks before a Done are missing.
        """
        if isinstance(event, messages.Done) and self._has_missing_chunks(
            event
        ):
            return False
        if not self._ended:
            self._ended = True
            self._events.put_nowait(event)
        return True

    async def next_event(self) -> Event:
        """Wait for the next event.

        Returns:
          A chunk, or the final event of the attempt.
        """
        return await self._events.get()

    def _has_missing_chunks(self, done: messages.Done) -> bool:
        was_run = done.outcome is types.Outcome.RUN
        return was_run and done.chunks > self._next_index
