"""What all stand-ins share: options, routes, faults, books and a process.

A kind is a class that is registered in KINDS under the name that the command
line uses. Its routes are registered by method and first part of the path.
"""

import asyncio
import signal
import typing

import msgspec

from auburnroad_core import errors
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_core import registry
from auburnroad_standins import faults

BODY_LIMIT_BYTES = 256 * 1024 * 1024
ANY_ROUTE = '*'
KINDS: registry.Registry[type] = registry.Registry('stand-in')

# The loop itself holds tasks only weakly.
_UNATTENDED: set[asyncio.Task] = set()

Shape = typing.TypeVar('Shape')


class Options(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Options of every kind.

    Attributes:
      name: Name in the books and answers.
    """

    name: str = ''


class RefusedError(errors.AuburnroadError):
    """A request that is answered with an error."""

    def __init__(self, status: int, code: str, message: str = ''):
        super().__init__(message or code)
        self.status = status
        self.code = code


class LostAnswerError(ConnectionResetError):
    """Closes the connection without an answer."""


class Standin(typing.Protocol):
    """What a kind provides."""

    OPTIONS: type[Options]
    FAULTS: registry.Registry
    ROUTES: registry.Registry

    def build_books(self) -> object:
        """Build the answer of GET /books."""

    def end_faults(self) -> None:
        """End all faults that were commanded."""


def decode(request: messages.Request, shape: type[Shape]) -> Shape:
    """Parse a request's body.

    Args:
      request: The request.
      shape: Type that the body must have.

    Returns:
      The body.

    Raises:
      RefusedError: If the body is not of this type.
    """
    try:
        return msgspec.json.decode(request.body, type=shape)
    except msgspec.DecodeError as error:
        raise RefusedError(400, 'bad_request', str(error)) from error


def read_number(request: messages.Request, name: str) -> int:
    """Parse a query parameter.

    Args:
      request: The request.
      name: Parameter's name; a missing one counts as zero.

    Returns:
      The number.

    Raises:
      RefusedError: If it is no number.
    """
    try:
        return int(request.query.get(name, '0'))
    except ValueError as error:
        raise RefusedError(400, 'bad_request', f'{name}: {error}') from error


def split_path(request: messages.Request, parts: int) -> list[str]:
    """Split a path.

    Args:
      request: The request.
      parts: How many parts it must have.

    Returns:
      The parts.

    Raises:
      RefusedError: If it has another number of parts.
    """
    found = request.path.strip('/').split('/')
    if len(found) != parts:
        raise RefusedError(404, 'unknown_path', request.path)
    return found


async def finish_anyway(work: typing.Coroutine[None, None, Shape]) -> Shape:
    """Await work that goes on when its caller goes away.

    Args:
      work: The coroutine.

    Returns:
      What it returns.
    """
    task = asyncio.ensure_future(work)
    _UNATTENDED.add(task)
    task.add_done_callback(_forget)
    return await asyncio.shield(task)


def _forget(task: asyncio.Task) -> None:
    _UNATTENDED.discard(task)
    # Its caller may be gone; the exception then is nobody's.
    task.cancelled() or task.exception()


async def handle(
    standin: Standin, request: messages.Request
) -> messages.Response:
    """Answer one request.

    Args:
      standin: The stand-in that it is for.
      request: The request.

    Returns:
      The response.

    Raises:
      LostAnswerError: If a fault takes the answer.
    """
    try:
        return await _route(standin, request)
    except RefusedError as refused:
        error = {'code': refused.code, 'message': str(refused)}
        return messages.json_response(refused.status, {'error': error})


async def _route(standin, request) -> messages.Response:
    match request.method, request.path:
        case 'POST', '/faults':
            return _strike(standin, decode(request, faults.Command))
        case 'GET', '/books':
            return messages.json_response(200, standin.build_books())
        case 'GET', '/health':
            return messages.json_response(200, {'ok': True})
    segment = request.path.lstrip('/').partition('/')[0]
    for name in (f'{request.method} {segment}', ANY_ROUTE):
        if name in standin.ROUTES.names:
            return await standin.ROUTES.get(name)(standin, request)
    raise RefusedError(404, 'unknown_path', request.path)


def _strike(standin, command: faults.Command) -> messages.Response:
    try:
        strike = standin.FAULTS.get(command.fault)
    except registry.UnknownNameError as error:
        raise RefusedError(400, 'unknown_fault', str(error)) from error
    strike(standin, command)
    return messages.json_response(200, {'fault': command.fault})


async def start(
    standin: Standin, address: str
) -> tuple[server.HttpServer, str]:
    """Start to serve a stand-in.

    Args:
      standin: The stand-in.
      address: 'IP number:port' to listen on.

    Returns:
      The server and the address that it listens on.

    Raises:
      OSError: If the address can't be had.
    """
    http_server = server.HttpServer(
        lambda request: handle(standin, request),
        server.HttpLimits(body_bytes=BODY_LIMIT_BYTES),
    )
    host, _, port = address.rpartition(':')
    host, port = await http_server.start(host, int(port))
    return http_server, f'{host}:{port}'


def build(kind: str, options: dict[str, object]) -> Standin:
    """Build a stand-in.

    Args:
      kind: Name in KINDS.
      options: Options as the command line gave them.

    Returns:
      The stand-in.

    Raises:
      UnknownNameError: If there is no such kind.
      ValidationError: If the options don't fit the kind.
    """
    kind_class = KINDS.get(kind)
    checked = msgspec.convert(options, kind_class.OPTIONS, strict=False)
    return kind_class(checked)


async def run(standin: Standin, address: str) -> None:
    """Serve one stand-in until the process is told to end.

    Args:
      standin: The stand-in.
      address: 'IP number:port' to listen on; port 0 has one chosen.

    Raises:
      OSError: If the address can't be had.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    http_server, address = await start(standin, address)
    print(f'ready {address}', flush=True)
    await ended.wait()
    await http_server.close()
