"""Interactive caller stand-in: completions and plain calls at a given rate.

When an entry fails or refuses a request, the caller retries it at another
entry with the same idempotency key. The books record for each attempt the
outcome that the entry reported and whether the response was correct and
complete.
"""

import asyncio
import os
import random
import sys

import fire
import msgspec

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import balancer
from auburnroad_standins import caller_kinds
from auburnroad_standins import entry_pool
from auburnroad_standins import record_file
from auburnroad_standins import stopping

FINAL_WAIT_SECONDS = 30.0
MAX_IN_FLIGHT = 256
MAX_RETRY_AFTER_SECONDS = 1.0
FINAL_STATUSES = (400, 404, 409, 413, 422)


class Options(msgspec.Struct, frozen=True):
    """Options of a caller.

    Attributes:
      name: Name in the books and in the ids of requests.
      entries: Addresses of the entries.
      books_file: Path of the file for the books.
      model: Model for completions.
      service: Plain service for calls by path.
      kinds: Kinds of requests, sent in turn.
      rate: Requests per second.
      count: Number of requests to send; 0 to send until SIGTERM.
      max_tokens: Number of tokens in a completion.
      try_seconds: Timeout of one attempt in seconds.
      tries: Maximum number of attempts of a request.
      seed: Seed of the order of entries.
    """

    name: str
    entries: tuple[str, ...]
    books_file: str
    model: str = ''
    service: str = ''
    kinds: tuple[str, ...] = ('completion', 'stream', 'get', 'post')
    rate: float = 10.0
    count: int = 0
    max_tokens: int = 24
    try_seconds: float = 10.0
    tries: int = 6
    seed: int = 1


def build_key(now_ms: int) -> str:
    """Build an idempotency key: a UUID of version 7.

    Args:
      now_ms: Timestamp of the key in Unix milliseconds.

    Returns:
      The key in the standard text form of UUIDs.
    """
    noise = int.from_bytes(os.urandom(10))
    value = (now_ms << 80) | (0x7 << 76) | ((noise >> 68) & 0xFFF) << 64
    value |= (0b10 << 62) | (noise & ((1 << 62) - 1))
    digits = f'{value:032x}'
    parts = (digits[:8], digits[8:12], digits[12:16], digits[16:20])
    return '-'.join((*parts, digits[20:]))


class Attempt(msgspec.Struct):
    """Result of one attempt of a request.

    Attributes:
      entry: Address of the entry.
      status: HTTP status; 0 without a response.
      outcome: Outcome that the entry reported; 'unsent' if the connection
        failed before anything was sent, 'broken' if it broke before the end
        of the response, 'given-up' after a timeout.
      code: Code of a refusal, or the error.
      request_id: Id that the entry gave the request.
      began: Whether the header of a successful response arrived.
      right: Whether the response is correct for this request.
      whole: Whether the response is complete.
      retry_seconds: Time to wait before the next attempt, in seconds.
    """

    entry: str
    status: int = 0
    outcome: str = ''
    code: str = ''
    request_id: str = ''
    began: bool = False
    right: bool = False
    whole: bool = False
    retry_seconds: float = 0.0


class Caller:
    """Sends requests at a given rate and records them in the books.

    Attributes:
      options: Options of the caller.
      books: File of its events.
      stopping: Set when no further requests are to be sent.
    """

    __slots__ = (
        'options',
        'books',
        'stopping',
        '_balancer',
        '_client',
        '_random',
    )

    def __init__(self, options: Options):
        self.options = options
        self.books = record_file.RecordFile(options.books_file)
        self.stopping = asyncio.Event()
        self._balancer = balancer.Balancer(options.entries)
        self._client = client.HttpClient()
        self._random = random.Random(options.seed)

    async def run(self) -> None:
        """Send the configured number of requests, then wait for the last."""
        readiness_task = asyncio.create_task(self._balancer.run())
        try:
            await self._send_requests()
        finally:
            readiness_task.cancel()

    async def _send_requests(self) -> None:
        running: set[asyncio.Task] = set()
        number = 0
        while not self.stopping.is_set():
            if self.options.count and number >= self.options.count:
                break
            if len(running) < MAX_IN_FLIGHT:
                task = asyncio.create_task(self._call(number))
                running.add(task)
                task.add_done_callback(running.discard)
                number += 1
            await self._pause(1.0 / self.options.rate)
        if running:
            await asyncio.wait(running, timeout=FINAL_WAIT_SECONDS)
        self.books.write('finished', caller=self.options.name, calls=number)

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.stopping.wait()
        except TimeoutError:
            pass

    async def _call(self, number: int) -> None:
        options = self.options
        name = options.kinds[number % len(options.kinds)]
        kind = caller_kinds.KINDS.get(name)()
        call = caller_kinds.Call(
            f'{options.name}-{number}',
            options.model,
            options.service,
            options.max_tokens,
            build_key(clock.time_now_ms()) if name == 'post' else '',
        )
        self.books.write('asked', id=call.id, kind=name, key=call.key)
        entries = list(options.entries)
        self._random.shuffle(entries)
        tries: list[Attempt] = []
        while len(tries) < options.tries:
            entry = self._balancer.order(entries)[0]
            # The next attempt uses another entry, if there is one.
            entries.remove(entry)
            entries.append(entry)
            attempt = await self._attempt(kind, call, entry)
            tries.append(attempt)
            if _is_final(attempt):
                break
            await asyncio.sleep(attempt.retry_seconds)
        self.books.write(
            'answered', id=call.id, kind=name, key=call.key, tries=tries
        )

    async def _attempt(self, kind, call, entry) -> Attempt:
        attempt = Attempt(entry)
        try:
            async with asyncio.timeout(self.options.try_seconds):
                await self._exchange(kind, call, attempt)
        except client.ConnectError as error:
            attempt.outcome = 'unsent'
            attempt.code = str(error)
        except client.BrokenError as error:
            attempt.outcome = 'broken'
            attempt.code = str(error)
        except TimeoutError:
            attempt.outcome = 'given-up'
        return attempt

    async def _exchange(self, kind, call, attempt: Attempt) -> None:
        request = kind.build(call)
        # Each request uses a new connection, because a draining entry may
        # close a pooled one while a request is being written.
        request.headers['connection'] = 'close'
        reply = await self._client.open(attempt.entry, request)
        attempt.began = reply.status < 300
        attempt.status = reply.status
        attempt.outcome = reply.headers.get('auburnroad-outcome', '')
        attempt.request_id = reply.headers.get('auburnroad-request-id', '')
        body = await reply.read()
        if reply.status < 300:
            verdict = kind.check(call, body)
            attempt.whole = verdict.whole
            attempt.right = verdict.right
            attempt.code = verdict.code
            return
        response = messages.Response(reply.status, reply.headers, body)
        attempt.code = entry_pool.parse_error_code(response)
        attempt.retry_seconds = min(
            MAX_RETRY_AFTER_SECONDS, entry_pool.parse_retry_after(response)
        )


def _is_final(attempt: Attempt) -> bool:
    """Tell whether an attempt is the last one of its request."""
    if attempt.outcome in ('unsent', 'broken', 'given-up'):
        return attempt.began
    return attempt.status < 300 or attempt.status in FINAL_STATUSES


async def _run(options: Options) -> None:
    caller = Caller(options)
    stopping.on_sigterm(caller.stopping.set)
    await caller.run()


def start(name, entries, books_file, kinds='', **flags) -> None:
    """Run a caller.

    Args:
      name: Name in the books and in the ids of requests.
      entries: Addresses of the entries, separated by commas.
      books_file: Path of the file for the books.
      kinds: Kinds of requests, separated by commas; all kinds if empty.
      flags: Other attributes of Options.
    """
    if kinds:
        # Fire passes several words as a tuple, but a single word as a string.
        names = kinds.split(',') if isinstance(kinds, str) else kinds
        flags['kinds'] = tuple(names)
    options = Options(
        name=name,
        entries=tuple(entries.split(',')),
        books_file=books_file,
        **flags,
    )
    asyncio.run(_run(options))


if __name__ == '__main__':
    sys.exit(fire.Fire(start))
