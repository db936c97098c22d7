"""The server of a side for the streams of entries.

Each entry has one stream. A new stream of an entry replaces its older one,
since the older connection may be dead without having been closed.
"""

import asyncio
import typing

from absl import logging

from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream as stream_module

Handle = typing.Callable[[stream_module.Stream, messages.Message], None]


class SideStreams:
    """Accepts streams and passes each message to the handler of its type."""

    __slots__ = (
        '_build_hello',
        '_build_heartbeat',
        '_handlers',
        '_on_stream_lost',
        '_metrics',
        '_server',
        '_streams',
        '_tasks',
    )

    def __init__(
        self,
        build_hello: typing.Callable[[], messages.Hello],
        build_heartbeat: stream_module.BuildHeartbeat,
        on_stream_lost: typing.Callable[[stream_module.Stream], None],
        metrics,
    ):
        self._build_hello = build_hello
        self._build_heartbeat = build_heartbeat
        self._on_stream_lost = on_stream_lost
        self._metrics = metrics
        self._handlers: dict[type, Handle] = {}
        self._server: asyncio.Server | None = None
        self._streams: dict[str, stream_module.Stream] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def count(self) -> int:
        """Number of entries that have sent a Hello message."""
        return len(self._streams)

    def add_handler(self, message_type: type, handle: Handle) -> None:
        """Set the handler for one type of message.

        Args:
          message_type: Class of the messages.
          handle: Called with the stream and the message.
        """
        self._handlers[message_type] = handle

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Start listening.

        Args:
          host: IP address to listen on.
          port: Port to listen on; 0 selects a free port.

        Returns:
          The IP address and port of the listening socket.

        Raises:
          OSError: If the address can't be bound.
        """
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
        )
        return self._server.sockets[0].getsockname()[:2]

    def send_to_all(self, message: messages.Message) -> None:
        """Send a message to every connected entry.

        Args:
          message: The message.
        """
        for stream in self._streams.values():
            stream.send(message)

    async def close(self) -> None:
        """Stop listening and close every stream."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        stream = stream_module.Stream(reader, writer)
        stream.send(self._build_hello())
        try:
            await stream.run(self._handle, self._build_heartbeat)
        except codec.WireError as error:
            self._metrics.hostile_frames.inc()
            logging.warning(
                'closed a stream that sent invalid data: %s', error
            )
        except asyncio.CancelledError:
            # Cancelled by close(). asyncio's stream callback would report a
            # cancelled task as a failure, so the error is not raised again.
            stream.close()
        finally:
            self._tasks.discard(task)
            self._unregister(stream)

    def _handle(self, stream, message) -> None:
        if isinstance(message, messages.Hello):
            self._register(stream, message)
        elif stream.peer is None:
            raise codec.WireError(
                'the first message of a stream must be Hello'
            )
        handle = self._handlers.get(type(message))
        if handle is not None:
            handle(stream, message)

    def _register(self, stream, hello) -> None:
        if stream.peer is not None:
            return
        stream.peer = hello
        old_stream = self._streams.get(hello.daemon)
        self._streams[hello.daemon] = stream
        self._metrics.streams.set(len(self._streams))
        logging.info('entry %s connected', hello.daemon)
        if old_stream is not None:
            old_stream.close()
            self._on_stream_lost(old_stream)

    def _unregister(self, stream) -> None:
        self._on_stream_lost(stream)
        if stream.peer is None:
            return
        if self._streams.get(stream.peer.daemon) is stream:
            del self._streams[stream.peer.daemon]
            self._metrics.streams.set(len(self._streams))
            logging.info('entry %s disconnected', stream.peer.daemon)
