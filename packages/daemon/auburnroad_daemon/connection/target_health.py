"""Whether a target takes work: ejected after failures, taken back by probes.

A target that was taken back gets a single request until one has succeeded,
so that one which accepts connections and then fails harms little.
"""

FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 10_000
PROBE_INTERVAL_MS = 2_000
FAILED_PROBES_TO_EJECT = 2
MISSED_DEADLINES_TO_EJECT = 3


class TargetHealth:
    """What probes and requests have shown of one target."""

    __slots__ = (
        '_up',
        '_failures',
        '_missed_probes',
        '_missed_deadlines',
        '_on_trial',
        '_probe_ms',
    )

    def __init__(self):
        self._up = False
        self._failures = 0
        self._missed_probes = 0
        self._missed_deadlines = 0
        self._on_trial = False
        self._probe_ms = 0

    @property
    def up(self) -> bool:
        """Whether the target takes work."""
        return self._up

    @property
    def on_trial(self) -> bool:
        """Whether it takes just one request until one has succeeded."""
        return self._on_trial

    @property
    def probe_ms(self) -> int:
        """Unix milliseconds of the next probe."""
        return self._probe_ms

    def record_success(self) -> None:
        """Note that a request was answered."""
        self._failures = 0
        self._missed_deadlines = 0
        self._on_trial = False

    def record_missed_deadline(self, now_ms: int) -> None:
        """Note that a request had no answer by its deadline.

        A single one may be the fault of a short deadline.

        Args:
          now_ms: Unix milliseconds.
        """
        self._missed_deadlines += 1
        if self._missed_deadlines >= MISSED_DEADLINES_TO_EJECT:
            self._missed_deadlines = 0
            self.record_failure(now_ms)

    def record_failure(self, now_ms: int) -> None:
        """Note that a request failed by the target's fault.

        Args:
          now_ms: Unix milliseconds.
        """
        if not self._up:
            # All that ran when the target died is one failure, not many.
            return
        self._up = False
        backoff_ms = FIRST_EJECTION_MS << min(self._failures, 10)
        self._failures += 1
        self._probe_ms = now_ms + min(backoff_ms, MAX_EJECTION_MS)

    def record_probe(self, succeeded: bool, now_ms: int) -> None:
        """Note what a probe has shown.

        Args:
          succeeded: Whether the target answered.
          now_ms: Unix milliseconds.
        """
        if succeeded:
            self._missed_probes = 0
            self._on_trial = self._on_trial or self._failures > 0
            self._up = True
            self._probe_ms = now_ms + PROBE_INTERVAL_MS
            return
        self._missed_probes += 1
        if not self._up or self._missed_probes >= FAILED_PROBES_TO_EJECT:
            self._up = False
            self._probe_ms = now_ms + FIRST_EJECTION_MS
        else:
            # A single late answer is no proof: ask again at once.
            self._probe_ms = now_ms
