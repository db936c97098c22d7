"""Records at which releases the streams of a host name may have begun.

A caller may take a stream up whose release no gateway knows: the gateway that
began the stream lost power before it had shared the release, or the caller
doesn't name the attempt that began the stream. Such a stream may go on only if
one release alone can have begun it. The replicas that stand now don't tell
this, since those of the release that began the stream may have gone. So each
release is recorded in the log before a stream begins there, again while
its replicas stand, and is believed to be in service for a while afterwards.
"""

import asyncio
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core import decoding
from auburnroad_gateway.log import service
from auburnroad_gateway.members import facts as all_facts
from auburnroad_gateway.model import registration
from auburnroad_gateway.telemetry import events

# Time for which a release counts as in service after it was recorded.
MEMORY_SECONDS = 120.0
# Time that must be left, so that a stream that begins now and breaks with its
# replica can be taken up within this time.
MIN_LEFT_SECONDS = 60.0
RETRY_SECONDS = 0.02
WATCH_SECONDS = 1.0

# Host name of streams whose gateway has not told it.
ANY_HOST = ''

Use = tuple[str, registration.Release]


class ReleasesInService:
    """Releases at which streams may have begun, by host name."""

    __slots__ = ('_facts', '_refresh', '_until_ms')

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
        self._until_ms: dict[Use, int] = {}
        facts.on_fact(all_facts.FactKind.RELEASE, self._apply)

    def list_in_service(self, host: str) -> set[registration.Release]:
        """List the releases at which streams of a host name may have begun."""
        now_ms = clock.time_now_ms()
        return {
            release
            for (name, release), until_ms in self._until_ms.items()
            if name in (host, ANY_HOST) and until_ms > now_ms
        }

    def note_use(self, use: Use, until_ms: int) -> None:
        """Note that streams may have begun at a release.

        Args:
          use: Host name, or ANY_HOST, and release.
          until_ms: Time in Unix milliseconds from which this is forgotten.
        """
        now_ms = clock.time_now_ms()
        self._until_ms = {
            known: known_until_ms
            for known, known_until_ms in self._until_ms.items()
            if known_until_ms > now_ms
        }
        self._until_ms[use] = max(self._until_ms.get(use, 0), until_ms)

    def is_recorded(self, host: str, release: registration.Release) -> bool:
        """Tell whether a stream of a host name may begin at a release."""
        left_ms = self._until_ms.get((host, release), 0) - clock.time_now_ms()
        return left_ms > MIN_LEFT_SECONDS * 1000

    async def record(self, uses: list[Use], timeout_seconds: float) -> bool:
        """Record releases in the log, unless they are recorded already.

        Args:
          uses: Pairs of a host name and a release.
          timeout_seconds: Maximum time to try.

        Returns:
          Whether all of them are recorded.
        """
        error = None
        try:
            async with asyncio.timeout(timeout_seconds):
                while missing := self._list_missing(uses):
                    try:
                        await self._append(missing)
                    except service.LogError as failure:
                        error = failure
                        await asyncio.sleep(RETRY_SECONDS)
        except TimeoutError:
            events.write('releases_not_recorded', error=str(error))
            return False
        return True

    async def watch(self, list_uses: typing.Callable[[], list[Use]]) -> None:
        """Keep the releases of all standing replicas recorded.

        Args:
          list_uses: Lists what this gateway has to record now.
        """
        while True:
            await self.record(list_uses(), WATCH_SECONDS)
            await asyncio.sleep(WATCH_SECONDS)

    def _list_missing(self, uses: list[Use]) -> list[Use]:
        return [use for use in uses if not self.is_recorded(*use)]

    async def _append(self, uses: list[Use]) -> None:
        # Another gateway may have recorded them a moment ago.
        await self._refresh()
        uses = self._list_missing(uses)
        if not uses:
            return
        until_ms = clock.time_now_ms() + int(MEMORY_SECONDS * 1000)
        await self._facts.append(
            all_facts.FactKind.RELEASE,
            [
                all_facts.Fact(
                    all_facts.FactKind.RELEASE,
                    host,
                    msgspec.json.encode(release).decode(),
                    until_ms,
                )
                for host, release in uses
            ],
        )
        await self._refresh()

    def _apply(self, fact: all_facts.Fact) -> None:
        try:
            release = decoding.decode_json(
                fact.value.encode(), registration.Release
            )
        except msgspec.DecodeError as error:
            # Perhaps of another version of gateways.
            events.write_invalid_record(all_facts.TOPIC, fact.key, error)
            return
        self.note_use((fact.key, release), fact.until_ms)
