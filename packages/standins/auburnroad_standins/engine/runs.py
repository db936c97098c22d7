"""State of one request in an engine, and the records of all requests.

'Books' are the records of a stand-in's actions, served by GET /books and
appended to a file.
"""

import asyncio
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core import types
from auburnroad_standins import books
from auburnroad_standins import text

DONE_EVENT = messages.build_server_sent_event(b'[DONE]')
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
      model: Name of the model or adapter.
      prompt: The prompt.
      request_id: Unique among the engine's running and waiting requests; an
        id is generated for a request without one.
      max_tokens: Length of the whole answer in tokens.
      resume_at: Index in the answer of the first token to generate.
    """

    model: str
    prompt: str
    request_id: str = ''
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] = 64
    resume_at: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


class RunRecord(msgspec.Struct):
    """Record of a run in the books.

    Attributes:
      number: Number of the run in its process, from 0.
      request_id: Id of the request.
      model: Name of the model or adapter.
      prompt_digest: See text.prompt_digest.
      resume_at: Index of the first requested token.
      tokens: Number of tokens that this run produced.
      spans: Weight version of each range of tokens; indices count from the
        first token of the whole answer.
      started: Whether the run got a slot.
      finished: Whether its last token was produced.
      cancelled: Whether it was cancelled before its last token.
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
    """A line of the books file; the last line of a run is its final state.

    Attributes:
      at_ms: Time of the event in Unix milliseconds.
      engine: Name of the engine.
      event: 'started', 'version', 'finished' or 'cancelled'. 'version' means
        that the token after 'run.tokens' is the first of a new weight
        version; if the engine crashes, that span has no recorded end.
      version: The new weight version; -1 for other events.
      run: State of the run at the event.
    """

    at_ms: int
    engine: str
    event: str
    version: int
    run: RunRecord


class TokenStream:
    """Buffer of encoded events between the batch and one caller."""

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
        """Append an event without waiting for the caller to read it.

        Args:
          data: The encoded event.
          ended: Whether it is the last event.
        """
        self._parts.append(data)
        self._ended = ended
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for an event or the end of the stream."""
        if self._parts or self._ended:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def aclose(self) -> None:
        """Report that the caller has stopped reading."""
        self._on_close()


class Run:
    """One request from its arrival to its end.

    Attributes:
      number: Number of the run in its process.
      request: The request.
      stream: Stream of the answer's events to the caller.
      offset: Index of the next token in the whole answer.
      ready_at: End of its prefill, in seconds of the event loop's clock.
      started: Whether it got a slot.
      finished: Whether its last token was produced.
      cancelled: Whether it was cancelled before its last token.
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
        """Number of tokens that this run produced."""
        return self.offset - self.request.resume_at

    @property
    def version(self) -> int:
        """Weight version of the newest token; -1 before the first token."""
        return self._version

    @property
    def ended(self) -> bool:
        """Whether the run is finished or cancelled."""
        return self.finished or self.cancelled

    def change_version(self, version: int) -> None:
        """End the current span and begin a span of another weight version.

        Args:
          version: Weight version of the next tokens.
        """
        self._spans = self._build_spans()
        self._version = version
        self._span_start = self.offset

    def produce(self) -> None:
        """Produce the next token and append its event to the stream."""
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
        """Cancel the run and end its stream with a 'cancelled' event."""
        self.cancelled = True
        event = CANCEL_EVENT % (self._version, self.offset)
        self.stream.push(event.encode('ascii') + DONE_EVENT, True)

    def build_record(self) -> RunRecord:
        """Build the record of the run for the books.

        Returns:
          The record of the run's current state.
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
    """Records of all runs of an engine, in memory and in the books file."""

    __slots__ = ('_engine', '_file', '_runs')

    def __init__(self, engine: str, path: str):
        self._engine = engine
        self._file = books.BooksFile(path)
        self._runs: list[RunRecord | Run] = []

    def create_run(self, request: Completion, on_close) -> Run:
        """Create the run of a request that has arrived.

        Args:
          request: The request.
          on_close: Called with the run when its caller disconnects.

        Returns:
          The run.
        """
        run = Run(len(self._runs), request, on_close)
        self._runs.append(run)
        return run

    def record_event(self, run: Run, event: str, version: int = -1) -> None:
        """Append a line to the books file; replace an ended run by its record.

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
        """Build the records of all runs.

        Returns:
          The records in order of arrival.
        """
        return [
            run.build_record() if isinstance(run, Run) else run
            for run in self._runs
        ]
