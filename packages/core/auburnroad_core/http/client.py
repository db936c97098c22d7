"""An HTTP client on h11 that tells whether a request may have been run.

Connections are pooled for each address. A failure before the first byte is
written raises a ConnectError: the request was not run. A later failure raises
a BrokenError: the client can't know whether the request was run.

Pooled connections may all have gone silent without being closed, while new
ones work. A request that is given up without a response on a pooled connection
therefore discards the connections that were idle when it was sent, and a
client may limit how long a connection is idle.

A server may also send bytes without end. h11 limits the size of a head; this
module limits interim responses, responses to other requests, and the memory
for bodies.
"""

import asyncio
import collections
import re
import typing

import h11
import msgspec

from auburnroad_core import errors
from auburnroad_core.http import connections
from auburnroad_core.http import messages

IDLE_CONNECTIONS_PER_ADDRESS = 64
CONNECT_TIMEOUT_SECONDS = 2.0
# Interim responses, or responses to other requests, before the own one.
MAX_SKIPPED_RESPONSES = 16
# Size of a body that is read only so that its connection can be reused.
MAX_DISCARDED_BYTES = 65536
DISCARD_SECONDS = 0.1
BODY_BUDGET_BYTES = 512 * 1024 * 1024
# A head that goes on from a part of another one has its status line at the end
# of a header's value or of the reason.
STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}( |$)')


class HttpError(errors.AuburnroadError):
    """A request without a complete response."""


class ConnectError(HttpError):
    """No byte was sent, so the request was not run."""


class BrokenError(HttpError):
    """The request failed after sending began and may have been run."""


class TooLargeError(BrokenError):
    """The response is larger than the memory that is left for it."""


class BodyBudget:
    """Memory for the bodies that a client is reading.

    A body may be as large as the memory that is left. An endless one then
    leaves room for others, and several of them share the memory evenly.

    Attributes:
      used_bytes: Total size of the bodies as read so far.
    """

    __slots__ = ('used_bytes', '_total_bytes')

    def __init__(self, total_bytes: int):
        self.used_bytes = 0
        self._total_bytes = total_bytes

    def add(self, part_bytes: int, body_bytes: int) -> None:
        """Use memory for a part of a body.

        Args:
          part_bytes: Size of the part.
          body_bytes: Size of the body with this part.

        Raises:
          TooLargeError: If the body is larger than the memory that is left.
        """
        self.used_bytes += part_bytes
        if body_bytes > self._total_bytes - self.used_bytes:
            raise TooLargeError(f'a body of {body_bytes} bytes is too large')

    def release(self, body_bytes: int) -> None:
        """Return the memory of a body."""
        self.used_bytes -= body_bytes


class Reply:
    """A response whose body may not have been received yet."""

    __slots__ = (
        'status',
        'headers',
        '_client',
        '_key',
        '_connection',
        '_kept_bytes',
    )

    def __init__(self, status, headers, client, key, connection):
        self.status = status
        self.headers = headers
        self._client = client
        self._key = key
        self._connection = connection
        self._kept_bytes = 0

    def keep(self, part_bytes: int) -> None:
        """Use memory for a part of the body that is kept until its end.

        Args:
          part_bytes: Size of the part.

        Raises:
          TooLargeError: If the kept parts are larger than the memory that is
            left.
        """
        self._kept_bytes += part_bytes
        self._client.body_budget.add(part_bytes, self._kept_bytes)

    async def iterate(self) -> typing.AsyncIterator[bytes]:
        """Iterate over the body as it is received.

        Yields:
          Parts of the body.

        Raises:
          BrokenError: If the connection fails before the end of the body.
        """
        try:
            while True:
                event = await self._connection.next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._client.release(self._key, self._connection)
                    self._connection = None
                    return
                else:
                    raise BrokenError('the response ended early')
        except (OSError, h11.ProtocolError, ValueError) as error:
            raise BrokenError(str(error)) from error
        finally:
            self.close()

    async def read(self) -> bytes:
        """Read the complete body.

        Returns:
          The body.

        Raises:
          BrokenError: If the connection fails before the end of the body,
            or the body is too large.
        """
        parts = []
        try:
            async for part in self.iterate():
                parts.append(part)
                self.keep(len(part))
            return b''.join(parts)
        finally:
            self.close()

    async def discard(self) -> None:
        """Read a short body that is not used, or close the connection."""
        size = 0
        try:
            async with asyncio.timeout(DISCARD_SECONDS):
                async for part in self.iterate():
                    size += len(part)
                    if size > MAX_DISCARDED_BYTES:
                        return
        except (BrokenError, TimeoutError):
            # The body is not used.
            return
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection if the body was not read to its end."""
        self._client.body_budget.release(self._kept_bytes)
        self._kept_bytes = 0
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None


class HttpClient:
    """Sends requests to any address over pooled connections.

    Attributes:
      body_budget: Memory for the bodies that are being read.
    """

    __slots__ = (
        'body_budget',
        '_idle',
        '_connect_timeout_seconds',
        '_max_idle_seconds',
    )

    def __init__(
        self,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        max_idle_seconds: float = float('inf'),
        body_budget_bytes: int = BODY_BUDGET_BYTES,
    ):
        """Create a client without connections.

        Args:
          connect_timeout_seconds: Timeout of opening a connection.
          max_idle_seconds: Time after which an idle connection isn't reused,
            whatever the server allows.
          body_budget_bytes: Memory for all bodies that are being read.
        """
        self.body_budget = BodyBudget(body_budget_bytes)
        self._idle = collections.defaultdict(collections.deque)
        self._connect_timeout_seconds = connect_timeout_seconds
        self._max_idle_seconds = max_idle_seconds

    async def open(
        self,
        address: str,
        request: messages.Request,
        is_own: typing.Callable[[dict[str, str]], bool] | None = None,
        fresh: bool = False,
        may_send: typing.Callable[[], bool] | None = None,
    ) -> Reply:
        """Send a request and wait for the status and headers of its response.

        Args:
          address: 'IP address:port'.
          request: Request to send; a missing host header is added.
          is_own: Tells from its headers whether a response belongs to this
            request; any other one, such as a late copy, is skipped.
          fresh: Whether to open a connection, for what must not be sent twice.
          may_send: Called right before the first byte; False to send nothing.
            Of a request that is given up, what has not reached the server's
            host is then dropped.

        Returns:
          The reply; read its body to the end or close it.

        Raises:
          ConnectError: If no byte was sent.
          BrokenError: If the connection failed after sending began.
        """
        connection = await self._acquire(address, fresh)
        if may_send is not None and not may_send():
            connection.writer.close()
            raise ConnectError(f'{address}: no longer to be sent')
        sent_at = connections.find_time()
        try:
            return await self._exchange(address, connection, request, is_own)
        except (OSError, h11.ProtocolError, ValueError) as error:
            connection.writer.close()
            raise BrokenError(f'{address}: {error}') from error
        except BaseException:
            if may_send is not None:
                # What is held up on its way may outlast the right to send.
                connection.reset()
            connection.writer.close()
            if connection.was_silent(sent_at):
                self.discard_idle(address, sent_at)
            raise

    async def fetch(
        self,
        address: str,
        request: messages.Request,
        timeout_seconds: float,
        may_send: typing.Callable[[], bool] | None = None,
    ) -> messages.Response:
        """Send a request and read its complete response.

        Args:
          address: 'IP address:port'.
          request: Request to send.
          timeout_seconds: Timeout from connecting to the end of the body.
          may_send: Called right before the first byte; False to send nothing.

        Returns:
          The response with its body.

        Raises:
          ConnectError: If no byte was sent.
          BrokenError: If the response was incomplete or timed out.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await self.open(address, request, may_send=may_send)
                body = await reply.read()
        except TimeoutError as error:
            raise BrokenError(f'{address}: timed out') from error
        return messages.Response(reply.status, reply.headers, body)

    def release(
        self, address: str, connection: connections.Connection
    ) -> None:
        """Return a connection to the pool after a complete response."""
        if connection.h11.their_state is not h11.DONE:
            # The server announced that it closes the connection. The response
            # is complete, but the connection can't be reused.
            connection.writer.close()
            return
        if connection.h11.trailing_data[0]:
            # Bytes after a complete response do not belong to a request.
            connection.writer.close()
            return
        connection.h11.start_next_cycle()
        connection.idle_since = connections.find_time()
        idle = self._idle[address]
        if len(idle) >= IDLE_CONNECTIONS_PER_ADDRESS:
            connection.writer.close()
            return
        idle.append(connection)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.writer.close()
        self._idle.clear()

    def discard_idle(self, address: str, before: float) -> None:
        """Close connections that have been idle since before a time.

        Args:
          address: 'IP address:port' that they lead to.
          before: Loop time in seconds.
        """
        idle = self._idle[address]
        for connection in [
            entry for entry in idle if entry.idle_since < before
        ]:
            idle.remove(connection)
            connection.writer.close()

    async def _acquire(
        self, address: str, fresh: bool
    ) -> connections.Connection:
        idle = self._idle[address]
        while idle and not fresh:
            connection = idle.pop()
            if not connection.is_stale(self._max_idle_seconds):
                return connection
            connection.writer.close()
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                return await connections.open_connection(address)
        except (OSError, ValueError, OverflowError) as error:
            raise ConnectError(f'{address}: {error}') from error

    async def _exchange(self, address, connection, request, is_own) -> Reply:
        events = _build_events(address, request)
        for event in events:
            connection.send(event)
        await connection.writer.drain()
        for _ in range(MAX_SKIPPED_RESPONSES):
            reply = await self._read_head(address, connection)
            if is_own is None or is_own(reply.headers):
                return reply
            await _skip_response(address, connection, events)
        raise BrokenError(f'{address}: too many stray responses')

    async def _read_head(self, address, connection) -> Reply:
        event = await connection.next_event()
        skipped = 0
        while isinstance(event, h11.InformationalResponse):
            skipped += 1
            if skipped > MAX_SKIPPED_RESPONSES:
                raise BrokenError(f'{address}: too many interim responses')
            event = await connection.next_event()
        if not isinstance(event, h11.Response):
            raise BrokenError(f'{address}: closed without a response')
        if _has_two_heads(event):
            raise BrokenError(f'{address}: a head in the middle of another')
        headers = {
            name.decode('ascii'): value.decode('latin-1')
            for name, value in event.headers
        }
        connection.idle_seconds = connections.parse_keep_alive(headers)
        return Reply(event.status_code, headers, self, address, connection)


def _build_events(address: str, request: messages.Request) -> list:
    headers = {'host': address, **request.headers}
    headers['content-length'] = str(len(request.body))
    events = [
        h11.Request(
            method=request.method,
            target=request.target,
            headers=messages.encode_headers(headers),
        )
    ]
    if request.body:
        events.append(h11.Data(data=request.body))
    return [*events, h11.EndOfMessage()]


async def _skip_response(
    address: str, connection: connections.Connection, events
) -> None:
    """Skip a response to another request and prepare h11 for the next."""
    event = await connection.next_event()
    size = 0
    while isinstance(event, h11.Data) and size <= MAX_DISCARDED_BYTES:
        size += len(event.data)
        event = await connection.next_event()
    if not isinstance(event, h11.EndOfMessage):
        raise BrokenError(f'{address}: a stray response ended early')
    if connection.h11.their_state is not h11.DONE:
        raise BrokenError(f'{address}: closed after a stray response')
    connection.h11.start_next_cycle()
    for event in events:
        # The request was sent already; only h11's state is updated, so that
        # it accepts the response.
        connection.h11.send(event)


def _has_two_heads(response: h11.Response) -> bool:
    """Tell whether a head contains the status line of another one."""
    values = (value for _, value in response.headers)
    return any(STATUS_LINE.search(text) for text in (response.reason, *values))


def build_json_request(
    method: str,
    target: str,
    value: object = None,
    headers: dict[str, str] | None = None,
) -> messages.Request:
    """Build a request that carries JSON.

    Args:
      method: Method in upper case.
      target: Path with its query.
      value: Any value that msgspec can encode; None for no body.
      headers: Additional headers by lower-case name.

    Returns:
      The request.
    """
    merged = {'content-type': messages.JSON_TYPE, **(headers or {})}
    body = b'' if value is None else msgspec.json.encode(value)
    return messages.Request(method, target, merged, body)
