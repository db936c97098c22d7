"""Shares the paces of scaled services with the gateway that orders replicas.

Only the gateway that runs the batches of a service measures the time between
two events of its replicas, and another one may hold the duty of ordering
replicas.
"""

from auburnroad_gateway.members import facts
from auburnroad_gateway.telemetry import events

# A pace is shared again when it has changed by more than this share, or when
# this time has passed.
CHANGE_SHARE = 0.1
MIN_INTERVAL_MS = 3_000
MAX_INTERVAL_MS = 15_000
# Time for which a shared pace counts: longer than the pauses between batches.
# Events come at least once in this time, whatever the replica.
MAX_PACE_MS = 60_000.0
LIFE_MS = 60_000


class SharedPaces:
    """Paces of the replicas of each service, as gateways measured them."""

    __slots__ = ('_facts', '_known', '_shared')

    def __init__(self, shared_facts: facts.SharedFacts):
        self._facts = shared_facts
        # Newest values and their deadlines in Unix milliseconds, by service.
        self._known: dict[str, tuple[float, int]] = {}
        # Last shared value and its time in Unix milliseconds, by service.
        self._shared: dict[str, tuple[float, int]] = {}
        shared_facts.on_fact(facts.FactKind.PACE, self._handle)

    def note(self, service: str, pace_ms: float, now_ms: int) -> None:
        """Share a pace that this gateway measured.

        Args:
          service: Name of the service.
          pace_ms: Median pace of its replicas; zero if none was measured.
          now_ms: Time in Unix milliseconds.
        """
        if not pace_ms:
            return
        value, at_ms = self._shared.get(service, (0.0, 0))
        is_changed = abs(pace_ms - value) > CHANGE_SHARE * value
        interval_ms = MIN_INTERVAL_MS if is_changed else MAX_INTERVAL_MS
        if now_ms < at_ms + interval_ms:
            return
        self._shared[service] = (pace_ms, now_ms)
        self._facts.share(
            facts.Fact(
                facts.FactKind.PACE,
                service,
                f'{pace_ms:.1f}',
                now_ms + LIFE_MS,
            )
        )

    def find(self, service: str, now_ms: int) -> float:
        """Find the pace of a service.

        Args:
          service: Name of the service.
          now_ms: Time in Unix milliseconds.

        Returns:
          The newest pace that any gateway has shared, in milliseconds; zero
          if none has.
        """
        value, until_ms = self._known.get(service, (0.0, 0))
        return value if now_ms < until_ms else 0.0

    def _handle(self, fact: facts.Fact) -> None:
        try:
            value = float(fact.value)
        except ValueError:
            value = 0.0
        if not 0.0 < value <= MAX_PACE_MS:
            events.write_invalid_record(
                facts.TOPIC, fact.key, ValueError(f'pace {fact.value!a:.40}')
            )
            return
        known = self._known.get(fact.key)
        if known is None or fact.until_ms >= known[1]:
            self._known[fact.key] = (value, fact.until_ms)
