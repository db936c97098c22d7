"""Reads KNOWN-RED.txt: faults that are known and not mended yet.

One entry a line, fields between bars: test, command, seed, what was seen,
issue. Runners pass over just these tests and print them.
"""

import pathlib

import msgspec

ROOT = pathlib.Path(__file__).resolve().parents[3]
PATH = ROOT / 'KNOWN-RED.txt'


class KnownRed(msgspec.Struct, frozen=True):
    """One known fault."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def parse_entries(text: str) -> list[KnownRed]:
    """Parse the file's text.

    Args:
      text: Lines; those that are empty or start with '#' do not count.

    Returns:
      The entries in order.

    Raises:
      ValueError: If a line does not have five fields.
    """
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith('#'):
            continue
        fields = [field.strip() for field in line.split('|')]
        if len(fields) != 5 or not all(fields):
            raise ValueError(f'KNOWN-RED.txt needs five fields: {line!r}')
        entries.append(KnownRed(*fields))
    return entries


def read_entries() -> list[KnownRed]:
    """Read the entries of the project's file.

    Returns:
      The entries in order.
    """
    return parse_entries(PATH.read_text(encoding='utf-8'))


def print_entries(entries: list[KnownRed]) -> None:
    """Print the entries that a runner passes over."""
    for entry in entries:
        print(f'known red: {entry.test} ({entry.seen}; issue {entry.issue})')
