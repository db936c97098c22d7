"""Remembers for all gateways which release began a stream.

A caller may take a broken stream up again at any gateway, and the stream may
go on only at replicas of the release that began it. Each gateway shares the
release of a stream with its first event.
"""

import asyncio
import collections
import time
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.members import facts as all_facts
from auburnroad_gateway.model import registration
from auburnroad_gateway.telemetry import events

# Time for which a stream is remembered, and number of streams; the oldest are
# forgotten first.
MEMORY_SECONDS = 120.0
MAX_STREAMS = 20_000
# Time for which a caller that takes a stream up is kept waiting for its
# release, which another gateway may have shared a moment ago.
FETCH_SECONDS = 0.5
FETCH_PAUSE_SECONDS = 0.05


class StreamReleases:
    """Releases of streams by the id of the attempt that began the stream."""

    __slots__ = ('_facts', '_refresh', '_refreshing', '_streams', '_releases')

    def __init__(
        self,
        facts: all_facts.SharedFacts,
        refresh: typing.Callable[[], typing.Awaitable[None]],
    ):
        """Create an empty memory.

        Args:
          facts: Facts of all gateways.
          refresh: Reads all facts that have been written by now, or raises
            service.LogError.
        """
        self._facts = facts
        self._refresh = refresh
        self._refreshing: asyncio.Task | None = None
        self._streams: collections.OrderedDict[str, registration.Release] = (
            collections.OrderedDict()
        )
        # One object for each release, however many streams it began.
        self._releases: dict[str, registration.Release] = {}
        facts.on_fact(all_facts.FactKind.STREAM, self._apply)

    def share(self, request_id: str, release: registration.Release) -> None:
        """Let all gateways know which release began a stream."""
        self._facts.share(
            all_facts.Fact(
                all_facts.FactKind.STREAM,
                request_id,
                msgspec.json.encode(release).decode(),
                clock.time_now_ms() + int(MEMORY_SECONDS * 1000),
            )
        )

    def find(self, request_id: str) -> registration.Release | None:
        """Find the release of a stream; None if it is unknown so far."""
        return self._streams.get(request_id)

    async def fetch(self, request_id: str) -> registration.Release | None:
        """Find the release of a stream that another gateway may have begun.

        Args:
          request_id: Id of the attempt that brought the first event.

        Returns:
          The release; None if no gateway has shared it, or the log service
          can't be read.
        """
        give_up_at = time.monotonic() + FETCH_SECONDS
        while True:
            release = self.find(request_id)
            if release is not None or time.monotonic() >= give_up_at:
                return release
            if not await self._refresh_until(give_up_at):
                return self.find(request_id)
            await asyncio.sleep(FETCH_PAUSE_SECONDS)

    async def _refresh_until(self, give_up_at: float) -> bool:
        """Read new facts, in one call for all that wait; tell if it worked."""
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.create_task(self._refresh_once())
        task = self._refreshing
        await asyncio.wait({task}, timeout=give_up_at - time.monotonic())
        return task.done() and task.result()

    async def _refresh_once(self) -> bool:
        try:
            await self._refresh()
        except service.LogError as error:
            events.write('facts_not_read', error=str(error))
            return False
        return True

    def _apply(self, fact: all_facts.Fact) -> None:
        release = self._releases.get(fact.value)
        if release is None:
            try:
                release = msgspec.json.decode(
                    fact.value, type=registration.Release
                )
            except msgspec.DecodeError:
                # Written by another version of gateways.
                return
            self._releases[fact.value] = release
        self._streams[fact.key] = release
        while len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
