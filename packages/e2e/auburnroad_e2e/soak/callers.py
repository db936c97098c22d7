"""Callers of the soak: a trainer, readers, lookups, requests that run once.

They keep books of all that they were told, from which the promises are
checked. They don't judge anything themselves.
"""

import asyncio
import random

import msgspec

from auburnroad_core.http import client
from auburnroad_e2e.soak import stream_reader
from auburnroad_e2e.soak import world as worlds
from auburnroad_standins import platform_calls

GROUPS = 4
GROUP_SIZE = 4
GROUPS_WANTED = 3
STEP_SECONDS = 1.0
STEP_DEADLINE_SECONDS = 12.0
READ_SECONDS = 0.25
LOOKUP_SECONDS = 0.08
ONCE_SECONDS = 0.15
RETRY_SECONDS = 0.2
# How long a read of results may be kept waiting, and a caller waits.
WAIT_MS = 300
PATIENCE_MS = 2000
# Every other request for a route that was added is for the one that so many
# changes have followed.
NEWEST = 3
NEVER_KEY = f'{worlds.KEY_PREFIX}never-'


class Attempt(msgspec.Struct, frozen=True):
    """One attempt of a single request.

    Attributes:
      kind: 'plain', 'once', 'added', 'key' or 'public'.
      path: Its path.
      request_id: Its id.
      gateway: Name of the gateway.
      gateway_start: Which start of that gateway.
      started: Monotonic seconds.
      ended: The same.
      status: Status of the answer, zero if there was none.
      whole: Whether the answer is the replica's to this very request.
      replica: Id of the replica that signed the answer, empty for none.
      leaving: Whether the answer states that this replica leaves.
      refused_as: Error code of the gateway's own answer, empty for none.
      key: API key of the request, empty in a deployment without accounts.
    """

    kind: str
    path: str
    request_id: str
    gateway: str
    gateway_start: int
    started: float
    ended: float
    status: int
    whole: bool
    replica: str = ''
    leaving: bool = False
    refused_as: str = ''
    key: str = ''


class BatchBook(msgspec.Struct):
    """What callers know of one batch.

    Attributes:
      id: Its id.
      items: Ids of its items.
      minimum_version: Oldest version that may generate.
      answers: Statuses of the submissions, zero for none.
      accepted_at: When the first 202 came, in monotonic seconds.
      ended_at: When its end was acknowledged, in the same.
      results: Results by position, as first read.
      faults: What contradicts itself or what was read before.
      scored: Whether its items have reward calls.
    """

    id: str
    items: list[str]
    minimum_version: int
    answers: list[int] = []
    accepted_at: float | None = None
    ended_at: float | None = None
    results: dict[int, dict] = {}
    faults: list[str] = []
    scored: bool = False


class Callers:
    """All callers of a run.

    Attributes:
      batches: Books of batches, in the order of their steps.
      attempts: Books of single requests.
      sent_keys: Key of each single request that was sent, by its id.
    """

    def __init__(self, world: worlds.World, seed: int):
        self.batches: list[BatchBook] = []
        self.attempts: list[Attempt] = []
        self.sent_keys: dict[str, str] = {}
        self._world = world
        self._random = random.Random(seed)
        self._reader = stream_reader.StreamReader(world, seed)
        # Items of every other seed have reward calls.
        self._scored = seed % 2 == 1
        self._count = 0
        self._tasks: list[asyncio.Task] = []

    @property
    def streams(self) -> list[stream_reader.StreamBook]:
        """Books of streams."""
        return self._reader.books

    def start(self) -> None:
        """Begin to call."""
        for work in (
            self._train,
            self._read_again,
            self._look_up,
            self._ask_once,
            self._probe_added,
            self._probe_keys,
            self._reader.run,
        ):
            self._tasks.append(asyncio.create_task(work()))

    async def stop(self) -> None:
        """Stop to call; what is in flight is given up."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def run_step(self, deadline_seconds: float) -> BatchBook:
        """Run one step: submit, read, end, and name the next version.

        Args:
          deadline_seconds: When the step is given up.

        Returns:
          The batch's book.
        """
        step = len(self.batches)
        items = [f's{step}i{n}' for n in range(GROUPS * GROUP_SIZE)]
        book = BatchBook(
            f'step{step}',
            items,
            max(1, self._world.named - 1),
            scored=self._scored,
        )
        self.batches.append(book)
        try:
            async with asyncio.timeout(deadline_seconds):
                await self._submit(book, step)
                while not self._is_enough(book):
                    await self.read(book, len(book.results))
                    await asyncio.sleep(READ_SECONDS)
        except TimeoutError:
            # The trainer goes on without the rest, as real ones do.
            pass
        if book.accepted_at is not None:
            await self._end(book)
        self._world.name_version()
        return book

    async def read(self, book: BatchBook, position: int) -> int:
        """Read a batch's results at any gateway, and note them.

        Returns:
          The status, zero for no answer.
        """
        gateway = self._random.choice(self._world.gateways)
        request = platform_calls.build_read(book.id, position, WAIT_MS)
        try:
            answer = await self._world.call(gateway, request)
        except client.HttpError:
            return 0
        if answer.status == 200:
            self._note_page(book, position, msgspec.json.decode(answer.body))
        elif answer.status == 404:
            book.faults.append(f'{gateway.name} knows no {book.id}')
        return answer.status

    async def read_body(self, book: BatchBook) -> None:
        """Ask for the body of an item at any gateway."""
        item = self._random.choice(book.items)
        gateway = self._random.choice(self._world.gateways)
        request = platform_calls.build_body_read(book.id, item)
        try:
            answer = await self._world.call(gateway, request)
        except client.HttpError:
            return
        if answer.status == 200 and answer.body != item.encode():
            book.faults.append(f'another body for {item}')
        elif answer.status == 404:
            book.faults.append(f'{gateway.name} has no body of {item}')

    async def ask(
        self, kind: str, path: str, gateway=None, key: str = ''
    ) -> Attempt:
        """Make one attempt of a single request, and note it."""
        key = key or self._world.caller_key
        gateway = gateway or self._random.choice(self._world.gateways)
        self._count += 1
        request_id = f'{kind}{self._count}'
        loop = asyncio.get_running_loop()
        started, gateway_start = loop.time(), gateway.starts
        request = platform_calls.build_single(path, request_id, PATIENCE_MS)
        if key:
            request.headers |= platform_calls.build_identity(
                key, worlds.FOREIGN_ACCOUNT
            )
        self.sent_keys[request_id] = key
        status, whole = 0, False
        replica, leaving, refused_as = '', False, ''
        try:
            answer = await self._world.call(gateway, request)
            status = answer.status
            whole = platform_calls.is_own_answer(answer, request_id)
            replica = platform_calls.find_replica(answer)
            leaving = platform_calls.is_leaving(answer)
            refused_as = platform_calls.find_error_code(answer)
        except client.HttpError:
            # Told by the status of zero.
            pass
        attempt = Attempt(
            kind,
            path,
            request_id,
            gateway.name,
            gateway_start,
            started,
            loop.time(),
            status,
            whole,
            replica,
            leaving,
            refused_as,
            key,
        )
        self.attempts.append(attempt)
        return attempt

    async def _train(self) -> None:
        while True:
            await self.run_step(STEP_DEADLINE_SECONDS)
            await asyncio.sleep(STEP_SECONDS)

    async def _submit(self, book: BatchBook, step: int) -> None:
        request = platform_calls.build_submission(
            platform_calls.Submission(
                book.id,
                '/batch/',
                step,
                worlds.MODEL,
                book.minimum_version,
                GROUPS_WANTED,
                book.items,
                GROUP_SIZE,
                worlds.HOST if book.scored else '',
                '/plain/score',
            )
        )
        while book.accepted_at is None:
            gateway = self._random.choice(self._world.gateways)
            try:
                status = (await self._world.call(gateway, request)).status
            except client.HttpError:
                status = 0
            book.answers.append(status)
            if status == 202:
                book.accepted_at = asyncio.get_running_loop().time()
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _end(self, book: BatchBook) -> None:
        request = platform_calls.build_end(book.id)
        for _ in range(20):
            gateway = self._random.choice(self._world.gateways)
            try:
                answer = await self._world.call(gateway, request)
            except client.HttpError:
                continue
            if answer.status == 200:
                book.ended_at = asyncio.get_running_loop().time()
                return
            await asyncio.sleep(RETRY_SECONDS)

    def _is_enough(self, book: BatchBook) -> bool:
        done = [result['id'] for result in book.results.values()]
        counts = [0] * GROUPS
        for item in done:
            counts[book.items.index(item) // GROUP_SIZE] += 1
        return sum(n == GROUP_SIZE for n in counts) >= GROUPS_WANTED

    def _note_page(self, book: BatchBook, position: int, page: dict) -> None:
        if page['total'] != len(book.items):
            book.faults.append(f'total {page["total"]}')
        if page['next'] != position + len(page['results']):
            book.faults.append(f'next {page["next"]} at {position}')
        for number, result in enumerate(page['results'], position):
            known = book.results.setdefault(number, result)
            if known != result:
                book.faults.append(f'another result at {number}')

    async def _read_again(self) -> None:
        while True:
            await asyncio.sleep(READ_SECONDS)
            accepted = [
                book for book in self.batches if book.accepted_at is not None
            ]
            if not accepted:
                continue
            book = self._random.choice(accepted)
            await self.read(
                book, self._random.randrange(len(book.results) + 1)
            )
            await self.read_body(book)

    async def _look_up(self) -> None:
        while True:
            await self.ask('plain', '/plain/x')
            await asyncio.sleep(LOOKUP_SECONDS)

    async def _ask_once(self) -> None:
        while True:
            await self.ask('once', '/once/x')
            await asyncio.sleep(ONCE_SECONDS)

    async def _probe_added(self) -> None:
        while True:
            await asyncio.sleep(ONCE_SECONDS)
            routes = self._world.routes_added
            if routes:
                await self.ask('added', f'{self._random.choice(routes)[0]}x')
                await self.ask('added', f'{routes[-NEWEST:][0][0]}x')

    async def _probe_keys(self) -> None:
        """Try keys that exist, existed or never did."""
        while self._world.keys:
            await asyncio.sleep(ONCE_SECONDS)
            never = f'{NEVER_KEY}{self._count}'
            tried = [key.text for key in self._world.keys[1:]]
            await self.ask('key', '/plain/key', key=never)
            await self.ask('public', '/public/key', key=never)
            if tried:
                key = self._random.choice(tried)
                await self.ask('key', '/plain/key', key=key)
