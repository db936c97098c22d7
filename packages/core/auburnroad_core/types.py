"""The small core of plain data that entry, side and client all speak.

Nothing here does I/O or reads a clock. Every type is a slotted class with a
fixed field order, since the same types travel on the msgpack streams.
"""

import enum

import msgspec


class Outcome(enum.StrEnum):
    """What became of a request, said only by whoever can know it."""

    RUN = 'run'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RequestClass(enum.StrEnum):
    """Who waits for a request; decides its order in a side's queue."""

    INTERACTIVE = 'interactive'
    SAMPLE = 'sample'


class VersionSpan(msgspec.Struct, array_like=True, frozen=True):
    """A run of tokens produced by one weight version.

    Attributes:
      version: Weight version that the engine reported with the tokens.
      start: Index of the first token.
      end: Index after the last token.
    """

    version: int
    start: int
    end: int


class HostLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of the replicas of one service on one host, as one figure.

    Attributes:
      service: Service's name.
      slots: Requests that the healthy replicas take at a time.
      running: Requests that run on them.
      waiting: Requests that wait in the side's queue.
      ready_replicas: Replicas that take work.
    """

    service: str
    slots: int
    running: int
    waiting: int
    ready_replicas: int


def append_span(spans: list[VersionSpan], version: int, tokens: int) -> None:
    """Account for tokens that the engine has just reported.

    Args:
      spans: Spans so far, changed in place; adjacent ones of one version are
        merged.
      version: Weight version that the engine reported.
      tokens: How many tokens it produced, at least 1.
    """
    if spans and spans[-1].version == version:
        last = spans.pop()
        spans.append(VersionSpan(version, last.start, last.end + tokens))
        return
    start = spans[-1].end if spans else 0
    spans.append(VersionSpan(version, start, start + tokens))


def oldest_version(spans: list[VersionSpan]) -> int | None:
    """Find the oldest weight version that produced a token.

    Args:
      spans: Spans of one sample.

    Returns:
      The lowest version, or None when there are no tokens.
    """
    return min((span.version for span in spans), default=None)
