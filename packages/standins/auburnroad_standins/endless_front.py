"""TCP front of a replica that answers some calls with bytes without end.

It passes other requests on to the replica. A request is recognized by the
first bytes of a received piece, which the gateway's client sends at once.
"""

import asyncio
import collections
import contextlib
import itertools

from auburnroad_core import registry
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica

READ_BYTES = 65536
FILLER = b'x' * 8192
OK = b'HTTP/1.1 200 OK\r\n'
# Bytes without end, by their form: functions that yield them for the headers
# that name the request.
FORMS: registry.Registry = registry.Registry('form')


@FORMS.register('no-response')
def repeat_filler(headers: bytes):
    yield from itertools.repeat(FILLER)


@FORMS.register('head')
def repeat_header(headers: bytes):
    yield OK + headers + b'a: '
    yield from itertools.repeat(FILLER)


@FORMS.register('chunked-body')
def repeat_chunk(headers: bytes):
    yield OK + headers + b'transfer-encoding: chunked\r\n\r\n'
    yield from itertools.repeat(b'2000\r\n' + FILLER + b'\r\n')


@FORMS.register('body-until-close')
def repeat_body(headers: bytes):
    yield OK + headers + b'\r\n'
    yield from itertools.repeat(FILLER)


@FORMS.register('comments')
def repeat_comment(headers: bytes):
    yield OK + headers + b'\r\n'
    yield from itertools.repeat(b': ' + FILLER + b'\n\n')


@FORMS.register('events')
def count_up_events(headers: bytes):
    yield OK + headers + b'\r\n'
    for number in itertools.count():
        yield b'id: %d\ndata: %b\n\n' % (number, FILLER)


class EndlessFront:
    """Stands before one replica.

    Attributes:
      kinds: Kinds of calls that are answered without end.
      form: Name of the form of these answers.
      calls: Number of these answers by kind.
      address: Where it listens.
    """

    def __init__(self, replica: platform_replica.Replica, kinds, form: str):
        self.kinds = frozenset(kinds)
        self.form = form
        self.calls: collections.Counter[str] = collections.Counter()
        self.address = ''
        self._replica = replica
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port of an IP address."""
        self._server = await asyncio.start_server(self._accept, ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening and end all answers."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        inner = None
        try:
            inner = await asyncio.open_connection(
                *self._replica.address.split(':')
            )
            copying = asyncio.create_task(_copy(inner[0], writer))
            self._tasks.add(copying)
            copying.add_done_callback(self._tasks.discard)
            while data := await reader.read(READ_BYTES):
                kind = classify(data)
                if kind in self.kinds:
                    self.calls[kind] += 1
                    copying.cancel()
                    await self._send_endless(writer, data)
                    return
                inner[1].write(data)
        except (OSError, asyncio.CancelledError):
            # The caller has closed, or the test is over.
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
            if inner is not None:
                inner[1].transport.abort()

    async def _send_endless(self, writer, request: bytes) -> None:
        request_id = parse_headers(request).get(platform_calls.REQUEST_ID, '')
        headers = (
            f'{platform_calls.REQUEST_ID}: {request_id}\r\n'
            f'response-stamp: {self._replica.id}.{request_id}\r\n'
            'content-type: text/event-stream\r\n'
        ).encode()
        for part in FORMS.get(self.form)(headers):
            writer.write(part)
            await writer.drain()
            # drain() returns at once while the socket has room.
            await asyncio.sleep(0)


async def _copy(reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()


def parse_headers(request: bytes) -> dict[str, str]:
    """Parse the headers at the beginning of a request."""
    lines = request.partition(b'\r\n\r\n')[0].decode('latin-1').split('\r\n')
    return {
        name.lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines[1:])
    }


def classify(request: bytes) -> str:
    """Tell the kind of a call; empty if the bytes begin no request."""
    method, _, rest = request[:200].partition(b' ')
    if method not in (b'GET', b'POST'):
        return ''
    path = rest.split(b' ')[0].decode('latin-1')
    headers = parse_headers(request)
    if path in ('/-/report', '/-/order'):
        return path.removeprefix('/-/')
    if path.startswith(platform_replica.STREAM_PREFIX):
        return 'resumed' if 'last-event-id' in headers else 'stream'
    if path.startswith('/plain/score'):
        return 'reward'
    if path.startswith(('/plain/', '/once/')):
        return 'request'
    return 'item'
