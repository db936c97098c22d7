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
      at_ms: Unix milliseconds at which it got a slot.
    """

    request_id: str
    replica: str
    spans: list[Span]
    at_ms: int = 0


class PlainRun(msgspec.Struct):
    """One run in the books of a plain service."""

    key: str
    request_id: str
    replica: str = ''
    at_ms: int = 0


class Seal(msgspec.Struct):
    """A step's seal, as the log service keeps it."""

    trainer: str
    step: int
    generation: int
    digest: str


class Books(msgspec.Struct):
    """All books of one run.

    Attributes:
      trainers: Books of the trainers.
      callers: Events of the callers.
      engine_runs: Books of all engines.
      plain_runs: Books of all plain services.
      seals: Seals in the log service; None when its books can't be read.
    """

    trainers: list[TrainerBooks]
    callers: list[Event]
    engine_runs: list[EngineRun]
    plain_runs: list[PlainRun]
    seals: list[Seal] | None = None
