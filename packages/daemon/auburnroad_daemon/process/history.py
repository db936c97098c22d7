"""What happened to recent requests, for `auburnroad explain`."""

import collections

import msgspec

MAX_IDS = 4096
MAX_EVENTS_PER_ID = 64


class Event(msgspec.Struct, frozen=True):
    """One thing that happened to a request or a sample.

    Attributes:
      at_ms: Unix milliseconds.
      event: What happened, such as 'submitted' or 'done'.
      detail: What else is known, such as the replica.
    """

    at_ms: int
    event: str
    detail: str = ''


class History:
    """The events of the ids seen last; older ids are forgotten."""

    __slots__ = ('_events', '_max_ids')

    def __init__(self, max_ids: int = MAX_IDS):
        self._events: collections.OrderedDict[str, list[Event]] = (
            collections.OrderedDict()
        )
        self._max_ids = max_ids

    def add(self, id_: str, at_ms: int, event: str, detail: str = '') -> None:
        """Remember an event.

        Args:
          id_: Id of the request or sample.
          at_ms: Unix milliseconds.
          event: What happened.
          detail: What else is known.
        """
        events = self._events.get(id_)
        if events is None:
            events = self._events[id_] = []
            if len(self._events) > self._max_ids:
                self._events.popitem(last=False)
        if len(events) < MAX_EVENTS_PER_ID:
            events.append(Event(at_ms, event, detail))

    def find(self, id_: str) -> list[Event]:
        """Find what is known of an id.

        Args:
          id_: Id of the request or sample.

        Returns:
          Its events, oldest first; empty when it is unknown.
        """
        return list(self._events.get(id_, ()))
