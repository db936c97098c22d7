"""Reaches the log service directly or, if it turns us away, by a peer.

The log service may be cut off from some hosts while it serves others. A call
that fails directly is sent once more through another gateway that lives; for
a while the detour then goes first. An append that was lost on one way may be
repeated on the other, since its producer's sequence number makes it one.
"""

import asyncio
import time

from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events

# How long the detour goes first before the direct way is tried again.
DETOUR_SECONDS = 3.0
# Beyond this multiple of the time that appends take lately.
SLOW_RATIO = 2.0
# Weight of the newest append in that time.
TIME_WEIGHT = 0.3
# Peers that one call tries; they may be turned away as well.
PEERS_TRIED = 2
# A way that is silent for so long is given a companion: 60 times the log
# service's usual 4 ms, beyond what a read was asked to wait. Reads of many
# records share the log service's bandwidth and take longer.
SILENCE_SECONDS = 0.25
READ_SILENCE_SECONDS = 0.5
# Reads that don't wait catch up with many records, often at many gateways at
# once: companions would take the bandwidth that is missing.
CATCH_UP_SILENCE_SECONDS = 1.2


class DetourLog:
    """Implements service.LogService over several ways.

    Attributes:
      direct: The log service as this host reaches it.
    """

    __slots__ = (
        'direct',
        '_find_peers',
        '_open_peer',
        '_until',
        '_turn',
        '_append_seconds',
    )

    def __init__(self, direct, find_peers, open_peer):
        """Wire the ways.

        Args:
          direct: The log service as this host reaches it.
          find_peers: Returns the addresses of gateways that may help.
          open_peer: Builds a log service behind such an address.
        """
        self.direct = direct
        self._find_peers = find_peers
        self._open_peer = open_peer
        self._until = 0.0
        self._turn = 0
        self._append_seconds = 0.0

    async def append(
        self, topic, partition, records, producer=None, expected_end=None
    ) -> int:
        """Append records; see service.LogService."""
        # Without a producer a repeated append might be a second one, which
        # only a keyed topic bears.
        repeatable = (
            producer is not None
            or expected_end is not None
            or topic.startswith(service.KEYED_PREFIX)
        )
        return await self._call(
            repeatable,
            0,
            'append',
            topic,
            partition,
            records,
            producer,
            expected_end,
        )

    async def read(
        self,
        topic,
        partition,
        from_offset,
        wait_ms,
        most_bytes=service.READ_BYTES,
    ) -> service.Slice:
        """Read records; see service.LogService."""
        return await self._call(
            True,
            wait_ms,
            'read',
            topic,
            partition,
            from_offset,
            wait_ms,
            most_bytes,
        )

    async def read_newest(self, topic) -> service.Snapshot:
        """Read the newest records; see service.LogService."""
        return await self._call(True, 0, 'read_newest', topic)

    async def trim(self, topic, partition, before) -> None:
        """Delete old records; see service.LogService."""
        return await self._call(True, 0, 'trim', topic, partition, before)

    async def _call(self, repeatable, wait_ms, verb, *arguments):
        ways = self._list_ways()
        patience = self._find_patience(verb, wait_ms) if repeatable else None
        running: dict[asyncio.Task, object] = {}
        started: dict[asyncio.Task, float] = {}
        failure = None
        try:
            while ways or running:
                if ways:
                    way = ways.pop(0)
                    task = asyncio.ensure_future(
                        getattr(way, verb)(*arguments)
                    )
                    running[task] = way
                    started[task] = time.monotonic()
                done, _ = await asyncio.wait(
                    running,
                    timeout=patience if ways else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    self._note(way, 'silent')
                for task in done:
                    way = running.pop(task)
                    error = task.exception()
                    if error is None:
                        self._note_time(verb, started[task])
                        return task.result()
                    failure = self._note_error(way, error, failure)
                    if isinstance(failure, service.LogLostError):
                        # A second try might be a second append.
                        ways = ways if repeatable else []
        finally:
            for task in running:
                task.cancel()
        raise failure

    def _find_patience(self, verb: str, wait_ms: int) -> float:
        """Find how long a way may be silent before it gets a companion.

        When the log service is slow on every way, companions only make it
        slower.
        """
        usual = SILENCE_SECONDS
        if verb != 'append':
            usual = (
                READ_SILENCE_SECONDS if wait_ms else (CATCH_UP_SILENCE_SECONDS)
            )
        return max(usual, SLOW_RATIO * self._append_seconds) + wait_ms / 1000

    def _note_time(self, verb: str, started: float) -> None:
        if verb == 'append':
            gained = time.monotonic() - started - self._append_seconds
            self._append_seconds += TIME_WEIGHT * gained

    def _note_error(self, way, error, failure):
        """Note a failed try; return the error that tells most."""
        if not isinstance(
            error, (service.LogRefusedError, service.LogLostError)
        ):
            raise error
        self._note(way, str(error))
        # One lost try leaves the outcome open, whatever the other said.
        if isinstance(failure, service.LogLostError):
            return failure
        return error

    @property
    def on_detour(self) -> bool:
        """Whether the direct way has failed a short while ago."""
        return time.monotonic() < self._until

    def _list_ways(self) -> list:
        """List the ways in the order in which they are tried."""
        peers = self._find_peers()
        if not peers:
            return [self.direct]
        first = self._turn % len(peers)
        chosen = [*peers[first:], *peers[:first]][:PEERS_TRIED]
        ways = [self._open_peer(address) for address in chosen]
        if self.on_detour:
            return [ways[0], self.direct, *ways[1:]]
        return [self.direct, *ways]

    def _note(self, way, error: str) -> None:
        now = time.monotonic()
        if way is not self.direct:
            # Another peer helps next time.
            self._turn += 1
        elif now >= self._until:
            self._until = now + DETOUR_SECONDS
            events.write('log_detour', error=error)
