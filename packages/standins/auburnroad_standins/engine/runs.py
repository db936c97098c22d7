"""One request in an engine, and the books of all of them."""

import asyncio
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core import types
from auburnroad_standins import books
from auburnroad_standins import text

DONE_EVENT = messages.server_sent_event(b'[DONE]')
TOKEN_EVENT = (
    'data: {"text":"%s","tokens":1,"version":%d,"offset":%d,'
    '"finish_reason":%s}\n\n'
)
CANCEL_EVENT = (
    'data: {"text":"","tokens":0,"version":%d,"offset":%d,'
    '"finish_reason":"cancelled"}\n\n'
)


class Completion(msgspec.Struct):
    """Body of a completion.

    Attributes:
      model: Model or adapter.
      prompt: The prompt.
      request_id: Unique among the engine's present requests; one is made for
        a request without.
      max_tokens: Length of the whole answer in tokens.
      resume_at: Index of the first token wanted.
    """

    model: str
    prompt: str
    request_id: str = ''
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] = 64
    resume_at: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


class RunRecord(msgspec.Struct):
    """A run as the books show it.

    Attributes:
      number: Number of the run in its process, from 0.
      request_id: Request's id.
      model: Model or adapter.
      prompt_digest: See text.prompt_digest.
      resume_at: Index of the first token that was asked for.
      tokens: Tokens that this run produced.
      spans: Weight versions, counted from the answer's first token.
      started: Whether the run got a slot.
      finished: Whether its last token was produced.
      cancelled: Whether it was cancelled before.
    """

    number: int
    request_id: str
    model: str
    prompt_digest: str
    resume_at: int
    tokens: int
    spans: list[types.VersionSpan]
    started: bool
    finished: bool
    cancelled: bool


class BooksLine(msgspec.Struct):
    """A line of the books file; the last one of a run counts.

    Attributes:
      at_ms: Unix milliseconds.
      engine: Engine's name.
      event: 'started', 'version', 'finished' or 'cancelled'. 'version' says
        that the token after 'run.tokens' is the first of a new version; a
        crash leaves that span open.
      version: Weight version from then on, -1 for other events.
      run: The run as it is then.
    """

    at_ms: int
    engine: str
    event: str
    version: int
    run: RunRecord


class TokenStream:
    """Events on their way from the batch to one caller."""

    __slots__ = ('_parts', '_waiter', '_ended', '_on_close')

    def __init__(self, on_close: typing.Callable[[], None]):
        self._parts: list[bytes] = []
        self._waiter: asyncio.Future | None = None
        self._ended = False
        self._on_close = on_close

    def __aiter__(self) -> 'TokenStream':
        return self

    async def __anext__(self) -> bytes:
        await self.wait()
        if not self._parts:
            raise StopAsyncIteration
        data = b''.join(self._parts)
        self._parts.clear()
        return data

    def push(self, data: bytes, ended: bool = False) -> None:
        """Hand an event over without waiting for the caller.

        Args:
          data: The event in bytes.
          ended: Whether it is the last one.
        """
        self._parts.append(data)
        self._ended = ended
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for an event or the end."""
        if self._parts or self._ended:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def aclose(self) -> None:
        """Take note that nobody reads any more."""
        self._on_close()


class Run:
    """One request from its arrival to its end.

    Attributes:
      number: Number of the run in its process.
      request: What was asked.
      stream: Where its events go.
      offset: Index of the next token.
      ready_at: Time of the loop, in seconds, at which its prefill is done.
      started: Whether it got a slot.
      finished: Whether its last token was produced.
      cancelled: Whether it was cancelled before.
    """

    __slots__ = (
        'number',
        'request',
        'stream',
        'offset',
        'ready_at',
        'started',
        'finished',
        'cancelled',
        '_seed',
        '_digest',
        '_spans',
        '_version',
        '_span_start',
    )

    def __init__(self, number, request: Completion, on_close):
        self.number = number
        self.request = request
        self.stream = TokenStream(lambda: on_close(self))
        self.offset = request.resume_at
        self.ready_at = 0.0
        self.started = False
        self.finished = False
        self.cancelled = False
        self._seed = text.answer_seed(request.model, request.prompt)
        self._digest = text.prompt_digest(request.prompt)
        self._spans: list[types.VersionSpan] = []
        self._version = -1
        self._span_start = request.resume_at

    @property
    def tokens(self) -> int:
        """Tokens that this run produced."""
        return self.offset - self.request.resume_at

    @property
    def version(self) -> int:
        """Weight version of the newest token, -1 before the first."""
        return self._version

    @property
    def ended(self) -> bool:
        """Whether no token follows."""
        return self.finished or self.cancelled

    def change_version(self, version: int) -> None:
        """Close the present span.

        Args:
          version: Weight version of the tokens from now on.
        """
        self._spans = self._build_spans()
        self._version = version
        self._span_start = self.offset

    def produce(self) -> None:
        """Produce the next token and hand its event over."""
        offset = self.offset
        self.offset = offset + 1
        self.finished = self.offset >= self.request.max_tokens
        reason = '"length"' if self.finished else 'null'
        token = text.token_text(self._seed, offset)
        event = TOKEN_EVENT % (token, self._version, offset, reason)
        data = event.encode('ascii')
        if self.finished:
            data += DONE_EVENT
        self.stream.push(data, self.finished)

    def cancel(self) -> None:
        """End the run early and tell its caller."""
        self.cancelled = True
        event = CANCEL_EVENT % (self._version, self.offset)
        self.stream.push(event.encode('ascii') + DONE_EVENT, True)

    def build_record(self) -> RunRecord:
        """Build the books' view of the run.

        Returns:
          The record as of now.
        """
        return RunRecord(
            number=self.number,
            request_id=self.request.request_id,
            model=self.request.model,
            prompt_digest=self._digest,
            resume_at=self.request.resume_at,
            tokens=self.tokens,
            spans=self._build_spans(),
            started=self.started,
            finished=self.finished,
            cancelled=self.cancelled,
        )

    def _build_spans(self) -> list[types.VersionSpan]:
        if self.offset == self._span_start:
            return list(self._spans)
        span = types.VersionSpan(self._version, self._span_start, self.offset)
        return [*self._spans, span]


class RunBooks:
    """All runs of an engine, in memory and in the books file."""

    __slots__ = ('_engine', '_file', '_runs')

    def __init__(self, engine: str, path: str):
        self._engine = engine
        self._file = books.BooksFile(path)
        self._runs: list[RunRecord | Run] = []

    def open(self, request: Completion, on_close) -> Run:
        """Open the books for a request that has arrived.

        Args:
          request: The request.
          on_close: Called with the run when its caller goes away.

        Returns:
          The run.
        """
        run = Run(len(self._runs), request, on_close)
        self._runs.append(run)
        return run

    def note(self, run: Run, event: str, version: int = -1) -> None:
        """Append a line to the books file.

        Args:
          run: The run.
          event: See BooksLine.
          version: See BooksLine.
        """
        record = run.build_record()
        line = BooksLine(
            clock.time_now_ms(), self._engine, event, version, record
        )
        self._file.append(line)
        if run.ended:
            self._runs[run.number] = record

    def build(self) -> list[RunRecord]:
        """Build the books of all runs.

        Returns:
          Records in order of arrival.
        """
        return [
            run.build_record() if isinstance(run, Run) else run
            for run in self._runs
        ]
