"""All requests that this side knows, by id.

An id that is known never runs again, and an id that may have run is kept for
long, so that its entry hears what became of it.
"""

from auburnroad_core.wire import messages
from auburnroad_core.wire import stream
from auburnroad_daemon.request import side_attempt

ORPHAN_MS = 5_000
MAX_ATTEMPTS = 20_000
# An entry that was paused may ask after the deadline.
UNACKNOWLEDGED_KEEP_MS = 600_000


class Attempts:
    """The requests from their arrival until they may be forgotten."""

    __slots__ = ('_by_id', '_by_stream')

    def __init__(self):
        self._by_id: dict[str, side_attempt.Attempt] = {}
        self._by_stream: dict[stream.Stream, set[str]] = {}

    @property
    def full(self) -> bool:
        """Whether no further request can be kept."""
        return len(self._by_id) >= MAX_ATTEMPTS

    def __iter__(self):
        return iter(list(self._by_id.values()))

    def __len__(self) -> int:
        return len(self._by_id)

    def find(self, request_id: str) -> side_attempt.Attempt | None:
        """Find a request.

        Args:
          request_id: Its id.

        Returns:
          The request, or None when it is unknown.
        """
        return self._by_id.get(request_id)

    def add(self, attempt: side_attempt.Attempt) -> None:
        """Take a new request in.

        Args:
          attempt: The request.
        """
        self._by_id[attempt.request_id] = attempt
        self._attach(attempt, attempt.peer)

    def move(
        self,
        attempt: side_attempt.Attempt,
        peer: stream.Stream,
        next_index: int,
    ) -> None:
        """Answer to another stream from now on.

        Args:
          attempt: The request.
          peer: The stream that asked.
          next_index: Number of the first chunk that is missing there.
        """
        self._detach(attempt)
        self._attach(attempt, peer)
        attempt.resume(peer, next_index)

    def forget(self, attempt: side_attempt.Attempt) -> None:
        """Drop a request.

        Args:
          attempt: The request.
        """
        self._detach(attempt)
        self._by_id.pop(attempt.request_id, None)

    def lose_stream(self, peer: stream.Stream, now_ms: int) -> None:
        """Note that a stream has died with all its requests on it.

        Args:
          peer: The stream.
          now_ms: Unix milliseconds.
        """
        for request_id in self._by_stream.pop(peer, ()):
            self._by_id[request_id].lose_stream(now_ms)

    def count_unacknowledged(self, now_ms: int) -> int:
        """Count finished answers that an entry may still take.

        Args:
          now_ms: Unix milliseconds.

        Returns:
          How many there are.
        """
        return sum(
            1
            for attempt in self._by_id.values()
            if isinstance(attempt.answer, messages.Done)
            and not is_orphan(attempt, now_ms)
        )

    def forget_old(self, now_ms: int) -> None:
        """Drop finished requests that nobody can ask for any more.

        Args:
          now_ms: Unix milliseconds.
        """
        for attempt in self:
            if attempt.answer is not None and is_old(attempt, now_ms):
                self.forget(attempt)

    def _attach(self, attempt, peer) -> None:
        if peer is not None:
            self._by_stream.setdefault(peer, set()).add(attempt.request_id)

    def _detach(self, attempt) -> None:
        known = self._by_stream.get(attempt.peer)
        if known is not None:
            known.discard(attempt.request_id)


def is_orphan(attempt: side_attempt.Attempt, now_ms: int) -> bool:
    """Tell whether nobody came back for a request in time.

    Args:
      attempt: The request.
      now_ms: Unix milliseconds.

    Returns:
      True when its stream died too long ago.
    """
    orphaned_ms = attempt.orphaned_ms
    return orphaned_ms is not None and now_ms - orphaned_ms >= ORPHAN_MS


def is_old(attempt: side_attempt.Attempt, now_ms: int) -> bool:
    """Tell whether a finished request may be forgotten.

    A call that may not be repeated is kept for much longer, since nothing
    else can tell whether it was run.

    Args:
      attempt: A finished request.
      now_ms: Unix milliseconds.

    Returns:
      True when it may be forgotten.
    """
    if isinstance(attempt.answer, messages.Refused):
        return now_ms >= attempt.finished_ms + ORPHAN_MS
    if attempt.submit.idempotent:
        deadline_ms = attempt.submit.deadline_ms
        return is_orphan(attempt, now_ms) or now_ms >= deadline_ms
    return now_ms >= attempt.finished_ms + UNACKNOWLEDGED_KEEP_MS
