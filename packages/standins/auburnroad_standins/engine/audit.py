"""Reads the books files of engines, also of those that were killed.

A checker compares what a caller was told with what the engine says of each
token. A killed engine left its last span open: what it produced after its
last line was of that span's version.
"""

import pathlib

import msgspec

from auburnroad_standins import books
from auburnroad_standins.engine import runs


class RunHistory(msgspec.Struct):
    """What a books file says of one request.

    Attributes:
      engine: Engine's name.
      record: The run as of its last line.
      starts: Index of the first token and weight version of each span.
    """

    engine: str
    record: runs.RunRecord
    starts: list[tuple[int, int]]

    def version_at(self, offset: int) -> int | None:
        """Find the weight version that produced a token.

        Args:
          offset: Index of the token in the whole answer.

        Returns:
          The version, or None if this run can't have produced the token.
        """
        end = self.record.resume_at + self.record.tokens
        ended = self.record.finished or self.record.cancelled
        if ended and offset >= end:
            return None
        versions = [v for start, v in self.starts if start <= offset]
        return versions[-1] if versions else None


def build_histories(lines: list[runs.BooksLine]) -> dict[str, RunHistory]:
    """Build the history of each request.

    Args:
      lines: Lines of one engine's books file in order.

    Returns:
      Histories by request id.
    """
    histories: dict[str, RunHistory] = {}
    for line in lines:
        history = histories.setdefault(
            line.run.request_id, RunHistory(line.engine, line.run, [])
        )
        history.record = line.run
        if line.event == 'version':
            start = line.run.resume_at + line.run.tokens
            history.starts.append((start, line.version))
    return histories


def read_histories(path: pathlib.Path) -> dict[str, RunHistory]:
    """Read an engine's books file.

    Args:
      path: The file.

    Returns:
      Histories by request id.
    """
    return build_histories(books.read_lines(path, runs.BooksLine))
