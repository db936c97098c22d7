"""Estimates how fast a replica generates, at present and lastingly.

Replicas may share their hosts with other programs: some hosts are slower for
good, and each is much slower for some hundred milliseconds at a time. The two
call for opposite decisions. A long text should leave a replica that is slower
for good, and a short slow moment is over by the time most runs would go on
elsewhere. A single average can't tell them apart.
"""

import collections

# Gaps within this time determine the lasting pace. It is several times as long
# as a slow moment, so that the median gap isn't one of a slow moment.
WINDOW_SECONDS = 2.0
# Gaps that span less time may all be of one slow moment.
MIN_SPAN_SECONDS = 1.0
MAX_GAPS = 256
# Interval at which the median is found again: replicas with many runs have
# more than a hundred gaps a second.
UPDATE_SECONDS = 0.1
# Ratio of a gap to the lasting pace from which the replica is slow at present.
# Events that leave in pairs, and prefills of other requests, make gaps of up
# to 1.9 times the mean.
SLOW_RATIO = 2.0
# Time after which a slow or normal gap tells nothing about the present.
PRESENT_SECONDS = 0.3
# Time from the first statement until the lowest one counts as lasting.
SETTLE_SECONDS = 1.0
# Time without gaps after which the lasting pace is forgotten.
LASTING_TTL_SECONDS = 20.0


class PaceEstimate:
    """Pace of one replica that states its slowness."""

    __slots__ = (
        '_least_slowness',
        '_settled_at',
        '_gaps',
        '_lasting_ms',
        '_lasting_until',
        '_update_at',
        '_present_ratio',
        '_present_until',
    )

    def __init__(self):
        self._least_slowness = float('inf')
        self._settled_at = float('inf')
        # Time and length of each gap.
        self._gaps: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_GAPS
        )
        self._lasting_ms = 0.0
        self._lasting_until = float('-inf')
        self._update_at = float('-inf')
        self._present_ratio = 1.0
        self._present_until = float('-inf')

    def find_lasting_slowness(self, now: float) -> float:
        """Find the share of the replica's slowness that lasts.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Time that work takes relative to the usual; zero if it is unknown,
          as all statements may have come from one slow moment.
        """
        return self._least_slowness if now >= self._settled_at else 0.0

    def note_slowness(self, slowness: float, now: float) -> None:
        """Record the slowness that an answer states.

        Args:
          slowness: Time that work takes relative to the usual; 1.0 is usual.
          now: Monotonic time in seconds.
        """
        if self._settled_at == float('inf'):
            self._settled_at = now + SETTLE_SECONDS
        self._least_slowness = min(self._least_slowness, slowness)
        self._present_ratio = slowness / self._least_slowness
        self._present_until = now + PRESENT_SECONDS

    def note_gap(self, gap_ms: float, now: float) -> None:
        """Record the time between two events of a run.

        Args:
          gap_ms: Milliseconds between the two events.
          now: Monotonic time in seconds.
        """
        self._gaps.append((now, gap_ms))
        if now >= self._update_at:
            self._update_lasting(now)
        if self._lasting_ms:
            self._present_ratio = gap_ms / self._lasting_ms
            self._present_until = now + PRESENT_SECONDS

    def find_lasting_ms(self, now: float) -> float:
        """Find the time between two events, without slow moments.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Milliseconds; zero if it is unknown.
        """
        return self._lasting_ms if now < self._lasting_until else 0.0

    def is_slow(self, now: float) -> bool:
        """Tell whether the replica is slower at present than lastingly."""
        return now < self._present_until and self._present_ratio >= SLOW_RATIO

    def is_normal(self, now: float) -> bool:
        """Tell whether the replica is known not to be slow at present."""
        return now < self._present_until and self._present_ratio < SLOW_RATIO

    def _update_lasting(self, now: float) -> None:
        while self._gaps and self._gaps[0][0] < now - WINDOW_SECONDS:
            self._gaps.popleft()
        if now - self._gaps[0][0] < MIN_SPAN_SECONDS:
            if len(self._gaps) == MAX_GAPS:
                # Many runs fill the buffer in less time than needed; half of
                # the gaps tell the median as well.
                self._drop_every_other()
            return
        self._update_at = now + UPDATE_SECONDS
        ordered = sorted(gap_ms for _, gap_ms in self._gaps)
        self._lasting_ms = ordered[len(ordered) // 2]
        self._lasting_until = now + LASTING_TTL_SECONDS

    def _drop_every_other(self) -> None:
        kept = list(self._gaps)[::2]
        self._gaps.clear()
        self._gaps.extend(kept)
