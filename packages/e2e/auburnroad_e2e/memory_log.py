"""A log service in memory, with the failures that the real one has.

For tests and measurements within one process; scenarios use the stand-in,
which is a process of its own.
"""

import asyncio
import collections

from auburnroad_core.log import records
from auburnroad_core.platform import log_service

READ_LIMIT_RECORDS = 1000


class MemoryLog:
    """Streams in memory.

    Attributes:
      down: Whether every call fails with nothing done.
      lose_answers: How many of the next appends take effect unanswered.
      hold_appends: How many of the next appends are unanswered and take
        effect only at `release`.
      silent_appends: How many of the next appends do nothing and never end.
      append_seconds: Time that one append takes; calls queue for it.
      appends: How many appends were tried.
    """

    __slots__ = (
        'down',
        'lose_answers',
        'hold_appends',
        'silent_appends',
        'append_seconds',
        'appends',
        '_streams',
        '_first',
        '_held',
        '_busy',
        '_news',
    )

    def __init__(self, append_seconds: float = 0.0):
        self.down = False
        self.lose_answers = 0
        self.hold_appends = 0
        self.silent_appends = 0
        self.append_seconds = append_seconds
        self.appends = 0
        self._streams = collections.defaultdict(list)
        self._first = collections.Counter()
        self._held = []
        self._busy = asyncio.Lock()
        self._news = asyncio.Event()

    def truncate(self, stream: str, before: int) -> None:
        """Expire the records before an offset."""
        self._first[stream] = before

    def list_entries(self, stream: str) -> list[records.Entry]:
        """List all records of a stream, expired ones too."""
        return list(self._streams[stream])

    def release(self) -> None:
        """Let held appends take effect."""
        held, self._held = self._held, []
        for stream, batch in held:
            self._store(stream, batch)

    async def append(
        self, stream: str, batch: list[log_service.NewRecord]
    ) -> list[int]:
        """Append records; see log_service.LogService."""
        self.appends += 1
        if self.silent_appends:
            self.silent_appends -= 1
            await asyncio.Event().wait()
        async with self._busy:
            await asyncio.sleep(self.append_seconds)
        if self.down:
            raise log_service.LogUnavailableError('down')
        if self.hold_appends:
            self.hold_appends -= 1
            self._held.append((stream, batch))
            raise log_service.AppendLostError('held')
        offsets = self._store(stream, batch)
        if self.lose_answers:
            self.lose_answers -= 1
            raise log_service.AppendLostError('answer lost')
        return offsets

    async def read(
        self, stream: str, from_offset: int, wait_seconds: float
    ) -> log_service.Batch:
        """Read records; see log_service.LogService."""
        await asyncio.sleep(0)
        if not self.down and from_offset >= len(self._streams[stream]):
            try:
                async with asyncio.timeout(wait_seconds):
                    await self._news.wait()
            except TimeoutError:
                pass
        if self.down:
            raise log_service.LogUnavailableError('down')
        entries = self._streams[stream]
        start = max(from_offset, self._first[stream])
        return log_service.Batch(
            self._first[stream],
            len(entries),
            entries[start : start + READ_LIMIT_RECORDS],
        )

    def _store(self, stream, batch) -> list[int]:
        entries = self._streams[stream]
        offsets = []
        for record in batch:
            offsets.append(len(entries))
            entries.append(records.Entry(len(entries), record.id, record.data))
        self._news.set()
        self._news = asyncio.Event()
        return offsets
