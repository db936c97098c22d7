"""One Submit, from its arrival until its answer is acknowledged.

The answer outlives the stream that the request came by: streams die without
harm to the work, and the entry asks for it again by the request's id.
"""

import asyncio

from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream

Answer = messages.Done | messages.Refused


class Attempt:
    """State of one request at this side."""

    __slots__ = (
        '_stream',
        'submit',
        'arrived_ms',
        'orphaned_ms',
        'finished_ms',
        'chunks',
        'answer',
        'replica',
        'task',
        'cancel_code',
    )

    def __init__(
        self,
        submit: messages.Submit,
        peer: stream.Stream | None,
        arrived_ms: int,
    ):
        self._stream = peer
        self.submit = submit
        self.arrived_ms = arrived_ms
        self.orphaned_ms: int | None = None
        self.finished_ms = 0
        self.chunks: list[messages.Chunk] = []
        self.answer: Answer | None = None
        self.replica = ''
        self.task: asyncio.Task | None = None
        self.cancel_code = ''

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.submit.request_id

    @property
    def is_interactive(self) -> bool:
        """Whether a caller waits for it."""
        return self.submit.request_class is types.RequestClass.INTERACTIVE

    @property
    def peer(self) -> stream.Stream | None:
        """The stream that its answer goes to."""
        return self._stream

    def send_chunk(self, text: str, spans: list[types.VersionSpan]) -> None:
        """Send tokens of a streamed answer and keep them for resuming.

        Args:
          text: Text of the tokens.
          spans: Versions over them, counted from the answer's first token.
        """
        chunk = messages.Chunk(self.request_id, len(self.chunks), text, spans)
        self.chunks.append(chunk)
        self._send(chunk)

    def finish(self, answer: Answer, now_ms: int) -> None:
        """Send the final answer and keep it until it is acknowledged.

        Args:
          answer: The final answer; there is no second one.
          now_ms: Unix milliseconds.
        """
        self.answer = answer
        self.finished_ms = now_ms
        self._send(answer)

    def lose_stream(self, now_ms: int) -> None:
        """Note that the stream has died.

        Args:
          now_ms: Unix milliseconds.
        """
        self._stream = None
        self.orphaned_ms = now_ms

    def resume(self, peer: stream.Stream, next_index: int) -> None:
        """Send what is missing, and what follows, to another stream.

        Args:
          peer: The stream that asked.
          next_index: Number of the first chunk that is missing there.
        """
        self._stream = peer
        self.orphaned_ms = None
        for chunk in self.chunks[max(0, next_index) :]:
            self._send(chunk)
        if self.answer is not None:
            self._send(self.answer)

    def _send(self, message: messages.Message) -> None:
        if self._stream is not None:
            self._stream.send(message)
