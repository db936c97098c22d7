"""Events of the prefix cache, published late and with gaps."""

import collections
import random

import msgspec

from auburnroad_standins.engine import options

KEPT_EVENTS = 10_000


class CacheEvent(msgspec.Struct):
    """A change of the prefix cache.

    Attributes:
      number: Number of the event from 0; a gap shows in it.
      kind: 'stored', 'removed', or 'cleared' for all blocks of a model.
      model: Model's name.
      blocks: Digests of the blocks; empty for 'cleared'.
      at_ms: Unix milliseconds of the change.
    """

    number: int
    kind: str
    model: str
    blocks: list[str]
    at_ms: int


class EventLog:
    """The newest events, but for those that got lost."""

    __slots__ = ('_options', '_random', '_events', '_next')

    def __init__(self, engine_options: options.EngineOptions):
        self._options = engine_options
        self._random = random.Random(engine_options.seed)
        self._events = collections.deque(maxlen=KEPT_EVENTS)
        self._next = 0

    def publish(
        self, kind: str, model: str, blocks: list[str], now_ms: int
    ) -> None:
        """Publish a change, unless it gets lost.

        Args:
          kind: See CacheEvent.
          model: Model's name.
          blocks: Digests of the blocks.
          now_ms: Unix milliseconds.
        """
        number = self._next
        self._next += 1
        if self._random.random() >= self._options.event_gap_ratio:
            event = CacheEvent(number, kind, model, blocks, now_ms)
            self._events.append(event)

    def read(self, from_number: int, now_ms: int) -> list[CacheEvent]:
        """Read events that are old enough to be shown.

        Args:
          from_number: Number of the first one wanted.
          now_ms: Unix milliseconds.

        Returns:
          The events in order.
        """
        until_ms = now_ms - self._options.event_lag_ms
        return [
            event
            for event in self._events
            if event.number >= from_number and event.at_ms <= until_ms
        ]
