"""Decides which requests crash the replicas that run them, without I/O.

When a replica ends, each request that it was running is recorded with it,
although at most one of them is the cause. The cause differs from the others in
that it is never answered and that more replicas end under it. A crash
therefore counts against a request only if no other request ran on that replica
under which as many replicas have ended. A request against which nothing counts
may be sent again, once for each client attempt: either it is answered, or more
replicas end under it than under the others.

A request under which a replica has ended may take down a whole service before
it is known. It is therefore never sent to the last half of the replicas that
are up, but waits until those that ended are back.
"""

import collections
import enum

import msgspec

# Replicas that end under a request before it is suspected.
SUSPECT_CRASHES = 2
# Crashes that count against a request before it is refused.
REFUSED_CRASHES = 3
# Replicas that end under a request before it is refused whatever ran beside
# it, since requests may always come in pairs.
MAX_CRASHES = 5
# Time from a record until it counts. Until then, other gateways may report
# further requests that the replica was running.
SETTLE_SECONDS = 0.5
# Reports of one end of a replica are less far apart, and its next start takes
# longer to end. The name alone does not tell starts apart, since it is taken
# from a registration that may be older than the start.
SAME_END_SECONDS = 1.0
# Time after which a replica that ended and is not back is taken for removed.
RESTORE_SECONDS = 30.0
# Sizes of the memory; the oldest entries are forgotten first.
MAX_RECORDED = 2000
MAX_ANSWERED = 10_000


class Verdict(enum.Enum):
    """Whether a request may be sent to replicas.

    Attributes:
      FREE: It may be sent as its route allows.
      SUSPECT: It may be sent once for each client attempt.
      REFUSED: It crashes replicas and must not be sent.
    """

    FREE = 'free'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


class Crash(msgspec.Struct, frozen=True):
    """The end of one start of a replica.

    Attributes:
      incarnation: Name of the start by the last registration that was read.
      ended_at: Unix time in seconds at which the end was found, by the clock
        of the gateway that found it.
    """

    incarnation: str
    ended_at: float

    @property
    def replica_id(self) -> str:
        """Id of the replica."""
        return self.incarnation.rpartition('/')[0]

    def is_same(self, other: 'Crash') -> bool:
        """Tell whether two reports are of the same end."""
        return (
            self.incarnation == other.incarnation
            and abs(self.ended_at - other.ended_at) <= SAME_END_SECONDS
        )


class _Record:
    """Replicas that ended under one request.

    Attributes:
      counts_at: Monotonic time in seconds from which a crash counts, by the
        crash.
      forget_at: Monotonic time in seconds at which the record is forgotten.
    """

    __slots__ = ('counts_at', 'forget_at')

    def __init__(self):
        self.counts_at: dict[Crash, float] = {}
        self.forget_at = 0.0

    def has_same(self, crash: Crash) -> bool:
        """Tell whether an end of a replica is recorded."""
        return any(crash.is_same(known) for known in self.counts_at)


class CrashRecords:
    """Records of crashes by the fingerprint of the request that was run."""

    __slots__ = ('_records', '_answered')

    def __init__(self):
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._answered: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def note_crash(
        self, fingerprint: str, crash: Crash, now: float, forget_at: float
    ) -> bool:
        """Record that a replica ended while it ran a request.

        Args:
          fingerprint: Fingerprint of the request.
          crash: End of the replica.
          now: Monotonic time in seconds.
          forget_at: The same, from which this is to be forgotten.

        Returns:
          Whether this was unknown, and the request was never answered.
        """
        self._forget_old(now)
        if fingerprint in self._answered:
            return False
        record = self._records.setdefault(fingerprint, _Record())
        record.forget_at = max(record.forget_at, forget_at)
        if record.has_same(crash):
            return False
        if len(record.counts_at) < MAX_CRASHES:
            record.counts_at[crash] = now + SETTLE_SECONDS
        if len(self._records) > MAX_RECORDED:
            self._records.popitem(last=False)
        return True

    def is_answered(self, fingerprint: str) -> bool:
        """Tell whether a request is known to have been answered."""
        return fingerprint in self._answered

    def note_answer(self, fingerprint: str) -> bool:
        """Record that a replica has answered a request, and did not end.

        Returns:
          Whether crashes had been recorded for the request.
        """
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        return self._records.pop(fingerprint, None) is not None

    def find_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Find whether a request may be sent.

        Args:
          fingerprint: Fingerprint of the request.
          now: Monotonic time in seconds.
        """
        if not self.has_crashes(fingerprint, now):
            return Verdict.FREE
        record = self._records[fingerprint]
        settled = [
            crash
            for crash, counts_at in record.counts_at.items()
            if counts_at <= now
        ]
        if len(settled) >= MAX_CRASHES:
            return Verdict.REFUSED
        if len(settled) >= REFUSED_CRASHES:
            others = self._list_possible_causes(record, now)
            unexplained = [
                crash
                for crash in settled
                if not any(other.has_same(crash) for other in others)
            ]
            if len(unexplained) >= REFUSED_CRASHES:
                return Verdict.REFUSED
        if len(record.counts_at) >= SUSPECT_CRASHES:
            return Verdict.SUSPECT
        return Verdict.FREE

    def has_crashes(self, fingerprint: str, now: float) -> bool:
        """Tell whether a replica is known to have ended under a request."""
        record = self._records.get(fingerprint)
        return record is not None and now < record.forget_at

    def may_risk_replica(
        self, fingerprint: str, up: set[str], running: int, now: float
    ) -> bool:
        """Tell whether a request may be sent to one more replica.

        Args:
          fingerprint: Fingerprint of the request.
          up: Ids of the replicas of its service that are up.
          running: Runs of the request that are in flight.
          now: Monotonic time in seconds.

        Returns:
          Whether at most half of the replicas of the service, and at least
          one, will have ended under the request if each run ends one.
          Replicas that are up again do not count.
        """
        if not self.has_crashes(fingerprint, now):
            return True
        missing = {
            crash.replica_id
            for crash, counts_at in self._records[
                fingerprint
            ].counts_at.items()
            if now < counts_at - SETTLE_SECONDS + RESTORE_SECONDS
        } - up
        limit = max(1, (len(up) + len(missing)) // 2)
        return len(missing) + running < limit

    def find_forget_at(self, fingerprint: str) -> float:
        """Find when the crashes of a request are forgotten, zero if none."""
        record = self._records.get(fingerprint)
        return 0.0 if record is None else record.forget_at

    def _list_possible_causes(
        self, record: _Record, now: float
    ) -> list[_Record]:
        """List the other requests under which as many replicas ended."""
        return [
            other
            for other in self._records.values()
            if other is not record
            and other.forget_at > now
            and len(other.counts_at) >= len(record.counts_at)
        ]

    def _forget_old(self, now: float) -> None:
        for fingerprint in [
            fingerprint
            for fingerprint, record in self._records.items()
            if record.forget_at <= now
        ]:
            del self._records[fingerprint]
