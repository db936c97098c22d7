"""Common base of all stand-ins: options, routes, faults, books and process.

A kind of stand-in is a class, registered in KINDS under its command-line
name. Its routes are registered by method and first segment of the path.
'Books' are the records of a stand-in's actions, returned by GET /books.
"""

import asyncio
import signal
import typing

import msgspec

from auburnroad_core import errors
from auburnroad_core.http import limits
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_core import registry
from auburnroad_standins import faults

BODY_LIMIT_BYTES = 256 * 1024 * 1024
ANY_ROUTE = '*'
KINDS: registry.Registry[type] = registry.Registry('stand-in')

# Keeps tasks alive, since the event loop holds only weak references to them.
_BACKGROUND_TASKS: set[asyncio.Task] = set()

Shape = typing.TypeVar('Shape')


class Options(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Options of every kind.

    Attributes:
      name: Name of the stand-in in its books and responses.
    """

    name: str = ''


class RefusedError(errors.AuburnroadError):
    """The request is refused; its response has a status and an error code."""

    def __init__(self, status: int, code: str, message: str = ''):
        super().__init__(message or code)
        self.status = status
        self.code = code


class LostAnswerError(ConnectionResetError):
    """The server must close the connection without a response."""


class Standin(typing.Protocol):
    """Interface of a kind of stand-in."""

    OPTIONS: type[Options]
    FAULTS: registry.Registry
    ROUTES: registry.Registry

    def build_books(self) -> object:
        """Build the response body of GET /books."""

    def end_faults(self) -> None:
        """End all active faults."""


def decode(request: messages.Request, shape: type[Shape]) -> Shape:
    """Parse a request's body.

    Args:
      request: The request.
      shape: Type of the body.

    Returns:
      The decoded body.

    Raises:
      RefusedError: If the body is not JSON of this type.
    """
    try:
        return msgspec.json.decode(request.body, type=shape)
    except msgspec.DecodeError as error:
        raise RefusedError(400, 'bad_request', str(error)) from error


def parse_number(request: messages.Request, name: str) -> int:
    """Parse a query parameter.

    Args:
      request: The request.
      name: Name of the parameter.

    Returns:
      The number; 0 if the parameter is missing.

    Raises:
      RefusedError: If the value is not an integer.
    """
    try:
        return int(request.query.get(name, '0'))
    except ValueError as error:
        raise RefusedError(400, 'bad_request', f'{name}: {error}') from error


def split_path(request: messages.Request, parts: int) -> list[str]:
    """Split the path of a request into its segments.

    Args:
      request: The request.
      parts: Required number of segments.

    Returns:
      The segments.

    Raises:
      RefusedError: If the number of segments differs.
    """
    found = request.path.strip('/').split('/')
    if len(found) != parts:
        raise RefusedError(404, 'unknown_path', request.path)
    return found


async def run_shielded(work: typing.Coroutine[None, None, Shape]) -> Shape:
    """Await a coroutine that keeps running if the awaiting task is cancelled.

    Args:
      work: The coroutine.

    Returns:
      The coroutine's result.
    """
    task = asyncio.ensure_future(work)
    _BACKGROUND_TASKS.add(task)
    task.add_done_callback(_discard_task)
    return await asyncio.shield(task)


def _discard_task(task: asyncio.Task) -> None:
    _BACKGROUND_TASKS.discard(task)
    # Marks the exception as retrieved, since the awaiting task may have been
    # cancelled.
    task.cancelled() or task.exception()


async def handle(
    standin: Standin, request: messages.Request
) -> messages.Response:
    """Handle one request.

    Args:
      standin: The stand-in that received the request.
      request: The request.

    Returns:
      The response.

    Raises:
      LostAnswerError: If a fault drops the response.
    """
    try:
        return await _route(standin, request)
    except RefusedError as refused:
        error = {'code': refused.code, 'message': str(refused)}
        return messages.build_json_response(refused.status, {'error': error})


async def _route(standin, request) -> messages.Response:
    match request.method, request.path:
        case 'POST', '/faults':
            return _apply_fault(standin, decode(request, faults.Command))
        case 'GET', '/books':
            return messages.build_json_response(200, standin.build_books())
        case 'GET', '/health':
            return messages.build_json_response(200, {'ok': True})
    segment = request.path.lstrip('/').partition('/')[0]
    for name in (f'{request.method} {segment}', ANY_ROUTE):
        if name in standin.ROUTES.names:
            return await standin.ROUTES.get(name)(standin, request)
    raise RefusedError(404, 'unknown_path', request.path)


def _apply_fault(standin, command: faults.Command) -> messages.Response:
    try:
        apply = standin.FAULTS.get(command.fault)
    except registry.UnknownNameError as error:
        raise RefusedError(400, 'unknown_fault', str(error)) from error
    apply(standin, command)
    return messages.build_json_response(200, {'fault': command.fault})


async def start(
    standin: Standin, address: str
) -> tuple[server.HttpServer, str]:
    """Start the server of a stand-in.

    Args:
      standin: The stand-in.
      address: 'IP:port' to listen on.

    Returns:
      The server and its bound address.

    Raises:
      OSError: If the address can't be bound.
    """
    http_server = server.HttpServer(
        lambda request: handle(standin, request),
        limits.HttpLimits(body_bytes=BODY_LIMIT_BYTES),
    )
    host, _, port = address.rpartition(':')
    host, port = await http_server.start(host, int(port))
    return http_server, f'{host}:{port}'


def build(kind: str, options: dict[str, object]) -> Standin:
    """Build a stand-in.

    Args:
      kind: Name in KINDS.
      options: Values of the command-line options.

    Returns:
      The stand-in.

    Raises:
      UnknownNameError: If the kind is not registered.
      ValidationError: If the kind does not accept the options.
    """
    kind_class = KINDS.get(kind)
    checked = msgspec.convert(options, kind_class.OPTIONS, strict=False)
    return kind_class(checked)


async def run(standin: Standin, address: str) -> None:
    """Serve one stand-in until SIGTERM or SIGINT.

    Args:
      standin: The stand-in.
      address: 'IP:port' to listen on; port 0 selects a free port.

    Raises:
      OSError: If the address can't be bound.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    http_server, address = await start(standin, address)
    print(f'ready {address}', flush=True)
    await ended.wait()
    await http_server.close()
