"""A caller of the soak that reads streams and takes them up again.

It leaves in the midst of some streams by itself, and goes on at any gateway.
"""

import asyncio
import random

import msgspec

from auburnroad_core.http import client
from auburnroad_e2e.soak import world as worlds
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica

PAUSE_SECONDS = 0.1
RETRY_SECONDS = 0.3
ATTEMPTS = 8
# Events after which the caller leaves, in half of the attempts.
LEAVE_EVENTS = (1, 8)
# Share of the attempts to take a stream up that don't tell the first one.
UNNAMED_SHARE = 0.2
# How long an attempt reads.
READ_SECONDS = worlds.CALL_SECONDS
# Streams that are read at the same time.
READERS = 3


class StreamAttempt(msgspec.Struct, frozen=True):
    """One attempt to read a stream, or the rest of it.

    Attributes:
      gateway: Name of the gateway.
      started: Monotonic seconds.
      ended: The same.
      status: Status of the answer, zero if there was none.
    """

    gateway: str
    started: float
    ended: float
    status: int


class StreamBook(msgspec.Struct):
    """What the caller knows of one stream.

    Attributes:
      text_id: Id of its text.
      events: Numbers and data of its events, in the order in which they came.
      attempts: Attempts to read it; those after the first event take it up.
      begun_by: Id of the attempt that brought the first event.
    """

    text_id: str
    events: list[tuple[int, str]] = []
    attempts: list[StreamAttempt] = []
    begun_by: str = ''

    @property
    def is_complete(self) -> bool:
        """Whether all events have come."""
        return len(self.events) >= platform_replica.count_events(self.text_id)


class StreamReader:
    """Reads one stream after the other.

    Attributes:
      books: Books of all streams.
    """

    def __init__(self, world: worlds.World, seed: int):
        self.books: list[StreamBook] = []
        self._world = world
        self._random = random.Random(seed)
        self._count = 0

    async def run(self) -> None:
        """Read until cancelled."""
        await asyncio.gather(*(self._read_streams() for _ in range(READERS)))

    async def _read_streams(self) -> None:
        while True:
            book = StreamBook(f'stream{len(self.books)}')
            self.books.append(book)
            for _ in range(ATTEMPTS):
                await self._read(book)
                if book.is_complete:
                    break
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _read(self, book: StreamBook) -> None:
        """Make one attempt at any gateway, and note it."""
        gateway = self._random.choice(self._world.gateways)
        leave_after = 10**6
        if self._random.random() < 0.5:
            leave_after = self._random.randint(*LEAVE_EVENTS)
        self._count += 1
        request_id = f'read{self._count}'
        request = platform_calls.build_stream(
            platform_replica.STREAM_PREFIX,
            request_id,
            book.text_id,
            '' if self._random.random() < UNNAMED_SHARE else book.begun_by,
            book.events[-1][0] if book.events else None,
        )
        started = asyncio.get_running_loop().time()
        status = 0
        try:
            async with asyncio.timeout(READ_SECONDS):
                reply = await self._world.open(gateway, request)
                status = reply.status
                if status == 200:
                    await self._note_events(
                        book, reply, request_id, leave_after
                    )
                reply.close()
        except (client.HttpError, TimeoutError):
            # The next attempt takes the stream up.
            pass
        ended = asyncio.get_running_loop().time()
        book.attempts.append(
            StreamAttempt(gateway.name, started, ended, status)
        )

    async def _note_events(
        self, book: StreamBook, reply, request_id: str, leave_after: int
    ) -> None:
        buffer = b''
        noted = 0
        async for chunk in reply.iterate():
            buffer += chunk
            *events, buffer = buffer.split(b'\n\n')
            for event in events:
                book.events.append(platform_calls.parse_event(event))
                book.begun_by = book.begun_by or request_id
                noted += 1
            if noted >= leave_after:
                return
