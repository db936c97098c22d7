"""An HTTP server on h11 in the process's event loop.

The server reads a complete request, calls the handler, and writes the
response. While the handler runs, the server watches the connection: when the
caller disconnects, the handler is cancelled, so that no work is done for an
unneeded response. Draining closes idle connections and lets requests in
flight finish.
"""

import asyncio
import contextlib
import http.client
import typing

from absl import logging
import h11

from auburnroad_core.http import handling
from auburnroad_core.http import limits
from auburnroad_core.http import messages
from auburnroad_core.http import resets

READ_BYTES = 65536
# Limits for the data that is read and dropped after an error response, until
# the caller stops sending.
LINGER_SECONDS = 1.0
LINGER_BYTES = 64 * 1024 * 1024
# Time at the end of a drain for error responses to the requests whose handlers
# have not responded by then, and its maximum share of the drain.
GIVE_UP_SECONDS = 0.1
MAX_GIVE_UP_SHARE = 0.2


class _Connection:
    """The server's end of one connection from a caller."""

    __slots__ = (
        '_h11',
        '_reader',
        '_writer',
        '_server',
        '_first_limits',
        '_idle_timeout',
        '_work',
        'busy',
    )

    def __init__(self, server, reader, writer):
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self._reader = reader
        self._writer = writer
        self._server = server
        self._first_limits = server.limits
        # Set while the connection waits for the first bytes of a request.
        self._idle_timeout: asyncio.Timeout | None = None
        # Set while a handler runs that hasn't returned a response.
        self._work: asyncio.Task | None = None
        self.busy = False

    def close_if_idle(self) -> None:
        """Close the connection unless bytes of a request have arrived."""
        timeout = self._idle_timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    def give_up(self) -> None:
        """Answer a request whose handler hasn't responded with 504."""
        if self._work is not None:
            self._work.cancel()

    async def serve(self) -> None:
        """Serve requests until either end closes the connection.

        Returns once the last response has been handed to the kernel, since a
        process that ends earlier truncates it.
        """
        try:
            while await self._serve_one():
                self._h11.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.IncompleteReadError):
            pass
        finally:
            if self._h11.our_state is h11.SEND_BODY:
                self._reset_old_caller()
            self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    def _reset_old_caller(self) -> None:
        """Reset the connection if a body ends with it, as in HTTP/1.0.

        A body that is broken off would look whole to the caller.
        """
        if self._h11.their_http_version != b'1.1':
            resets.reset(self._writer)

    async def _serve_one(self) -> bool:
        try:
            request = await self._read_request()
        except limits.RefusedError as refused:
            self._server.on_refused(refused.status, refused.code)
            await self._send(refused.build_response())
            await self._linger()
            return False
        except h11.RemoteProtocolError as error:
            await self._refuse_malformed(error)
            await self._linger()
            return False
        if request is None:
            return False
        self.busy = True
        try:
            response = await self._run_handler(request)
            await self._send(response)
        finally:
            self.busy = False
        return self._h11.our_state is h11.DONE and not self._server.draining

    async def _refuse_malformed(self, error) -> None:
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        # After a colon, h11 quotes the request, which may contain an API key.
        reason = str(error).partition(':')[0]
        logging.info('malformed HTTP request: %.200s', reason)
        status = error.error_status_hint
        refused = limits.RefusedError(status, 'malformed_http', 'not HTTP/1.1')
        if status == 431 and not await self._has_first_limits():
            refused = limits.LimitsUnreadError()
        self._server.on_refused(refused.status, refused.code)
        await self._send(refused.build_response())

    async def _has_first_limits(self) -> bool:
        """Tell whether the limits that h11 applies are in force for certain.

        They are those at which the connection was accepted.
        """
        return (
            await self._server.confirm_limits()
            and self._first_limits == self._server.limits
        )

    async def _linger(self) -> None:
        """Read and drop the data that the caller still sends.

        Closing a socket with unread data resets the connection, and the
        caller may lose the response.
        """
        if self._writer.can_write_eof():
            self._writer.write_eof()
        size = 0
        try:
            async with asyncio.timeout(LINGER_SECONDS):
                while size < LINGER_BYTES:
                    data = await self._reader.read(READ_BYTES)
                    if not data:
                        return
                    size += len(data)
        except TimeoutError:
            return

    async def _read_request(self) -> messages.Request | None:
        head = None
        body = []
        size = 0
        while True:
            if head is None:
                event = await self._read_head()
            else:
                event = await self._read_body_event()
            if isinstance(event, h11.Request):
                head = event
                await self._check_header_size(head)
                self._check_framing(head)
                await self._check_declared_size(head)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                await self._check_size(size)
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return messages.build_request(head, b''.join(body))
            else:
                return None

    async def _check_header_size(self, head) -> None:
        # h11 limits only headers that are received in several reads.
        size = len(head.target) + sum(
            len(name) + len(value) for name, value in head.headers
        )
        await self._check_limit(
            size, 'header_bytes', 431, 'headers_too_large', 'the headers are'
        )

    def _check_framing(self, head) -> None:
        names = {name for name, _ in head.headers}
        if {b'content-length', b'transfer-encoding'} <= names:
            # A proxy and this server might determine the length of the body
            # from different headers.
            raise limits.RefusedError(
                400, 'ambiguous_length', 'two lengths for one body'
            )

    async def _check_declared_size(self, head) -> None:
        for name, value in head.headers:
            if name == b'content-length':
                await self._check_size(int(value))
        expect = (b'expect', b'100-continue')
        if expect in [(n, v.lower()) for n, v in head.headers]:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    async def _check_size(self, size: int) -> None:
        await self._check_limit(
            size, 'body_bytes', 413, 'body_too_large', 'the body is'
        )

    async def _check_limit(
        self, size: int, field: str, status: int, code: str, what: str
    ) -> None:
        """Refuse a request over a limit, for good if that is in force."""
        if size <= getattr(self._server.limits, field):
            return
        if not await self._server.confirm_limits():
            raise limits.LimitsUnreadError
        limit = getattr(self._server.limits, field)
        if size > limit:
            raise limits.RefusedError(
                status, code, f'{what} over {limit} bytes'
            )

    async def _read_head(self):
        """Read the request line and headers within the time limits.

        Returns:
          The next h11 event; None after the idle timeout.

        Raises:
          RefusedError: If the request line and headers take too long.
        """
        in_force = self._server.limits
        if not self._h11.trailing_data[0]:
            data = await self._read_first_bytes()
            if data is None:
                return None
            self._h11.receive_data(data)
        try:
            async with asyncio.timeout(in_force.header_seconds):
                return await self._next_event()
        except TimeoutError:
            raise limits.RefusedError(
                408, 'head_too_slow', 'the head took too long'
            ) from None

    async def _read_first_bytes(self) -> bytes | None:
        """Read the first bytes of a request; None after the idle timeout."""
        idle_seconds = self._server.limits.idle_seconds
        try:
            async with asyncio.timeout(idle_seconds) as self._idle_timeout:
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            pass
        finally:
            self._idle_timeout = None
        # Bytes may have arrived while the timeout was being handled.
        try:
            async with asyncio.timeout(0):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            return None

    async def _read_body_event(self):
        """Read the next event of a body within the idle timeout."""
        try:
            async with asyncio.timeout(self._server.limits.idle_seconds):
                return await self._next_event()
        except TimeoutError:
            raise limits.RefusedError(
                408, 'body_too_slow', 'the body took too long'
            ) from None

    async def _next_event(self):
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._reader.read(READ_BYTES))

    async def _run_handler(self, request) -> messages.Response:
        work = asyncio.ensure_future(self._server.handler(request))
        watch = asyncio.ensure_future(self._watch_peer())
        self._work = work
        try:
            await asyncio.wait(
                {work, watch}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise ConnectionResetError('the caller disconnected')
            return handling.get_response(work)
        finally:
            self._work = None
            work.cancel()
            watch.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)

    async def _watch_peer(self) -> None:
        """Return when the caller disconnects; pass early bytes to h11."""
        early_bytes = 0
        while data := await self._reader.read(READ_BYTES):
            self._h11.receive_data(data)
            early_bytes += len(data)
            if early_bytes > READ_BYTES:
                # Stop reading when more than READ_BYTES are pipelined, so that
                # a caller's requests don't exhaust the memory.
                await asyncio.Event().wait()

    async def _send(self, response: messages.Response) -> None:
        headers = dict(response.headers)
        if response.chunks is None:
            headers['content-length'] = str(len(response.body))
        else:
            headers['transfer-encoding'] = 'chunked'
        if self._server.draining:
            headers['connection'] = 'close'
        self._write(
            h11.Response(
                status_code=response.status,
                reason=http.client.responses.get(response.status, ''),
                headers=messages.encode_headers(headers),
            )
        )
        if response.chunks is None:
            if response.body:
                self._write(h11.Data(data=response.body))
        else:
            await self._send_chunks(response.chunks)
        self._write(h11.EndOfMessage())
        await self._writer.drain()

    async def _send_chunks(self, chunks) -> None:
        watch = asyncio.ensure_future(self._watch_peer())
        writing = asyncio.ensure_future(self._write_chunks(chunks))
        try:
            await asyncio.wait(
                {writing, watch}, return_when=asyncio.FIRST_COMPLETED
            )
            if not writing.done():
                raise ConnectionResetError('the caller disconnected')
            writing.result()
        finally:
            writing.cancel()
            watch.cancel()
            await asyncio.gather(writing, watch, return_exceptions=True)
            await chunks.aclose()

    async def _write_chunks(self, chunks) -> None:
        async for chunk in chunks:
            self._write(h11.Data(data=chunk))
            await self._writer.drain()

    def _write(self, event) -> None:
        data = self._h11.send(event)
        if data:
            self._writer.write(data)


class HttpServer:
    """Listens on one address and passes requests to one handler.

    Attributes:
      handler: Handles a complete request.
      limits: Limits above which a request is rejected.
      on_refused: Called with status and error code of each request that is
        rejected without a call of the handler.
      confirm_limits: Tells whether the limits are those in force, after
        setting them anew if need be; called before a request is refused by
        them for good.
      draining: Whether connections are closed after their next response.
    """

    __slots__ = (
        'handler',
        'limits',
        'on_refused',
        'confirm_limits',
        'draining',
        '_server',
        '_connections',
    )

    def __init__(
        self,
        handler: handling.Handler,
        in_force: limits.HttpLimits | None = None,
    ):
        self.handler = handler
        self.limits = in_force or limits.HttpLimits()
        self.on_refused: typing.Callable[[int, str], None] = (
            limits.ignore_refusal
        )
        self.confirm_limits: typing.Callable[[], typing.Awaitable[bool]] = (
            limits.confirm_fixed
        )
        self.draining = False
        self._server: asyncio.Server | None = None
        self._connections: dict[_Connection, asyncio.Task] = {}

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in flight."""
        return sum(connection.busy for connection in self._connections)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Start listening.

        Args:
          host: IP address to listen on.
          port: Port to listen on, zero for any free port.

        Returns:
          The IP address and port in use.

        Raises:
          OSError: If the address can't be bound.
        """
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
        )
        return self._server.sockets[0].getsockname()[:2]

    async def drain(self, deadline_seconds: float) -> bool:
        """Stop listening and let requests in flight finish.

        Idle connections are closed. A request that is being received may be
        completed. If its handler doesn't respond in time, it is cancelled, and
        the caller gets status 504.

        Args:
          deadline_seconds: Maximum time to wait for them, in seconds.

        Returns:
          Whether every connection was closed in time.
        """
        self.draining = True
        if self._server is not None:
            self._server.close()
        until = asyncio.get_running_loop().time() + deadline_seconds
        for connection in list(self._connections):
            connection.close_if_idle()
        await self._wait_for_connections(
            until - min(GIVE_UP_SECONDS, MAX_GIVE_UP_SHARE * deadline_seconds)
        )
        for connection in list(self._connections):
            connection.give_up()
        await self._wait_for_connections(until)
        return not self._connections

    async def _wait_for_connections(self, until: float) -> None:
        """Wait until all connections are closed, or until a loop time."""
        loop = asyncio.get_running_loop()
        while self._connections and loop.time() < until:
            # A connection may have been accepted just before the listener was
            # closed, so the connections are listed again.
            await asyncio.wait(
                list(self._connections.values()), timeout=until - loop.time()
            )

    async def close(self) -> None:
        """Stop listening and cancel the requests in flight."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        connection = _Connection(self, reader, writer)
        self._connections[connection] = asyncio.current_task()
        try:
            await connection.serve()
        except asyncio.CancelledError:
            writer.close()
        finally:
            del self._connections[connection]
