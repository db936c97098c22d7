"""Events of the prefix cache, published with a delay and with gaps."""

import collections
import random

import msgspec

from auburnroad_standins.engine import options

MAX_KEPT_EVENTS = 10_000


class CacheEvent(msgspec.Struct):
    """A change of the prefix cache.

    Attributes:
      number: Sequence number from 0; a missing number is a lost event.
      kind: 'stored', 'removed', or 'cleared' for all blocks of a model.
      model: Name of the model.
      blocks: Digests of the blocks; empty for 'cleared'.
      at_ms: Time of the change in Unix milliseconds.
    """

    number: int
    kind: str
    model: str
    blocks: list[str]
    at_ms: int


class EventLog:
    """The newest cache events without those that were lost on purpose."""

    __slots__ = ('_options', '_random', '_events', '_next')

    def __init__(self, engine_options: options.EngineOptions):
        self._options = engine_options
        self._random = random.Random(engine_options.seed)
        self._events = collections.deque(maxlen=MAX_KEPT_EVENTS)
        self._next = 0

    def publish(
        self, kind: str, model: str, blocks: list[str], now_ms: int
    ) -> None:
        """Publish a change, or lose it with the configured probability.

        Args:
          kind: See CacheEvent.
          model: Name of the model.
          blocks: Digests of the blocks.
          now_ms: Current time in Unix milliseconds.
        """
        number = self._next
        self._next += 1
        if self._random.random() >= self._options.event_gap_ratio:
            event = CacheEvent(number, kind, model, blocks, now_ms)
            self._events.append(event)

    def read(self, from_number: int, now_ms: int) -> list[CacheEvent]:
        """Read the events that are older than the configured lag.

        Args:
          from_number: Sequence number of the first event to return.
          now_ms: Current time in Unix milliseconds.

        Returns:
          The events in order of their numbers.
        """
        until_ms = now_ms - self._options.event_lag_ms
        return [
            event
            for event in self._events
            if event.number >= from_number and event.at_ms <= until_ms
        ]
