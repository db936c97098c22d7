"""Collects the tokens of one answer and sends them several at a time.

A message for each token would cost entry and side more processor time than
the token is worth. The first token leaves at once, later ones together.
"""

import asyncio

from auburnroad_core import types
from auburnroad_daemon.connection import engine
from auburnroad_daemon.request import side_attempt

FLUSH_SECONDS = 0.02
FLUSH_CHARACTERS = 4096


class TokenWriter:
    """The answer of a model as it grows."""

    __slots__ = (
        '_attempt',
        '_text',
        '_pending_spans',
        '_timer',
        '_flush_at',
        '_size',
        'spans',
    )

    def __init__(self, attempt: side_attempt.Attempt):
        self._attempt = attempt
        self._text: list[str] = []
        self._pending_spans: list[types.VersionSpan] = []
        self._timer: asyncio.TimerHandle | None = None
        self._flush_at = 0.0
        self._size = 0
        self.spans: list[types.VersionSpan] = []

    @property
    def tokens(self) -> int:
        """How many tokens the answer has so far."""
        return self.spans[-1].end if self.spans else 0

    def add(self, event: engine.Tokens) -> None:
        """Take tokens in.

        Args:
          event: What the engine has just produced.
        """
        start = self.tokens
        if event.tokens > 0:
            types.append_span(self.spans, event.version, event.tokens)
            self._extend_pending(event.version, start)
        self._text.append(event.text)
        self._size += len(event.text)
        if not self._attempt.submit.streamed:
            return
        if self._size >= FLUSH_CHARACTERS:
            self.flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            # In the past for a first token or after a pause.
            self._timer = loop.call_at(self._flush_at, self.flush)

    def flush(self) -> None:
        """Send what has been collected, if the answer is streamed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._attempt.submit.streamed or not self._text:
            return
        text = ''.join(self._text)
        if text or self._pending_spans:
            loop = asyncio.get_running_loop()
            self._flush_at = loop.time() + FLUSH_SECONDS
            self._attempt.send_chunk(text, self._pending_spans)
        self._text = []
        self._size = 0
        self._pending_spans = []

    def close(self) -> str:
        """Send what is left.

        Returns:
          The whole text; empty when it was streamed.
        """
        self.flush()
        return ''.join(self._text)

    def _extend_pending(self, version: int, start: int) -> None:
        pending = self._pending_spans
        if pending and pending[-1].version == version:
            start = pending.pop().start
        pending.append(types.VersionSpan(version, start, self.tokens))
