"""A bounded record of request events, for `auburnroad explain`."""

import collections

import msgspec

MAX_IDS = 4096
MAX_EVENTS_PER_ID = 64


class Event(msgspec.Struct, frozen=True):
    """An event of a request or a sample.

    Attributes:
      at_ms: Time of the event in Unix milliseconds.
      event: Kind of the event, such as 'submitted' or 'done'.
      detail: Further information, such as the name of the replica.
    """

    at_ms: int
    event: str
    detail: str = ''


class History:
    """Events of the most recently added ids; older ids are evicted."""

    __slots__ = ('_events', '_max_ids')

    def __init__(self, max_ids: int = MAX_IDS):
        self._events: collections.OrderedDict[str, list[Event]] = (
            collections.OrderedDict()
        )
        self._max_ids = max_ids

    def add(self, id_: str, at_ms: int, event: str, detail: str = '') -> None:
        """Add an event; events beyond MAX_EVENTS_PER_ID are dropped.

        Args:
          id_: Id of the request or sample.
          at_ms: Time of the event in Unix milliseconds.
          event: Kind of the event.
          detail: Further information.
        """
        events = self._events.get(id_)
        if events is None:
            events = self._events[id_] = []
            if len(self._events) > self._max_ids:
                self._events.popitem(last=False)
        if len(events) < MAX_EVENTS_PER_ID:
            events.append(Event(at_ms, event, detail))

    def find(self, id_: str) -> list[Event]:
        """Find the events of an id.

        Args:
          id_: Id of the request or sample.

        Returns:
          The events, oldest first; empty if the id is unknown.
        """
        return list(self._events.get(id_, ()))
