"""Books that survive the kill of their process.

Each line is appended and flushed to the operating system before what it tells
of is answered, so 'kill -9' loses none.
"""

import pathlib
import typing

import msgspec

Shape = typing.TypeVar('Shape')


class BooksFile:
    """Appends lines of JSON to a file, or to nothing without a path."""

    __slots__ = ('_file',)

    def __init__(self, path: str):
        self._file = open(path, 'ab', buffering=0) if path else None

    def append(self, line: object) -> None:
        """Append one line.

        Args:
          line: Anything that msgspec encodes.
        """
        if self._file is not None:
            self._file.write(msgspec.json.encode(line) + b'\n')


def read_lines(path: pathlib.Path, shape: type[Shape]) -> list[Shape]:
    """Read the lines of a file.

    Args:
      path: The file; a missing one has no lines.
      shape: Type of each line.

    Returns:
      The lines in order; one that a kill cut short is left out.
    """
    if not path.exists():
        return []
    whole, _, _ = path.read_bytes().rpartition(b'\n')
    return [
        msgspec.json.decode(line, type=shape) for line in whole.splitlines()
    ]
