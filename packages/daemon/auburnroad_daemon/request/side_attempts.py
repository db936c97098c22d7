"""All requests that this side knows, by request id.

A request with a known id is never run again. A non-idempotent request that may
have been run is kept for up to UNACKNOWLEDGED_RETENTION_MS after its end, so
that its entry can still ask for its outcome.
"""

from auburnroad_core.wire import messages
from auburnroad_core.wire import stream
from auburnroad_daemon.request import side_attempt

# Time after which a request of a broken stream counts as abandoned.
ORPHAN_TIMEOUT_MS = 5_000
MAX_KNOWN_REQUESTS = 20_000
# An entry whose process was paused may resume a request after its deadline.
UNACKNOWLEDGED_RETENTION_MS = 600_000


class Attempts:
    """Requests by id, from their arrival until their state is dropped."""

    __slots__ = ('_by_id', '_by_stream')

    def __init__(self):
        self._by_id: dict[str, side_attempt.Attempt] = {}
        self._by_stream: dict[stream.Stream, set[str]] = {}

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of requests is reached."""
        return len(self._by_id) >= MAX_KNOWN_REQUESTS

    def __iter__(self):
        return iter(list(self._by_id.values()))

    def __len__(self) -> int:
        return len(self._by_id)

    def find(self, request_id: str) -> side_attempt.Attempt | None:
        """Find a request by its id.

        Args:
          request_id: Id of the request.

        Returns:
          The request, or None if it is unknown.
        """
        return self._by_id.get(request_id)

    def add(self, attempt: side_attempt.Attempt) -> None:
        """Add a new request.

        Args:
          attempt: The request.
        """
        self._by_id[attempt.request_id] = attempt
        self._attach(attempt, attempt.peer)

    def move_to_stream(
        self,
        attempt: side_attempt.Attempt,
        peer: stream.Stream,
        next_index: int,
    ) -> None:
        """Move a request to another stream and resume its answer there.

        Args:
          attempt: The request.
          peer: Stream that the entry resumes the request on.
          next_index: Index of the first chunk that the entry is missing.
        """
        self._detach(attempt)
        self._attach(attempt, peer)
        attempt.resume(peer, next_index)

    def remove(self, attempt: side_attempt.Attempt) -> None:
        """Drop the state of a request.

        Args:
          attempt: The request.
        """
        self._detach(attempt)
        self._by_id.pop(attempt.request_id, None)

    def detach_stream(self, peer: stream.Stream, now_ms: int) -> None:
        """Detach all requests of a broken stream.

        Args:
          peer: The stream.
          now_ms: Current time in Unix milliseconds.
        """
        for request_id in self._by_stream.pop(peer, ()):
            self._by_id[request_id].detach_stream(now_ms)

    def count_unacknowledged(self, now_ms: int) -> int:
        """Count answers of runs that an entry may still acknowledge.

        Args:
          now_ms: Current time in Unix milliseconds.

        Returns:
          Number of unacknowledged answers.
        """
        return sum(
            1
            for attempt in self._by_id.values()
            if isinstance(attempt.answer, messages.Done)
            and not is_orphaned(attempt, now_ms)
        )

    def remove_expired(self, now_ms: int) -> None:
        """Drop finished requests whose retention time has passed.

        Args:
          now_ms: Current time in Unix milliseconds.
        """
        for attempt in self:
            if attempt.answer is not None and may_remove(attempt, now_ms):
                self.remove(attempt)

    def _attach(self, attempt, peer) -> None:
        if peer is not None:
            self._by_stream.setdefault(peer, set()).add(attempt.request_id)

    def _detach(self, attempt) -> None:
        request_ids = self._by_stream.get(attempt.peer)
        if request_ids is not None:
            request_ids.discard(attempt.request_id)


def is_orphaned(attempt: side_attempt.Attempt, now_ms: int) -> bool:
    """Check whether no entry resumed a request within ORPHAN_TIMEOUT_MS.

    Args:
      attempt: The request.
      now_ms: Current time in Unix milliseconds.

    Returns:
      True if the request's stream broke at least ORPHAN_TIMEOUT_MS ago.
    """
    orphaned_ms = attempt.orphaned_ms
    return (
        orphaned_ms is not None and now_ms - orphaned_ms >= ORPHAN_TIMEOUT_MS
    )


def may_remove(attempt: side_attempt.Attempt, now_ms: int) -> bool:
    """Check whether the state of a finished request may be dropped.

    A non-idempotent request that may have been run is kept for
    UNACKNOWLEDGED_RETENTION_MS, since no other component knows whether it was
    run.

    Args:
      attempt: A finished request.
      now_ms: Current time in Unix milliseconds.

    Returns:
      True if the state may be dropped.
    """
    if isinstance(attempt.answer, messages.Refused):
        return now_ms >= attempt.finished_ms + ORPHAN_TIMEOUT_MS
    if attempt.submit.idempotent:
        deadline_ms = attempt.submit.deadline_ms
        return is_orphaned(attempt, now_ms) or now_ms >= deadline_ms
    return now_ms >= attempt.finished_ms + UNACKNOWLEDGED_RETENTION_MS
