"""A server that sends any bytes as an answer and then closes or resets.

Replicas that crash, and paths that break, cut an answer at any byte.
"""

import asyncio
import contextlib
import enum
import socket
import struct
import typing

import msgspec

from auburnroad_core.http import messages

HEAD_END = b'\r\n\r\n'


class Ending(enum.Enum):
    """What follows the bytes of an answer."""

    KEEP = 'keep'
    CLOSE = 'close'
    RESET = 'reset'


# Endings that may cut an answer.
CUT_ENDINGS = (Ending.CLOSE, Ending.RESET)


class Script(msgspec.Struct, frozen=True):
    """What is sent in answer to one request.

    Attributes:
      parts: Bytes, each of which the receiver reads by itself.
      ending: What follows them.
    """

    parts: tuple[bytes, ...]
    ending: Ending = Ending.KEEP


class Framing(msgspec.Struct, frozen=True):
    """How a head states where its body ends.

    Attributes:
      status_line: First line of the head.
      length: Whether the length of the body is stated.
      chunked: Whether the body is sent in chunks; without this and a length it
        ends with its connection.
      interim: Bytes before the head.
      line_end: End of each line of the head.
    """

    status_line: bytes = b'HTTP/1.1 200 OK'
    length: bool = False
    chunked: bool = False
    interim: bytes = b''
    line_end: bytes = b'\r\n'

    @property
    def until_close(self) -> bool:
        """Whether the body ends with its connection."""
        return not self.length and not self.chunked

    def is_whole(self, rest: bytes, ending: Ending) -> bool:
        """Tell whether a body may be whole as received.

        Args:
          rest: Bytes of the framed body that were not sent.
          ending: What follows the bytes that were sent.
        """
        if self.until_close:
            # Nothing else tells the end of such a body.
            return ending is Ending.CLOSE
        return not rest

    def build(
        self, headers: dict[str, str], parts: typing.Sequence[bytes]
    ) -> tuple[bytes, bytes]:
        """Build an answer.

        Args:
          headers: Headers of the answer, without those of its framing.
          parts: Parts of the body, none of them empty.

        Returns:
          The head, including interim answers, and the framed body.
        """
        fields = dict(headers)
        body = b''.join(parts)
        if self.length:
            fields['content-length'] = str(len(body))
        if self.chunked:
            fields['transfer-encoding'] = 'chunked'
            chunks = [b'%x\r\n%s\r\n' % (len(part), part) for part in parts]
            body = b''.join(chunks) + b'0\r\n\r\n'
        lines = [f'{name}: {value}'.encode() for name, value in fields.items()]
        head = self.line_end.join([self.status_line, *lines, b'', b''])
        return self.interim + head, body


FRAMINGS = {
    'length': Framing(length=True),
    'chunked': Framing(chunked=True),
    'until-close': Framing(),
    'old': Framing(b'HTTP/1.0 200 OK'),
    'old-length': Framing(b'HTTP/1.0 200 OK', length=True),
    'no-reason': Framing(b'HTTP/1.1 200', length=True),
    'line-feeds': Framing(length=True, line_end=b'\n'),
    'line-feeds-until-close': Framing(line_end=b'\n'),
    'after-hints': Framing(
        length=True, interim=b'HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n'
    ),
    'after-continue': Framing(interim=b'HTTP/1.1 100 Continue\r\n\r\n'),
}


class CuttingServer:
    """Answers each request as a test says.

    Attributes:
      address: 'IP address:port'.
      kept_requests: Requests that were not the first of their connection.
    """

    __slots__ = (
        'address',
        'kept_requests',
        '_script',
        '_listener',
        '_writers',
    )

    def __init__(
        self, script: typing.Callable[[messages.Request], Script | None]
    ):
        """Create a server that doesn't listen yet.

        Args:
          script: Returns what to send for a request, None for silence.
        """
        self.address = ''
        self.kept_requests = 0
        self._script = script
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._listener = await asyncio.start_server(
            self._accept, '127.0.0.1', 0
        )
        host, port = self._listener.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        for writer in list(self._writers):
            writer.close()

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                request = await _read_request(reader)
                while await self._serve_one(request, reader, writer):
                    request = await _read_request(reader)
                    self.kept_requests += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, request, reader, writer) -> bool:
        script = self._script(request)
        if script is None:
            await reader.read()
            return False
        for number, part in enumerate(script.parts):
            if number:
                # The receiver reads the last part before the next one.
                for _ in range(3):
                    await asyncio.sleep(0)
            writer.write(part)
        if script.ending is Ending.RESET:
            _reset(writer)
        return script.ending is Ending.KEEP


async def _read_request(reader) -> messages.Request:
    head = (await reader.readuntil(HEAD_END)).decode()
    line, *fields = head.split('\r\n')[:-2]
    method, target, _ = line.split()
    headers = dict(field.split(': ', 1) for field in fields)
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size)
    return messages.Request(method, target, headers, body)


def _reset(writer) -> None:
    """Close a connection with a reset, after what was written."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
