"""A file of JSON lines in which a stand-in keeps its books.

Each line is flushed at once, so that a stand-in that is killed leaves whole
books behind: the verdict of a run is drawn from them and not from what the
system says of itself.
"""

import pathlib
import typing

import msgspec

from auburnroad_core import clock


class RecordFile:
    """Appends one event a line."""

    __slots__ = ('_file',)

    def __init__(self, path: str):
        self._file = pathlib.Path(path).open('ab')

    def write(self, event: str, **fields: object) -> None:
        """Append an event with the time at which it happened.

        Args:
          event: Event's name.
          fields: What is to be known of it; anything msgspec encodes.
        """
        record = {'event': event, 'at_ms': clock.time_now_ms(), **fields}
        self._file.write(msgspec.json.encode(record) + b'\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read_records(path: str) -> list[dict[str, typing.Any]]:
    """Read the events of a file.

    Args:
      path: Path of the file, which need not exist.

    Returns:
      The events in order; a last line that was cut short does not count.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except FileNotFoundError:
        return []
    whole = data[: data.rfind(b'\n') + 1]
    return [msgspec.json.decode(line) for line in whole.splitlines()]
