"""State at the side of one request until its answer is acknowledged.

A request and its answer are independent of the stream that the request
arrived on. If the stream breaks, the run continues, and the entry resumes the
request by its id on a new stream.
"""

import asyncio

from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream

Answer = messages.Done | messages.Refused


class Attempt:
    """One request with its chunks and its final answer.

    Attributes:
      submit: The request.
      arrived_ms: Arrival time in Unix milliseconds.
      orphaned_ms: Unix milliseconds at which the request's stream broke, or
        None if the stream did not break or the request was resumed.
      finished_ms: Unix milliseconds at which the final answer was set, or
        zero.
      chunks: All chunks of a streamed answer, by index.
      answer: The final answer, or None while the request waits or runs.
      replica: Name of the replica that runs or ran the request, or empty.
      task: Task of the run, or None if the run has not started.
      cancel_code: Refusal code of a cancelled run, otherwise empty.
    """

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
        """Id of the request."""
        return self.submit.request_id

    @property
    def is_interactive(self) -> bool:
        """Whether the request was sent by a caller, not a trainer."""
        return self.submit.request_class is types.RequestClass.INTERACTIVE

    @property
    def peer(self) -> stream.Stream | None:
        """Stream for the answer, or None if the stream is broken."""
        return self._stream

    def send_chunk(self, text: str, spans: list[types.VersionSpan]) -> None:
        """Send a chunk of a streamed answer and keep it for resuming.

        Args:
          text: Text of the tokens in the chunk.
          spans: Weight versions of these tokens, relative to the first token
            of the answer.
        """
        chunk = messages.Chunk(self.request_id, len(self.chunks), text, spans)
        self.chunks.append(chunk)
        self._send(chunk)

    def finish(self, answer: Answer, now_ms: int) -> None:
        """Send the final answer and keep it until it is acknowledged.

        Must be called only once per request.

        Args:
          answer: The final answer.
          now_ms: Current time in Unix milliseconds.
        """
        self.answer = answer
        self.finished_ms = now_ms
        self._send(answer)

    def detach_stream(self, now_ms: int) -> None:
        """Detach the request from its broken stream.

        Args:
          now_ms: Current time in Unix milliseconds.
        """
        self._stream = None
        self.orphaned_ms = now_ms

    def resume(self, peer: stream.Stream, next_index: int) -> None:
        """Send missing chunks, the answer and later messages on a new stream.

        Args:
          peer: Stream that the entry resumes the request on.
          next_index: Index of the first chunk that the entry is missing.
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
