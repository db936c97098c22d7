"""Reads log lines from files: plain or compressed, mixed or broken.

A collector may have put its own words before a line's JSON; they are passed
over. Lines that hold no event are counted, not hidden.
"""

import gzip
import pathlib
import typing

import msgspec

COMPRESSED_SUFFIX = '.gz'


class Line(msgspec.Struct, frozen=True):
    """One event of one process.

    Attributes:
      time_ms: Unix milliseconds by the clock of its host.
      event: Event's name.
      host: Host of the process.
      fields: All further fields.
    """

    time_ms: int
    event: str
    host: str
    fields: dict[str, typing.Any]


class Log(msgspec.Struct):
    """All lines of some files.

    Attributes:
      lines: By time.
      broken: How many lines held no event.
    """

    lines: list[Line]
    broken: int


def find_files(paths: list[str]) -> list[pathlib.Path]:
    """Find the files that paths name.

    Args:
      paths: Files and directories.

    Returns:
      The files, those of directories by name.

    Raises:
      FileNotFoundError: If a path names nothing.
    """
    files = []
    for text in paths:
        path = pathlib.Path(text)
        if path.is_dir():
            files += sorted(part for part in path.rglob('*') if part.is_file())
        elif path.exists():
            files.append(path)
        else:
            raise FileNotFoundError(f'{text}: there is no such file')
    return files


def read_log(paths: list[str]) -> Log:
    """Read all lines of some files.

    Args:
      paths: Files and directories; those that end with .gz are compressed.

    Returns:
      The lines by time.

    Raises:
      FileNotFoundError: If a path names nothing.
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
      raw: Its bytes, with or without words before the JSON.

    Returns:
      The event; None if there is none.
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
