"""Books of users and targets as data."""

import typing

import msgspec

Event = dict[str, typing.Any]
Span = tuple[int, int, int]


class TrainerBooks(msgspec.Struct):
    """What one trainer wrote, with what it was promised.

    Attributes:
      name: Trainer's name.
      staleness_bound: Versions that a sample may be behind.
      groups_wanted: Groups that each step must hold at least.
      samples_per_group: Samples that each group must hold.
      events: Events of its books in order.
    """

    name: str
    staleness_bound: int
    groups_wanted: int
    samples_per_group: int
    events: list[Event]

    def select(self, event: str) -> list[Event]:
        """Select the events of one name."""
        return [e for e in self.events if e['event'] == event]


class EngineRun(msgspec.Struct):
    """One run in an engine's books.

    Attributes:
      request_id: Attempt that it was for.
      replica: Engine's name.
      spans: Weight versions by token.
    """

    request_id: str
    replica: str
    spans: list[Span]


class PlainRun(msgspec.Struct):
    """One run in the books of a plain service."""

    key: str
    request_id: str


class Books(msgspec.Struct):
    """All books of one run."""

    trainers: list[TrainerBooks]
    callers: list[Event]
    engine_runs: list[EngineRun]
    plain_runs: list[PlainRun]
