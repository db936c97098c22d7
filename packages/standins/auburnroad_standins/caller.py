"""Interactive callers: completions and calls of plain services at a rate.

They repeat a request at another entry when an entry fails or refuses, with
the same idempotency key. Their books say for each request what was claimed of
each try and whether the answer was right and whole.
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

LAST_CALL_SECONDS = 30.0
IN_FLIGHT_LIMIT = 256
RETRY_AFTER_LIMIT_SECONDS = 1.0
FINAL_STATUSES = (400, 404, 409, 413, 422)


class Options(msgspec.Struct, frozen=True):
    """How the callers behave.

    Attributes:
      name: Name in the books and in the ids of requests.
      entries: Addresses of the entries.
      books_file: Path of the books.
      model: Model for completions.
      service: Plain service for calls by path.
      kinds: Kinds of requests, made in turn.
      rate: Requests a second.
      count: Requests to make; 0 for as many as come until SIGTERM.
      max_tokens: Tokens of a completion.
      try_seconds: How long one try may take.
      tries: How often a request is tried at most.
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
      now_ms: Unix milliseconds that the key holds.

    Returns:
      The key in its usual text form.
    """
    noise = int.from_bytes(os.urandom(10))
    value = (now_ms << 80) | (0x7 << 76) | ((noise >> 68) & 0xFFF) << 64
    value |= (0b10 << 62) | (noise & ((1 << 62) - 1))
    digits = f'{value:032x}'
    parts = (digits[:8], digits[8:12], digits[12:16], digits[16:20])
    return '-'.join((*parts, digits[20:]))


class Try(msgspec.Struct):
    """What came of one try.

    Attributes:
      entry: Entry that was asked.
      status: HTTP status, zero when there was none.
      outcome: What the entry claimed; 'unsent' when nothing left the caller,
        'broken' when the connection broke before the answer's end, 'given-up'
        when the caller waited no longer.
      code: Code of a refusal, or the error.
      request_id: The entry's id of the request.
      began: Whether the head of an answer came.
      right: Whether it is the answer to this request.
      whole: Whether the answer reached its end.
      retry_seconds: When to come back.
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
    """Makes requests at a rate and keeps books of them."""

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
        """Make requests until there are enough, then wait for the last."""
        watch = asyncio.create_task(self._balancer.run())
        try:
            await self._make_calls()
        finally:
            watch.cancel()

    async def _make_calls(self) -> None:
        running: set[asyncio.Task] = set()
        number = 0
        while not self.stopping.is_set():
            if self.options.count and number >= self.options.count:
                break
            if len(running) < IN_FLIGHT_LIMIT:
                task = asyncio.create_task(self._call(number))
                running.add(task)
                task.add_done_callback(running.discard)
                number += 1
            await self._pause(1.0 / self.options.rate)
        if running:
            await asyncio.wait(running, timeout=LAST_CALL_SECONDS)
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
        tries: list[Try] = []
        while len(tries) < options.tries:
            entry = self._balancer.order(entries)[0]
            # The next try goes to another entry, if there is one.
            entries.remove(entry)
            entries.append(entry)
            done = await self._try(kind, call, entry)
            tries.append(done)
            if _is_final(done):
                break
            await asyncio.sleep(done.retry_seconds)
        self.books.write(
            'answered', id=call.id, kind=name, key=call.key, tries=tries
        )

    async def _try(self, kind, call, entry) -> Try:
        done = Try(entry)
        try:
            async with asyncio.timeout(self.options.try_seconds):
                await self._exchange(kind, call, done)
        except client.ConnectError as error:
            done.outcome = 'unsent'
            done.code = str(error)
        except client.BrokenError as error:
            done.outcome = 'broken'
            done.code = str(error)
        except TimeoutError:
            done.outcome = 'given-up'
        return done

    async def _exchange(self, kind, call, done: Try) -> None:
        request = kind.build(call)
        # A fresh connection for each request: a pooled one may be closed by
        # a draining entry in the moment in which a request is written.
        request.headers['connection'] = 'close'
        reply = await self._client.open(done.entry, request)
        done.began = reply.status < 300
        done.status = reply.status
        done.outcome = reply.headers.get('auburnroad-outcome', '')
        done.request_id = reply.headers.get('auburnroad-request-id', '')
        body = await reply.read()
        if reply.status < 300:
            verdict = kind.judge(call, body)
            done.whole = verdict.whole
            done.right = verdict.right
            done.code = verdict.code
            return
        response = messages.Response(reply.status, reply.headers, body)
        done.code = entry_pool.error_code(response)
        done.retry_seconds = min(
            RETRY_AFTER_LIMIT_SECONDS, entry_pool.retry_after_seconds(response)
        )


def _is_final(done: Try) -> bool:
    """Tell whether a caller would not try again."""
    if done.outcome in ('unsent', 'broken', 'given-up'):
        return done.began
    return done.status < 300 or done.status in FINAL_STATUSES


async def _run(options: Options) -> None:
    caller = Caller(options)
    stopping.on_sigterm(caller.stopping.set)
    await caller.run()


def start(name, entries, books_file, kinds='', **flags) -> None:
    """Run callers.

    Args:
      name: Name in the books and in the ids of requests.
      entries: Addresses of the entries, joined by commas.
      books_file: Path of the books.
      kinds: Kinds of requests, joined by commas; all when empty.
      flags: Further members of Options.
    """
    if kinds:
        # Fire has split a list of words already, but not a single word.
        words = kinds.split(',') if isinstance(kinds, str) else kinds
        flags['kinds'] = tuple(words)
    options = Options(
        name=name,
        entries=tuple(entries.split(',')),
        books_file=books_file,
        **flags,
    )
    asyncio.run(_run(options))


if __name__ == '__main__':
    sys.exit(fire.Fire(start))
