"""A file of JSON lines in which a user's stand-in keeps its books."""

import pathlib
import typing

from auburnroad_core import clock
from auburnroad_standins import books


class RecordFile:
    """Appends one event a line."""

    __slots__ = ('_file',)

    def __init__(self, path: str):
        self._file = books.BooksFile(path)

    def write(self, event: str, **fields: object) -> None:
        """Append an event with the time at which it happened.

        Args:
          event: Event's name.
          fields: What is to be known of it; anything msgspec encodes.
        """
        record = {'event': event, 'at_ms': clock.time_now_ms(), **fields}
        self._file.append(record)


def read_records(path: str | pathlib.Path) -> list[dict[str, typing.Any]]:
    """Read the events of a file.

    Args:
      path: Path of the file, which need not exist.

    Returns:
      The events in order; a last line that was cut short does not count.
    """
    return books.read_lines(pathlib.Path(path), dict)
