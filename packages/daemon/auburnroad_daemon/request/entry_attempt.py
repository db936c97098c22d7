"""One attempt at a request, on one side.

The link to the side feeds it messages; whoever made the attempt reads them
in order. Chunks that arrive twice after a new connection are dropped here,
so that a reader never sees a token twice.
"""

import asyncio

import msgspec

from auburnroad_core import types
from auburnroad_core.wire import messages


class Lost(msgspec.Struct, frozen=True):
    """The side can't be asked any more: run or not is unknown."""

    reason: str


Event = messages.Chunk | messages.Done | messages.Refused | Lost


class Attempt:
    """What an entry keeps of a request that it sent to a side."""

    __slots__ = ('submit', 'host', '_events', '_next_index', '_ended')

    def __init__(self, submit: messages.Submit, host: str):
        self.submit = submit
        self.host = host
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._next_index = 0
        self._ended = False

    @property
    def request_id(self) -> str:
        """Identity of the attempt."""
        return self.submit.request_id

    @property
    def next_index(self) -> int:
        """Number of the first chunk that has not arrived."""
        return self._next_index

    @property
    def ended(self) -> bool:
        """Whether the last event has arrived."""
        return self._ended

    def receive_chunk(self, chunk: messages.Chunk) -> bool:
        """Take a chunk in.

        Args:
          chunk: A chunk of this attempt.

        Returns:
          False when chunks before it are missing, so that it must be asked
          for again.
        """
        if chunk.index > self._next_index:
            return False
        if chunk.index == self._next_index and not self._ended:
            self._next_index += 1
            self._events.put_nowait(chunk)
        return True

    def receive_end(self, event: Event) -> bool:
        """Take the last event in; only the first one counts.

        Args:
          event: Done, Refused or Lost.

        Returns:
          False when chunks before a Done are missing.
        """
        if isinstance(event, messages.Done) and self._misses_chunks(event):
            return False
        if not self._ended:
            self._ended = True
            self._events.put_nowait(event)
        return True

    async def next_event(self) -> Event:
        """Wait for the next event.

        Returns:
          A chunk, or one of the events that end the attempt.
        """
        return await self._events.get()

    def _misses_chunks(self, done: messages.Done) -> bool:
        whole = done.outcome is types.Outcome.RUN
        return whole and done.chunks > self._next_index
