"""A TCP relay between two processes that cuts or silences connections.

A silent connection stays open at both ends and carries nothing more, as when
something in between has lost track of it; new connections work unless the
relay is told to silence them as well.
"""

import asyncio
import contextlib
import enum

READ_BYTES = 65536


class Direction(enum.StrEnum):
    """Which way of a connection is silent."""

    TO = 'to'
    FROM = 'from'
    BOTH = 'both'


class _Pair:
    """One relayed connection."""

    __slots__ = ('inner', 'outer', 'silent', 'task')

    def __init__(self, outer, inner):
        self.outer = outer
        self.task = asyncio.current_task()
        self.inner = inner
        self.silent: set[Direction] = set()

    def abort(self) -> None:
        """Break both halves."""
        for writer in (self.outer[1], self.inner[1]):
            writer.transport.abort()


class Relay:
    """Relays every connection to one address to another.

    Attributes:
      address: Where it listens.
      target: Where it connects to.
      delay_seconds: How long each piece is held up, each way.
    """

    __slots__ = (
        'address',
        'target',
        'delay_seconds',
        '_server',
        '_pairs',
        '_cut',
        '_silent',
    )

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self.delay_seconds = 0.0
        self._server: asyncio.Server | None = None
        self._pairs: set[_Pair] = set()
        self._cut = False
        self._silent: set[Direction] = set()

    async def start(self) -> None:
        """Start to listen.

        Raises:
          OSError: If the address can't be had.
        """
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, port)

    async def close(self) -> None:
        """Stop, and break all connections."""
        if self._server is not None:
            self._server.close()
        tasks = [pair.task for pair in self._pairs]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop_listening(self) -> None:
        """Break all connections and refuse new ones until the next start."""
        if self._server is not None:
            self._server.close()
        self._abort()

    def cut(self) -> None:
        """Break all connections and refuse new ones."""
        self._cut = True
        self._abort()

    def silence(self, direction: Direction, lasting: bool) -> None:
        """Let the open connections go silent for good.

        Args:
          direction: Which way carries nothing more.
          lasting: Whether new connections are silent, too.
        """
        ways = (
            {Direction.TO, Direction.FROM}
            if direction is Direction.BOTH
            else {direction}
        )
        for pair in self._pairs:
            pair.silent |= ways
        if lasting:
            self._silent = ways

    def heal(self) -> None:
        """Let new connections work; silent ones stay silent."""
        self._cut = False
        self._silent = set()

    def _abort(self) -> None:
        for pair in list(self._pairs):
            pair.abort()

    async def _accept(self, reader, writer) -> None:
        if self._cut:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            inner = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair((reader, writer), inner)
        pair.silent |= self._silent
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, Direction.TO, reader, inner[1]),
                self._pump(pair, Direction.FROM, inner[0], writer),
            )
        except asyncio.CancelledError:
            # Only close() cancels; the stream protocol of Python 3.11 would
            # report a cancelled handler as an error.
            pass
        finally:
            self._pairs.discard(pair)
            pair.abort()

    def reset(self) -> None:
        """Break the open connections; new ones work."""
        self._abort()

    async def _pump(self, pair: _Pair, way: Direction, reader, writer) -> None:
        """Carry bytes one way until the end, which a silent way hides."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                if way in pair.silent:
                    continue
                writer.write(data)
                await writer.drain()
        if way in pair.silent:
            await asyncio.Event().wait()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
