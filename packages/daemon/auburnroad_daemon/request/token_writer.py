"""Buffers the tokens of one answer and sends several in one message.

One message per token would use too much processor time of the entry and the
side. The first token is sent without delay. Later tokens are sent together,
after FLUSH_INTERVAL_SECONDS or FLUSH_CHARACTERS characters.
"""

import asyncio

from auburnroad_core import types
from auburnroad_daemon.connection import engine
from auburnroad_daemon.request import side_attempt

FLUSH_INTERVAL_SECONDS = 0.02
FLUSH_CHARACTERS = 4096


class TokenWriter:
    """Collects the text and the version spans of a model's answer."""

    __slots__ = (
        '_attempt',
        '_texts',
        '_pending_spans',
        '_timer',
        '_flush_at',
        '_pending_characters',
        'spans',
    )

    def __init__(self, attempt: side_attempt.Attempt):
        self._attempt = attempt
        self._texts: list[str] = []
        self._pending_spans: list[types.VersionSpan] = []
        self._timer: asyncio.TimerHandle | None = None
        self._flush_at = 0.0
        self._pending_characters = 0
        self.spans: list[types.VersionSpan] = []

    @property
    def tokens(self) -> int:
        """Number of tokens of the answer so far."""
        return self.spans[-1].end if self.spans else 0

    def add(self, event: engine.Tokens) -> None:
        """Add tokens to the answer.

        Args:
          event: Tokens that the engine produced.
        """
        start = self.tokens
        if event.tokens > 0:
            types.append_span(self.spans, event.version, event.tokens)
            self._extend_pending(event.version, start)
        self._texts.append(event.text)
        self._pending_characters += len(event.text)
        if not self._attempt.submit.streamed:
            return
        if self._pending_characters >= FLUSH_CHARACTERS:
            self.flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            # For the first token or after a pause in the stream, _flush_at
            # has passed, so the flush runs in the next loop iteration.
            self._timer = loop.call_at(self._flush_at, self.flush)

    def flush(self) -> None:
        """Send the buffered tokens if the answer is streamed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._attempt.submit.streamed or not self._texts:
            return
        text = ''.join(self._texts)
        if text or self._pending_spans:
            loop = asyncio.get_running_loop()
            self._flush_at = loop.time() + FLUSH_INTERVAL_SECONDS
            self._attempt.send_chunk(text, self._pending_spans)
        self._texts = []
        self._pending_characters = 0
        self._pending_spans = []

    def close(self) -> str:
        """Send the remaining buffered tokens.

        Returns:
          The complete text if the answer is not streamed, otherwise empty.
        """
        self.flush()
        return ''.join(self._texts)

    def _extend_pending(self, version: int, start: int) -> None:
        pending = self._pending_spans
        if pending and pending[-1].version == version:
            start = pending.pop().start
        pending.append(types.VersionSpan(version, start, self.tokens))
