"""Paces the reads of an engine's token stream.

Each read costs one iteration of the event loop, whether it returns 1 token or
10. The reader of a fast stream pauses after each read, so that the next
read returns several tokens. The first and the last tokens are read without a
pause. An answer that ends before its maximum number of tokens may be delayed
by one pause.
"""

STREAMED_PAUSE_SECONDS = 0.02
UNSTREAMED_PAUSE_SECONDS = 0.1
# Bounds the delay of an unstreamed answer that ends early, relative to the
# age of the answer.
UNSTREAMED_PAUSE_FRACTION = 1 / 32
# With fewer tokens per pause, a pause costs more than the reads that it saves.
MIN_TOKENS_PER_PAUSE = 2.0


class ReadPacer:
    """Computes the pause after each read from the rate of one stream."""

    __slots__ = (
        '_max_tokens',
        '_streamed',
        '_tokens',
        '_first_read_at',
        '_last_read_at',
    )

    def __init__(self, max_tokens: int, streamed: bool):
        self._max_tokens = max_tokens
        self._streamed = streamed
        self._tokens = 0
        self._first_read_at: float | None = None
        self._last_read_at = 0.0

    def compute_pause(self, tokens: int, now: float) -> float:
        """Compute the pause before the next read.

        Args:
          tokens: Number of tokens of the answer read so far.
          now: Time of the event loop in seconds.

        Returns:
          Pause in seconds; zero to read immediately.
        """
        new_tokens, self._tokens = tokens - self._tokens, tokens
        read_at, self._last_read_at = self._last_read_at, now
        if self._first_read_at is None:
            self._first_read_at = now
            return 0.0
        pause = self._get_max_pause(now)
        tokens_per_pause = new_tokens * pause / max(now - read_at, 1e-6)
        remaining = self._max_tokens - tokens
        if MIN_TOKENS_PER_PAUSE <= tokens_per_pause < remaining:
            return pause
        return 0.0

    def _get_max_pause(self, now: float) -> float:
        if self._streamed:
            return STREAMED_PAUSE_SECONDS
        age = now - self._first_read_at
        return min(UNSTREAMED_PAUSE_SECONDS, age * UNSTREAMED_PAUSE_FRACTION)
