"""Files of JSON lines in which callers and trainers record their events."""

import pathlib
import typing

from auburnroad_core import clock
from auburnroad_standins import books


class RecordFile:
    """Appends events to a file, one per line."""

    __slots__ = ('_file',)

    def __init__(self, path: str):
        self._file = books.BooksFile(path)

    def write(self, event: str, **fields: object) -> None:
        """Append an event with the current time.

        Args:
          event: Name of the event.
          fields: Further fields of the record, of types that msgspec encodes.
        """
        record = {'event': event, 'at_ms': clock.time_now_ms(), **fields}
        self._file.append(record)


def read_records(path: str | pathlib.Path) -> list[dict[str, typing.Any]]:
    """Read the events of a file.

    Args:
      path: Path of the file; a missing file has no events.

    Returns:
      The events in order, without an incomplete last line.
    """
    return books.read_lines(pathlib.Path(path), dict)
