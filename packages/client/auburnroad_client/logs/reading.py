"""Reads log lines from plain or compressed files, in any order.

Text that a log collector put before the JSON of a line is skipped. Lines
without an event, such as truncated ones, are counted and reported.
"""

import gzip
import pathlib
import typing

import msgspec

COMPRESSED_SUFFIX = '.gz'


class Line(msgspec.Struct, frozen=True):
    """One event in the log of a process.

    Attributes:
      time_ms: Unix milliseconds by the clock of the host.
      event: Name of the event.
      host: Host of the process.
      fields: All other fields.
    """

    time_ms: int
    event: str
    host: str
    fields: dict[str, typing.Any]


class Log(msgspec.Struct):
    """Lines of all files that were read.

    Attributes:
      lines: Lines by time.
      broken: Number of lines without an event.
    """

    lines: list[Line]
    broken: int


def find_files(paths: list[str]) -> list[pathlib.Path]:
    """Find the log files at the given paths.

    Args:
      paths: Files and directories.

    Returns:
      The files; those below a directory are sorted by path.

    Raises:
      FileNotFoundError: If a path doesn't exist.
    """
    files = []
    for text in paths:
        path = pathlib.Path(text)
        if path.is_dir():
            files += sorted(file for file in path.rglob('*') if file.is_file())
        elif path.exists():
            files.append(path)
        else:
            raise FileNotFoundError(f'{text}: no such file or directory')
    return files


def read_log(paths: list[str]) -> Log:
    """Read all lines of log files.

    Args:
      paths: Files and directories; files that end in .gz are decompressed.

    Returns:
      The lines, by time.

    Raises:
      FileNotFoundError: If a path doesn't exist.
      OSError: If a file can't be read.
    """
    log = Log([], 0)
    for path in find_files(paths):
        opener = gzip.open if path.suffix == COMPRESSED_SUFFIX else open
        with opener(path, 'rb') as file:
            for raw in file:
                _add_line(log, raw)
    log.lines.sort(key=lambda line: line.time_ms)
    return log


def parse_line(raw: bytes) -> Line | None:
    """Parse one line.

    Args:
      raw: Bytes of the line, with or without text before the JSON.

    Returns:
      The event, or None if the line has none.
    """
    start = raw.find(b'{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(raw[start:])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if not isinstance(fields, dict):
        return None
    time_ms = fields.pop('time_ms', None)
    event = fields.pop('event', None)
    if not isinstance(time_ms, int) or not isinstance(event, str):
        return None
    return Line(time_ms, event, str(fields.pop('host', '')), fields)


def _add_line(log: Log, raw: bytes) -> None:
    if not raw.strip():
        return
    line = parse_line(raw)
    if line is None:
        log.broken += 1
    else:
        log.lines.append(line)
