"""How often an engine's stream is read.

Each read costs a turn of the loop, whether it brings one token or ten. A
fast stream is left alone for a moment after each read, so that one read
brings several tokens; the first token and the last ones don't wait. An
answer that ends early may wait for one pause.
"""

STREAMED_PAUSE_SECONDS = 0.02
WHOLE_PAUSE_SECONDS = 0.1
# What an early end can cost an answer that nobody watches, as a part of it.
WHOLE_PAUSE_SHARE = 1 / 32
# With fewer tokens a pause it would cost more than it saves.
MIN_TOKENS_PER_PAUSE = 2.0


class Pace:
    """The rate of one stream, and the pause that suits it."""

    __slots__ = ('_max_tokens', '_streamed', '_tokens', '_start', '_read_at')

    def __init__(self, max_tokens: int, streamed: bool):
        self._max_tokens = max_tokens
        self._streamed = streamed
        self._tokens = 0
        self._start: float | None = None
        self._read_at = 0.0

    def compute_pause(self, tokens: int, now: float) -> float:
        """Compute how long to wait before the next read.

        Args:
          tokens: Tokens of the whole answer so far.
          now: Time of the loop in seconds.

        Returns:
          Seconds, zero to read at once.
        """
        new, self._tokens = tokens - self._tokens, tokens
        read_at, self._read_at = self._read_at, now
        if self._start is None:
            self._start = now
            return 0.0
        pause = self._limit_pause(now)
        per_pause = new * pause / max(now - read_at, 1e-6)
        remaining = self._max_tokens - tokens
        if MIN_TOKENS_PER_PAUSE <= per_pause < remaining:
            return pause
        return 0.0

    def _limit_pause(self, now: float) -> float:
        if self._streamed:
            return STREAMED_PAUSE_SECONDS
        age = now - self._start
        return min(WHOLE_PAUSE_SECONDS, age * WHOLE_PAUSE_SHARE)
