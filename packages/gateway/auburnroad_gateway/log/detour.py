"""Calls the log service directly and fails over to a relay on a peer gateway.

The log service may be unreachable from some hosts and reachable from others.
A call that gets no answer is therefore tried in rounds, on another path each
time, while the calls of earlier rounds may still be answered. During the 3
seconds after a failure, called the detour, calls are sent through a peer
first. An append whose response was lost on one path may be retried on another,
since its producer's sequence number makes it idempotent.

A connection may also go silent while a new one works, and peers may be cut off
as well. Each later round of a read that waits for records therefore has a new
direct connection beside a peer.
"""

import asyncio
import time
import typing

import msgspec

from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events

# How long calls are sent through a peer first after a direct call failed.
DETOUR_SECONDS = 3.0
# Minimum delay of a hedged call as a multiple of the mean latency.
HEDGE_LATENCY_RATIO = 2.0
# Weight of the newest call in the moving averages of the latency.
LATENCY_WEIGHT = 0.3
# Maximum number of peers that one call is sent to. More than one, since the
# log service may be unreachable from the first peer as well.
MAX_PEERS = 2
# Maximum factor of the delays of hedged reads while no path has an answer. A
# log service that is slow for all must not get more calls than it can answer.
MAX_BACKOFF = 4
# Number of rounds after the first one of a read that waits for records.
FURTHER_ROUNDS = 3
# Time without a response after which the next round begins. The log service
# usually responds within 4 ms; the delay of an append is 60 times as long.
# Reads of many records share the log service's bandwidth and take longer.
APPEND_HEDGE_SECONDS = 0.25
# The same for a read that waits for records, after its wait time and as a part
# of it: who waits briefly needs to know soon.
WAITING_READ_HEDGE_RATIO = 0.5
# Reads without a wait time fetch many records, often on many gateways at once;
# hedged calls would use bandwidth that these reads already exhaust.
CATCH_UP_HEDGE_SECONDS = 1.2
# How long the last round of a read that waits for records is waited for. The
# calls of another read then open new connections.
LAST_ROUND_SECONDS = 1.0


class _Round(msgspec.Struct, frozen=True):
    """Calls that are sent at the same time.

    Attributes:
      paths: Clients that call the log service, each on its own path.
      seconds: Time after which the next round begins although calls may
        still be answered; None to wait for the calls.
      wait_ms: Milliseconds that reads wait for records.
    """

    paths: list
    seconds: float | None
    wait_ms: int = 0


class _Calls:
    """Calls under way, and what the earlier ones have shown.

    Attributes:
      paths: Path of each call.
      started_at: Loop time in seconds at which each call was sent.
      wait_seconds: Seconds that each call may wait for records.
      refused: Paths on which the log service is not to be tried again.
      failure: Error to raise if no call succeeds.
    """

    __slots__ = ('paths', 'started_at', 'wait_seconds', 'refused', 'failure')

    def __init__(self):
        self.paths: dict[asyncio.Task, object] = {}
        self.started_at: dict[asyncio.Task, float] = {}
        self.wait_seconds: dict[asyncio.Task, float] = {}
        self.refused: list[object] = []
        self.failure: service.LogError | None = None

    @property
    def may_be_done(self) -> bool:
        """Whether a call that failed may have been carried out."""
        return isinstance(self.failure, service.LogLostError)

    def start(self, path, coroutine, wait_ms: int) -> None:
        """Send a call."""
        task = asyncio.ensure_future(coroutine)
        self.paths[task] = path
        self.started_at[task] = asyncio.get_running_loop().time()
        self.wait_seconds[task] = wait_ms / 1000

    def find_latency(self, task: asyncio.Task) -> float:
        """Find the seconds from sending a call to now, without its wait."""
        now = asyncio.get_running_loop().time()
        return max(0.0, now - self.started_at[task] - self.wait_seconds[task])

    def note_error(self, path, error: service.LogError) -> None:
        """Record a failed call.

        Raises:
          LogError: The error itself, if it is neither a LogRefusedError nor
            a LogLostError.
        """
        if isinstance(error, service.LogRefusedError):
            self.refused.append(path)
        elif not isinstance(error, service.LogLostError):
            raise error
        # A call whose response was lost may have been carried out, even if
        # the other paths refuse it.
        if not self.may_be_done:
            self.failure = error

    def cancel(self) -> None:
        """Give up the calls that have no answer."""
        for task in self.paths:
            task.cancel()


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
        '_read_latency_seconds',
        '_read_backoff',
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
        self._read_latency_seconds = 0.0
        self._read_backoff = 1

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
        delay = self._compute_delay(APPEND_HEDGE_SECONDS)
        rounds = self._list_single_rounds(delay if repeatable else None)
        started_at = time.monotonic()
        first_offset = await self._call(
            lambda path, wait_ms: path.append(
                topic, partition, records, producer, expected_end
            ),
            rounds,
            repeatable,
        )
        self._note_append_latency(time.monotonic() - started_at)
        return first_offset

    async def read(
        self,
        topic,
        partition,
        from_offset,
        wait_ms,
        max_bytes=service.MAX_READ_BYTES,
    ) -> service.Slice:
        """Read records; see service.LogService."""

        async def call(path, wait_ms: int) -> service.Slice:
            found = await path.read(
                topic, partition, from_offset, wait_ms, max_bytes
            )
            service.check_not_outdated(found.end, from_offset)
            return found

        return await self._call(
            call,
            self._list_waiting_rounds(wait_ms)
            if wait_ms
            else self._list_catch_up_rounds(),
        )

    async def read_newest(self, topic) -> service.Snapshot:
        """Read the newest records; see service.LogService."""
        return await self._call(
            lambda path, wait_ms: path.read_newest(topic),
            self._list_catch_up_rounds(),
        )

    async def trim(self, topic, partition, before) -> None:
        """Delete old records; see service.LogService."""
        return await self._call(
            lambda path, wait_ms: path.trim(topic, partition, before),
            self._list_catch_up_rounds(),
        )

    @property
    def on_detour(self) -> bool:
        """Whether calls are sent through a peer first."""
        return time.monotonic() < self._detour_until

    async def _call(
        self,
        call: typing.Callable,
        rounds: list[_Round],
        repeatable: bool = True,
    ):
        """Try a call in rounds, and return the first result.

        Args:
          call: Calls the log service, with a path and the milliseconds to
            wait for records.
          rounds: What to try.
          repeatable: Whether the call may be sent again although it may have
            been carried out.

        Raises:
          LogError: If no round has a result.
        """
        calls = _Calls()
        try:
            for entry in rounds:
                if calls.may_be_done and not repeatable:
                    break
                for path in entry.paths:
                    if path not in calls.refused:
                        calls.start(
                            path, call(path, entry.wait_ms), entry.wait_ms
                        )
                found = await self._wait_for_result(calls, entry.seconds)
                if found is not None:
                    if rounds[0].wait_ms:
                        self._note_read_latency(calls.find_latency(found))
                    return found.result()
        finally:
            calls.cancel()
        if rounds[0].wait_ms and calls.paths:
            self._read_backoff = min(MAX_BACKOFF, 2 * self._read_backoff)
        raise calls.failure or service.LogLostError('no path has an answer')

    async def _wait_for_result(
        self, calls: _Calls, seconds: float | None
    ) -> asyncio.Task | None:
        """Wait until a call succeeds; None if all fail or time is up."""
        loop = asyncio.get_running_loop()
        until = None if seconds is None else loop.time() + seconds
        while calls.paths:
            done, silent = await asyncio.wait(
                calls.paths,
                timeout=None if until is None else until - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                for task in silent:
                    self._note_silence(
                        calls.paths[task], calls.started_at[task]
                    )
                return None
            paths = {task: calls.paths.pop(task) for task in done}
            for task, path in paths.items():
                error = task.exception()
                if error is not None:
                    self._note_failure(path, str(error))
                    calls.note_error(path, error)
            for task in done:
                if task.exception() is None:
                    return task
        return None

    def _compute_delay(self, minimum_seconds: float) -> float:
        """Compute the seconds from one round to the next.

        The delay grows with the latency, since hedged calls only add load when
        the log service is slow on every path.
        """
        latency_seconds = max(
            self._append_latency_seconds, self._read_latency_seconds
        )
        return max(minimum_seconds, HEDGE_LATENCY_RATIO * latency_seconds)

    def _note_append_latency(self, seconds: float) -> None:
        delta = seconds - self._append_latency_seconds
        self._append_latency_seconds += LATENCY_WEIGHT * delta

    def _note_read_latency(self, seconds: float) -> None:
        self._read_backoff = 1
        delta = seconds - self._read_latency_seconds
        self._read_latency_seconds += LATENCY_WEIGHT * delta

    def _list_waiting_rounds(self, wait_ms: int) -> list[_Round]:
        """List the rounds of a read that waits for records.

        Later ones, sent when the time to wait is over, don't wait.
        """
        wait_seconds = wait_ms / 1000
        delay = self._compute_delay(
            self._read_backoff * WAITING_READ_HEDGE_RATIO * wait_seconds
        )
        first, *peers = self._list_paths()
        peers = [path for path in peers if path is not self.direct]
        rounds = [_Round([first], wait_seconds + delay, wait_ms)]
        for number in range(FURTHER_ROUNDS):
            further = peers[number % len(peers) :][:1] if peers else []
            is_last = number == FURTHER_ROUNDS - 1
            seconds = max(delay, LAST_ROUND_SECONDS) if is_last else delay
            rounds.append(_Round([self.direct, *further], seconds))
        return rounds

    def _list_catch_up_rounds(self) -> list[_Round]:
        delay = self._compute_delay(CATCH_UP_HEDGE_SECONDS)
        return self._list_single_rounds(delay)

    def _list_single_rounds(self, delay: float | None) -> list[_Round]:
        """List rounds of one call each; the last one is waited for."""
        paths = self._list_paths()
        return [
            *(_Round([path], delay) for path in paths[:-1]),
            _Round(paths[-1:], None),
        ]

    def _list_paths(self) -> list:
        """List the paths in the order in which they are tried."""
        peers = self._open_peers(MAX_PEERS)
        if peers and self.on_detour:
            return [peers[0], self.direct, *peers[1:]]
        return [self.direct, *peers]

    def _open_peers(self, count: int) -> list:
        peers = self._list_peers()
        if not peers:
            return []
        first = self._first_peer % len(peers)
        addresses = [*peers[first:], *peers[:first]][:count]
        return [self._open_peer(address) for address in addresses]

    def _note_silence(self, path, sent_at: float) -> None:
        path.discard_idle_connections(sent_at)
        self._note_failure(path, 'silent')

    def _note_failure(self, path, error: str) -> None:
        now = time.monotonic()
        if path is not self.direct:
            # The next call starts with another peer.
            self._first_peer += 1
        elif now >= self._detour_until:
            self._detour_until = now + DETOUR_SECONDS
            events.write('log_detour', error=error)
