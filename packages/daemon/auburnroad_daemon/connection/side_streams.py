"""Streams from entries, as a side serves them.

Each entry has one stream; when it opens another, the newer one counts, since
the older one may have gone silent without an end.
"""

import asyncio
import typing

from absl import logging

from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream as stream_module

Handle = typing.Callable[[stream_module.Stream, messages.Message], None]


class SideStreams:
    """Accepts streams and hands their messages to handlers by type."""

    __slots__ = (
        '_build_hello',
        '_build_heartbeat',
        '_handlers',
        '_lose_stream',
        '_metrics',
        '_server',
        '_streams',
        '_tasks',
    )

    def __init__(
        self,
        build_hello: typing.Callable[[], messages.Hello],
        build_heartbeat: stream_module.BuildHeartbeat,
        lose_stream: typing.Callable[[stream_module.Stream], None],
        metrics,
    ):
        self._build_hello = build_hello
        self._build_heartbeat = build_heartbeat
        self._lose_stream = lose_stream
        self._metrics = metrics
        self._handlers: dict[type, Handle] = {}
        self._server: asyncio.Server | None = None
        self._streams: dict[str, stream_module.Stream] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def count(self) -> int:
        """How many entries have introduced themselves."""
        return len(self._streams)

    def add_handler(self, message_type: type, handle: Handle) -> None:
        """Add the handler of one type of message.

        Args:
          message_type: Class of the messages.
          handle: Called with the stream and each message of it.
        """
        self._handlers[message_type] = handle

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Start to listen.

        Args:
          host: IP number to listen on.
          port: Port, zero to have one chosen.

        Returns:
          The IP number and port that are listened on.

        Raises:
          OSError: If the address can't be had.
        """
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
        )
        return self._server.sockets[0].getsockname()[:2]

    def send_to_all(self, message: messages.Message) -> None:
        """Send a message to every entry.

        Args:
          message: What to send.
        """
        for peer in self._streams.values():
            peer.send(message)

    async def close(self) -> None:
        """Stop to listen and close every stream."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        peer = stream_module.Stream(reader, writer)
        peer.send(self._build_hello())
        try:
            await peer.run(self._handle, self._build_heartbeat)
        except codec.WireError as error:
            self._metrics.hostile_frames.inc()
            logging.warning('stream closed: %s', error)
        except asyncio.CancelledError:
            # The server's own close; a task that ends cancelled would be
            # reported as a failure by asyncio's stream callback.
            peer.close()
        finally:
            self._tasks.discard(task)
            self._end(peer)

    def _handle(self, peer, message) -> None:
        if isinstance(message, messages.Hello):
            self._introduce(peer, message)
        elif peer.peer is None:
            raise codec.WireError('a stream must begin with Hello')
        handle = self._handlers.get(type(message))
        if handle is not None:
            handle(peer, message)

    def _introduce(self, peer, hello) -> None:
        if peer.peer is not None:
            return
        peer.peer = hello
        older = self._streams.get(hello.daemon)
        self._streams[hello.daemon] = peer
        self._metrics.streams.set(len(self._streams))
        logging.info('entry %s has connected', hello.daemon)
        if older is not None:
            older.close()
            self._lose_stream(older)

    def _end(self, peer) -> None:
        self._lose_stream(peer)
        if peer.peer is None:
            return
        if self._streams.get(peer.peer.daemon) is peer:
            del self._streams[peer.peer.daemon]
            self._metrics.streams.set(len(self._streams))
            logging.info('entry %s has gone', peer.peer.daemon)
