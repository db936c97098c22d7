"""State of a replica as seen by this gateway: load, pace and failures."""

from auburnroad_gateway.directory import pace
from auburnroad_gateway.model import call
from auburnroad_gateway.model import registration
from auburnroad_gateway.telemetry import events

# Time after which a reported load is discarded.
LOAD_TTL_SECONDS = 1.0
# After a failure a replica is avoided; the time doubles with each further
# failure up to the maximum.
AVOID_BASE_SECONDS = 0.25
AVOID_MAX_SECONDS = 2.0
# Enough to reach the maximum; a float holds no more than 1023.
MAX_AVOID_DOUBLINGS = 16
# A replica refuses requests while all slots are in use or while it executes an
# order; both are usually short.
REFUSAL_AVOID_SECONDS = 0.1
# Weight of the newest sample in the exponential moving average of the pace.
PACE_SMOOTHING = 0.1
# A gap longer than this multiple of the pace is a pause (weight load,
# preemption) and is not a sample of the pace.
PAUSE_RATIO = 8.0
# Time without runs after which a measured pace expires, since the replica may
# have become faster or slower.
PACE_TTL_SECONDS = 4.0
# Time after which a permit that was not used is void.
PERMIT_SECONDS = 0.5


class Replica:
    """One incarnation of a replica, from one start to the next.

    Attributes:
      registration: Newest registration.
      in_flight: Requests of this gateway that the replica executes.
      tokens: Tokens that these requests will hold in the KV cache shortly.
      final_tokens: Sum of the tokens that each of these requests is expected
        to hold at its end.
      avoid_until: Monotonic time in seconds until which other replicas are
        preferred.
      failures: Failed attempts since the last complete answer.
      versions: Weight version by model, as last stated in a registration, an
        answer or a state report.
      loading_until: Monotonic time in seconds until which an order to load
        weights is assumed to be in progress.
      vacating: Whether runs must move to other replicas because this replica
        is about to load weights.
      leaving: Whether an answer of this incarnation stated that it is about
        to exit. Registrations don't undo this.
      rate_limit: Requests per second that the replica accepts from all
        gateways together, as its last answer states; None for no limit.
      superseded: Whether a process of another release was started under its
        id. Events that come now, or came since, may be of that process: an
        attempt names the id only, and registrations come late.
      pace: Pace of a replica that states its slowness; None for any other.
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
        'leaving',
        'rate_limit',
        'superseded',
        'pace',
        '_permit_until',
        '_pace_ms',
        '_pace_at',
        '_other_load',
        '_other_load_at',
    )

    def __init__(self, initial: registration.Registration):
        self.registration = initial
        self.in_flight = 0
        self.tokens = 0
        self.final_tokens = 0
        self.avoid_until = 0.0
        self.failures = 0
        self.versions = dict(initial.versions)
        self.loading_until = 0.0
        self.vacating = False
        self.leaving = False
        self.rate_limit: float | None = None
        self.superseded = False
        self.pace: pace.PaceEstimate | None = None
        self._permit_until = float('-inf')
        self._pace_ms = 0.0
        self._pace_at = 0.0
        self._other_load = 0
        self._other_load_at = 0.0

    @property
    def id(self) -> str:
        """Id of the replica; a restart may reuse it."""
        return self.registration.id

    @property
    def incarnation(self) -> str:
        """Name of this start of the replica, unique over all starts."""
        return f'{self.registration.id}/{self.registration.started_ms}'

    @property
    def address(self) -> str:
        """Address of the replica as 'IP:port'."""
        return self.registration.address

    @property
    def release(self) -> registration.Release:
        """Software that the replica runs."""
        return self.registration.release

    @property
    def is_ready(self) -> bool:
        """Whether the replica accepts new work."""
        return (
            self.registration.state is registration.ReplicaState.READY
            and not self.leaving
        )

    def count_load(self, now: float) -> int:
        """Count the requests that the replica runs or queues.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Requests of this gateway, plus those of other gateways as last
          reported, unless that report has expired.
        """
        other_load = self._other_load
        if now - self._other_load_at > LOAD_TTL_SECONDS:
            other_load = 0
        return self.in_flight + other_load

    def count_free(self, now: float) -> int:
        """Count the free slots; negative if requests are queued."""
        return self.registration.slots - self.count_load(now)

    def is_loading(self, now: float) -> bool:
        """Tell whether the replica is loading weights or about to load."""
        return self.vacating or now < self.loading_until

    def may_send(self, now: float) -> bool:
        """Tell whether no limit forbids one more attempt now.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Whether the replica names no rate limit, or a permit is in hand.
        """
        return self.rate_limit is None or now < self._permit_until

    def note_permit(self, now: float) -> None:
        """Keep a permit for the next attempt."""
        self._permit_until = now + PERMIT_SECONDS

    def use_permit(self) -> None:
        """Use up the permit in hand, if any, for an attempt."""
        self._permit_until = float('-inf')

    def note_load(self, load: call.Load | None, now: float) -> None:
        """Record the load that an answer reports.

        The answered request must still be counted in in_flight.

        Args:
          load: Reported load, None if the answer has none.
          now: Monotonic time in seconds.
        """
        if load is None:
            return
        if load.slowness is not None:
            if self.pace is None:
                self.pace = pace.PaceEstimate()
            self.pace.note_slowness(load.slowness, now)
        other_load = load.running + load.waiting - self.in_flight
        self._other_load = max(0, other_load)
        self._other_load_at = now

    def note_leaving(self) -> None:
        """Record that an answer states that the replica is about to exit."""
        if not self.leaving:
            self.leaving = True
            events.write(
                'replica_leaving', replica=self.id, address=self.address
            )

    def note_rate_limit(self, limit: float | None) -> None:
        """Record the rate limit that an answer states, None for no limit."""
        if limit != self.rate_limit:
            self.rate_limit = limit
            events.write(
                'replica_limited',
                replica=self.id,
                address=self.address,
                per_second=limit,
            )

    def note_version(self, model: str, version: int | None) -> None:
        """Record the weight version that an answer or report names."""
        if model and version is not None:
            self.versions[model] = version

    def note_end(self) -> None:
        """Record the end of a request that was counted in in_flight."""
        self.in_flight -= 1

    def note_success(self) -> None:
        """Record an attempt with a complete answer."""
        self.failures = 0

    def note_refusal(self, now: float) -> None:
        """Record that the replica refused a request without running it."""
        self.avoid_until = max(self.avoid_until, now + REFUSAL_AVOID_SECONDS)

    def note_failure(self, now: float) -> None:
        """Record a failed attempt that the replica may have caused."""
        doublings = min(self.failures, MAX_AVOID_DOUBLINGS)
        avoid_seconds = min(
            AVOID_MAX_SECONDS, AVOID_BASE_SECONDS * 2**doublings
        )
        self.failures += 1
        self.avoid_until = max(self.avoid_until, now + avoid_seconds)

    def note_pace(self, event_ms: float, now: float) -> None:
        """Record the time between two events of a run, in milliseconds.

        Args:
          event_ms: Milliseconds between the two events.
          now: Monotonic time in seconds.
        """
        current = self._find_average_pace(now)
        self._pace_at = now
        if not current:
            self._pace_ms = event_ms
        elif event_ms < PAUSE_RATIO * current:
            self._pace_ms += PACE_SMOOTHING * (event_ms - current)

    def note_gap(self, gap_ms: float, now: float) -> None:
        """Record the time between two events for the estimate of the pace.

        Unlike the samples of note_pace, these contain no prefill. Pauses for
        loading weights are left out.

        Args:
          gap_ms: Milliseconds between the two events.
          now: Monotonic time in seconds.
        """
        if self.pace is not None and not self.is_loading(now):
            self.pace.note_gap(gap_ms, now)

    def find_pace(self, now: float) -> float:
        """Find the pace of the recent runs.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Moving average of the time between two events of a run, in
          milliseconds; zero if there was no recent sample. For a replica that
          states its slowness, the pace without slow moments.
        """
        if self.pace is not None:
            return self.pace.find_lasting_ms(now)
        return self._find_average_pace(now)

    def _find_average_pace(self, now: float) -> float:
        if now - self._pace_at > PACE_TTL_SECONDS:
            return 0.0
        return self._pace_ms
