"""Calls the log service directly and fails over to a relay on a peer gateway.

The log service may be unreachable from some hosts and reachable from others.
A call that fails directly is retried through another live gateway. During the
next 3 seconds, called the detour, calls are sent through a peer first. An
append whose response was lost on one path may be retried on another, since its
producer's sequence number makes it idempotent.
"""

import asyncio
import time

from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events

# How long calls are sent through a peer first after a direct call failed.
DETOUR_SECONDS = 3.0
# Minimum delay of a hedged call as a multiple of the mean append latency.
HEDGE_LATENCY_RATIO = 2.0
# Weight of the newest append in the moving average of the append latency.
LATENCY_WEIGHT = 0.3
# Maximum number of peers that one call is sent to. More than one, since the
# log service may be unreachable from the first peer as well.
MAX_PEERS = 2
# Time without a response after which the next path is tried in parallel. The
# log service usually responds within 4 ms; the delay of an append is 60 times
# as long. The wait time of a read is added. Reads of many records share the
# log service's bandwidth and take longer.
APPEND_HEDGE_SECONDS = 0.25
WAITING_READ_HEDGE_SECONDS = 0.5
# Reads without a wait time fetch many records, often on many gateways at once;
# hedged calls would use bandwidth that these reads already exhaust.
CATCH_UP_HEDGE_SECONDS = 1.2


class DetourLog:
    """Implements service.LogService over a direct path and relays on peers.

    Attributes:
      direct: Client that calls the log service directly.
    """

    __slots__ = (
        'direct',
        '_list_peers',
        '_open_peer',
        '_detour_until',
        '_first_peer',
        '_append_latency_seconds',
    )

    def __init__(self, direct, list_peers, open_peer):
        """Create a client with a direct path and paths through peers.

        Args:
          direct: Client that calls the log service directly.
          list_peers: Returns the addresses of gateways that can relay calls.
          open_peer: Opens a client that calls the log service through the
            gateway at an address.
        """
        self.direct = direct
        self._list_peers = list_peers
        self._open_peer = open_peer
        self._detour_until = 0.0
        self._first_peer = 0
        self._append_latency_seconds = 0.0

    async def append(
        self, topic, partition, records, producer=None, expected_end=None
    ) -> int:
        """Append records; see service.LogService."""
        # Without a producer or an expected end, a retried append may add a
        # second copy, which only a keyed topic tolerates.
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

    async def _call(self, repeatable, wait_ms, method, *arguments):
        paths = self._list_paths()
        hedge_delay = (
            self._compute_hedge_delay(method, wait_ms) if repeatable else None
        )
        calls: dict[asyncio.Task, object] = {}
        started_at: dict[asyncio.Task, float] = {}
        failure = None
        try:
            while paths or calls:
                if paths:
                    path = paths.pop(0)
                    task = asyncio.ensure_future(
                        getattr(path, method)(*arguments)
                    )
                    calls[task] = path
                    started_at[task] = time.monotonic()
                done, _ = await asyncio.wait(
                    calls,
                    timeout=hedge_delay if paths else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    self._note_failure(path, 'silent')
                for task in done:
                    path = calls.pop(task)
                    error = task.exception()
                    if error is None:
                        self._note_latency(method, started_at[task])
                        return task.result()
                    failure = self._note_error(path, error, failure)
                    if isinstance(failure, service.LogLostError):
                        # A retry may append a second copy.
                        paths = paths if repeatable else []
        finally:
            for task in calls:
                task.cancel()
        raise failure

    def _compute_hedge_delay(self, method: str, wait_ms: int) -> float:
        """Compute the seconds until the next path is tried in parallel.

        The delay grows with the append latency, since hedged calls only add
        load when the log service is slow on every path.
        """
        minimum = APPEND_HEDGE_SECONDS
        if method != 'append':
            minimum = (
                WAITING_READ_HEDGE_SECONDS
                if wait_ms
                else CATCH_UP_HEDGE_SECONDS
            )
        return (
            max(minimum, HEDGE_LATENCY_RATIO * self._append_latency_seconds)
            + wait_ms / 1000
        )

    def _note_latency(self, method: str, started_at: float) -> None:
        if method == 'append':
            delta = (
                time.monotonic() - started_at - self._append_latency_seconds
            )
            self._append_latency_seconds += LATENCY_WEIGHT * delta

    def _note_error(self, path, error, earlier_error):
        """Record a failed call on one path and choose the error to raise.

        Args:
          path: Path on which the call failed.
          error: Error of the call.
          earlier_error: Error chosen after the paths tried before; None if
            this is the first failed path.

        Returns:
          The earlier error if it is a LogLostError, else the error.

        Raises:
          LogError: The error itself, if it is neither a LogRefusedError nor
            a LogLostError.
        """
        if not isinstance(
            error, (service.LogRefusedError, service.LogLostError)
        ):
            raise error
        self._note_failure(path, str(error))
        # A call whose response was lost may have been carried out, even if
        # the other paths refuse it.
        if isinstance(earlier_error, service.LogLostError):
            return earlier_error
        return error

    @property
    def on_detour(self) -> bool:
        """Whether calls are sent through a peer first."""
        return time.monotonic() < self._detour_until

    def _list_paths(self) -> list:
        """List the paths in the order in which they are tried."""
        peers = self._list_peers()
        if not peers:
            return [self.direct]
        first = self._first_peer % len(peers)
        addresses = [*peers[first:], *peers[:first]][:MAX_PEERS]
        paths = [self._open_peer(address) for address in addresses]
        if self.on_detour:
            return [paths[0], self.direct, *paths[1:]]
        return [self.direct, *paths]

    def _note_failure(self, path, error: str) -> None:
        now = time.monotonic()
        if path is not self.direct:
            # The next call starts with another peer.
            self._first_peer += 1
        elif now >= self._detour_until:
            self._detour_until = now + DETOUR_SECONDS
            events.write('log_detour', error=error)
