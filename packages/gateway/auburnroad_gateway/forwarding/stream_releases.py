"""Remembers for all gateways which release began a stream.

A caller may take a broken stream up again at any gateway, and the stream may
go on only at replicas of the release that began it. Each gateway shares the
release of a stream with its first event. A stream whose release was not shared
in time goes on if one release alone can have begun it.
"""

import asyncio
import collections
import time
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core import decoding
from auburnroad_gateway.forwarding import releases_in_service
from auburnroad_gateway.log import shared_refresh
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


class Origin(msgspec.Struct, frozen=True):
    """Where a stream may go on.

    Attributes:
      release: Release that began the stream; None if it is not known.
      reason: How the release is known, or why it is not.
    """

    release: registration.Release | None
    reason: str


class _StreamStart(msgspec.Struct, frozen=True, array_like=True):
    """Value of a fact about a stream; older gateways write no host name."""

    service: str
    software_version: str
    host: str = releases_in_service.ANY_HOST

    @property
    def release(self) -> registration.Release:
        return registration.Release(self.service, self.software_version)


class StreamReleases:
    """Releases of streams by the id of the attempt that began the stream.

    Attributes:
      in_service: Releases at which streams may have begun.
    """

    __slots__ = (
        'in_service',
        '_facts',
        '_refresh',
        '_streams',
        '_starts',
    )

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
        self._refresh = shared_refresh.SharedRefresh('facts_not_read', refresh)
        self.in_service = releases_in_service.ReleasesInService(facts, refresh)
        self._streams: collections.OrderedDict[str, _StreamStart] = (
            collections.OrderedDict()
        )
        # One object for each release, however many streams it began.
        self._starts: dict[str, _StreamStart] = {}
        facts.on_fact(all_facts.FactKind.STREAM, self._apply)

    async def share(
        self,
        request_id: str,
        host: str,
        release: registration.Release,
        standing: set[registration.Release],
        timeout_seconds: float,
    ) -> None:
        """Let all gateways know which release began a stream.

        While streams may begin at several releases, waits until this is in the
        log: after a loss of power nobody could tell where the stream may go
        on.

        Args:
          request_id: Id of the attempt that brings the first event.
          host: Host name of the stream.
          release: The release.
          standing: Releases of the replicas that stand now.
          timeout_seconds: Maximum time to wait.
        """
        start = _StreamStart(release.service, release.software_version, host)
        fact = all_facts.Fact(
            all_facts.FactKind.STREAM,
            request_id,
            msgspec.json.encode(start).decode(),
            clock.time_now_ms() + int(MEMORY_SECONDS * 1000),
        )
        if self.in_service.list_in_service(host) | standing == {release}:
            self._facts.share(fact)
        elif not await self._facts.share_written(fact, timeout_seconds):
            events.write('stream_not_recorded', request=request_id)

    def find(self, request_id: str) -> registration.Release | None:
        """Find the release of a stream; None if it is unknown so far."""
        start = self._streams.get(request_id)
        return start and start.release

    async def find_origin(
        self,
        begun_by: str,
        host: str,
        list_standing: typing.Callable[[], set[registration.Release]],
    ) -> Origin:
        """Find the release that began a stream which a caller takes up.

        Args:
          begun_by: Id of the attempt that brought the first event; empty if
            the caller did not tell.
          host: Host name of the stream.
          list_standing: Lists the releases of the replicas that stand now.

        Returns:
          The release, with the reason to believe in it, or not to.
        """
        release = self.find(begun_by)
        if release is not None:
            return Origin(release, 'stream recorded')
        asked_at = time.monotonic()
        give_up_at = asked_at + FETCH_SECONDS
        while True:
            if not await self._refresh.read(give_up_at):
                return Origin(self.find(begun_by), 'facts not read')
            release = self.find(begun_by)
            if release is not None:
                return Origin(release, 'stream recorded')
            if self._refresh.read_up_to < asked_at:
                # The read had begun before; the stream may have begun since.
                continue
            in_service = self.in_service.list_in_service(host)
            if len(in_service) == 1 and list_standing() <= in_service:
                return Origin(in_service.pop(), 'only release')
            if not begun_by or time.monotonic() >= give_up_at:
                return Origin(
                    None,
                    'several releases' if in_service else 'no release known',
                )
            await asyncio.sleep(FETCH_PAUSE_SECONDS)

    def _apply(self, fact: all_facts.Fact) -> None:
        start = self._starts.get(fact.value)
        if start is None:
            try:
                start = decoding.decode_json(fact.value.encode(), _StreamStart)
            except msgspec.DecodeError as error:
                # Perhaps of another version of gateways.
                events.write_invalid_record(all_facts.TOPIC, fact.key, error)
                return
            self._starts[fact.value] = start
        self._streams[fact.key] = start
        if start.host == releases_in_service.ANY_HOST:
            # Its gateway does not record releases before streams begin.
            self.in_service.note_use(
                (start.host, start.release), fact.until_ms
            )
        while len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
