"""Circuit breaker of a target: failures eject it, probes readmit it.

A readmitted target is half-open: it gets one request at a time until one
succeeds. This limits the harm done by a target that accepts connections but
fails its requests.
"""

FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 10_000
PROBE_INTERVAL_MS = 2_000
FAILED_PROBES_TO_EJECT = 2
MISSED_DEADLINES_TO_EJECT = 3


class TargetHealth:
    """Health of one target, derived from probes and requests."""

    __slots__ = (
        '_up',
        '_failures',
        '_failed_probes',
        '_missed_deadlines',
        '_half_open',
        '_probe_ms',
    )

    def __init__(self):
        self._up = False
        self._failures = 0
        self._failed_probes = 0
        self._missed_deadlines = 0
        self._half_open = False
        self._probe_ms = 0

    @property
    def up(self) -> bool:
        """Whether the target may get requests."""
        return self._up

    @property
    def half_open(self) -> bool:
        """Whether the target gets one request at a time until one succeeds."""
        return self._half_open

    @property
    def probe_ms(self) -> int:
        """Time of the next probe in Unix milliseconds."""
        return self._probe_ms

    def record_success(self) -> None:
        """Record that a request was answered."""
        self._failures = 0
        self._missed_deadlines = 0
        self._half_open = False

    def record_missed_deadline(self, now_ms: int) -> None:
        """Record that a request had no answer by its deadline.

        A single missed deadline may only mean that the deadline was short,
        so the target is ejected after MISSED_DEADLINES_TO_EJECT in a row.

        Args:
          now_ms: Current time in Unix milliseconds.
        """
        self._missed_deadlines += 1
        if self._missed_deadlines >= MISSED_DEADLINES_TO_EJECT:
            self._missed_deadlines = 0
            self.record_failure(now_ms)

    def record_failure(self, now_ms: int) -> None:
        """Record a request failure that the target caused, and eject it.

        Args:
          now_ms: Current time in Unix milliseconds.
        """
        if not self._up:
            # All requests that fail in one crash count as a single failure.
            return
        self._up = False
        backoff_ms = FIRST_EJECTION_MS << min(self._failures, 10)
        self._failures += 1
        self._probe_ms = now_ms + min(backoff_ms, MAX_EJECTION_MS)

    def record_probe(self, succeeded: bool, now_ms: int) -> None:
        """Record the result of a probe.

        Args:
          succeeded: Whether the target answered.
          now_ms: Current time in Unix milliseconds.
        """
        if succeeded:
            self._failed_probes = 0
            self._half_open = self._half_open or self._failures > 0
            self._up = True
            self._probe_ms = now_ms + PROBE_INTERVAL_MS
            return
        self._failed_probes += 1
        if not self._up or self._failed_probes >= FAILED_PROBES_TO_EJECT:
            self._up = False
            self._probe_ms = now_ms + FIRST_EJECTION_MS
        else:
            # A single failed probe may be a late answer: probe again at once.
            self._probe_ms = now_ms
