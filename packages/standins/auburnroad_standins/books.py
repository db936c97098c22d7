"""Append-only files of records ('books') that survive a kill of the process.

A line is written to the operating system before the recorded action is
answered, so SIGKILL loses no line.
"""

import pathlib
import typing

import msgspec

Shape = typing.TypeVar('Shape')


class BooksFile:
    """Appends lines of JSON to a file; discards them without a path."""

    __slots__ = ('_file',)

    def __init__(self, path: str):
        self._file = open(path, 'ab', buffering=0) if path else None

    def append(self, line: object) -> None:
        """Append one line.

        Args:
          line: Value of any type that msgspec encodes.
        """
        if self._file is not None:
            self._file.write(msgspec.json.encode(line) + b'\n')


def read_lines(path: pathlib.Path, shape: type[Shape]) -> list[Shape]:
    """Read the lines of a file.

    Args:
      path: Path of the file; a missing file has no lines.
      shape: Type of each line.

    Returns:
      The decoded lines in order, without an incomplete last line.
    """
    if not path.exists():
        return []
    whole, _, _ = path.read_bytes().rpartition(b'\n')
    return [
        msgspec.json.decode(line, type=shape) for line in whole.splitlines()
    ]
