"""Sums the counts of all hosts for each window.

A record of a host holds all its counts in a window, by incarnation. Since each
entry replaces the earlier entries of its incarnation by its revision, records
may be lost, late, repeated or in any order.
"""

import collections
import typing

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """What one incarnation counted in a window.

    Attributes:
      revision: Increases with each entry of the incarnation.
      final: Whether the counts no longer change.
      counts: Number of requests by account.
    """

    revision: int
    final: bool
    counts: dict[str, int]


class UsageRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one host counted in a window.

    Attributes:
      window: Number of the window.
      entries: Entries by incarnation.
    """

    window: int
    entries: dict[str, Entry]


def merge_entries(
    entries: dict[str, Entry], others: dict[str, Entry]
) -> dict[str, Entry]:
    """Merge entries of one host and window; the newest of each is kept."""
    merged = dict(entries)
    for incarnation, entry in others.items():
        before = merged.get(incarnation)
        if before is None or _rank(entry) > _rank(before):
            merged[incarnation] = entry
    return merged


class UsageFold:
    """The counts of all hosts by window."""

    __slots__ = ('_windows',)

    def __init__(self):
        # By window, host and incarnation.
        self._windows: dict[int, dict[str, dict[str, Entry]]] = {}

    def apply(self, host: str, record: UsageRecord) -> None:
        """Apply a record of a host."""
        hosts = self._windows.setdefault(record.window, {})
        hosts[host] = merge_entries(hosts.get(host, {}), record.entries)

    def sum_counts(self, window: int) -> dict[str, int]:
        """Sum the counts of all hosts in a window, without zeros."""
        total = collections.Counter()
        for entries in self._windows.get(window, {}).values():
            for entry in entries.values():
                total.update(entry.counts)
        return {
            account: total[account]
            for account in sorted(total)
            if total[account]
        }

    def list_unfinished(
        self, window: int, live: typing.Mapping[str, str]
    ) -> list[str]:
        """List the hosts whose counts in a window may still change.

        Args:
          window: Number of the window.
          live: Incarnation of each live gateway by host.

        Returns:
          Hosts with a live gateway that has not closed the window, and hosts
          with any record of it that is not final.
        """
        hosts = self._windows.get(window, {})
        unfinished = {
            host
            for host, entries in hosts.items()
            if not all(entry.final for entry in entries.values())
        }
        unfinished.update(
            host
            for host, incarnation in live.items()
            if incarnation not in hosts.get(host, {})
        )
        return sorted(unfinished)

    def find_earliest(self) -> int | None:
        """Find the earliest window with a count; None if there is none."""
        return min(
            (window for window in self._windows if self.sum_counts(window)),
            default=None,
        )

    def drop_before(self, window: int) -> None:
        """Forget the windows before one."""
        for old in [entry for entry in self._windows if entry < window]:
            del self._windows[old]


def _rank(entry: Entry) -> tuple[int, bool]:
    return entry.revision, entry.final
