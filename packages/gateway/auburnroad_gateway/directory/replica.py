"""A replica as this gateway knows it: its registration, load and conduct."""

from auburnroad_gateway.model import call
from auburnroad_gateway.model import registration

# A replica's own view of its load is taken as true for so long.
LOAD_LIFE_SECONDS = 1.0
# After a failure a replica is passed over, longer with each further one.
AVOID_SECONDS = 0.25
AVOID_MOST_SECONDS = 2.0
# It refused since it was full or busy with an order: soon over.
REFUSED_SECONDS = 0.1
# Weight of the newest sample in the moving average of the pace.
PACE_WEIGHT = 0.1
# A longer gap is a pause (weights, preemption) and says nothing of the pace.
PAUSE_RATIO = 8.0
# Without a run for so long, a replica may have become fast or slow again.
PACE_LIFE_SECONDS = 4.0


class Replica:
    """One start of one replica.

    Attributes:
      registration: Its newest registration.
      in_flight: Requests of this gateway that it works on.
      tokens: Tokens that those of them are about to hold in memory.
      final_tokens: The sum of what each of them is expected to hold when it
        ends.
      avoid_until: It is passed over until then, in monotonic seconds.
      failures: Failed attempts since the last good answer.
      versions: Weight version by model, as last seen from any source.
      loading_until: An order to load weights is taken to be carried out
        until then, in monotonic seconds.
      vacating: Whether its runs are to go on elsewhere, as it is about to
        load weights.
    """

    __slots__ = (
        'registration',
        'in_flight',
        'tokens',
        'final_tokens',
        'avoid_until',
        'failures',
        'versions',
        'loading_until',
        'vacating',
        '_pace_ms',
        '_pace_at',
        '_foreign',
        '_foreign_at',
    )

    def __init__(self, entry: registration.Registration):
        self.registration = entry
        self.in_flight = 0
        self.tokens = 0
        self.final_tokens = 0
        self.avoid_until = 0.0
        self.failures = 0
        self.versions = dict(entry.versions)
        self.loading_until = 0.0
        self.vacating = False
        self._pace_ms = 0.0
        self._pace_at = 0.0
        self._foreign = 0
        self._foreign_at = 0.0

    @property
    def id(self) -> str:
        """Names this start of the replica."""
        return self.registration.id

    @property
    def address(self) -> str:
        """'IP number:port' of the replica."""
        return self.registration.address

    def count_load(self, now: float) -> int:
        """Count the requests that it has, from here and from elsewhere.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Own requests, and those of others as long as they are recent.
        """
        foreign = self._foreign
        if now - self._foreign_at > LOAD_LIFE_SECONDS:
            foreign = 0
        return self.in_flight + foreign

    def count_free(self, now: float) -> int:
        """Count the free slots; below zero when requests wait."""
        return self.registration.slots - self.count_load(now)

    def is_loading(self, now: float) -> bool:
        """Tell whether it is taken to load weights now or in a moment."""
        return self.vacating or now < self.loading_until

    def note_load(self, load: call.Load | None, now: float) -> None:
        """Take the load that an answer tells of.

        The answered request is still counted in in_flight.
        """
        if load is None:
            return
        others = load.running + load.waiting - self.in_flight
        self._foreign = max(0, others)
        self._foreign_at = now

    def note_version(self, model: str, version: int | None) -> None:
        """Take the weight version that an answer tells of."""
        if model and version is not None:
            self.versions[model] = version

    def note_success(self) -> None:
        """An attempt got its whole answer."""
        self.failures = 0

    def note_refusal(self, now: float) -> None:
        """It did not run a request since it was full or busy."""
        self.avoid_until = max(self.avoid_until, now + REFUSED_SECONDS)

    def note_failure(self, now: float) -> None:
        """An attempt failed for a reason that may lie with the replica."""
        pause = min(AVOID_MOST_SECONDS, AVOID_SECONDS * 2**self.failures)
        self.failures += 1
        self.avoid_until = max(self.avoid_until, now + pause)

    def note_pace(self, event_ms: float, now: float) -> None:
        """Take the time between two events of a run, in milliseconds."""
        known = self.find_pace(now)
        self._pace_at = now
        if not known:
            self._pace_ms = event_ms
        elif event_ms < PAUSE_RATIO * known:
            self._pace_ms += PACE_WEIGHT * (event_ms - known)

    def find_pace(self, now: float) -> float:
        """Find the recent pace.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Moving average of the time between two events of a run, in
          milliseconds; zero if there was none lately.
        """
        if now - self._pace_at > PACE_LIFE_SECONDS:
            return 0.0
        return self._pace_ms
