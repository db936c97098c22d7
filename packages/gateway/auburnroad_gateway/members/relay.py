"""Calls of the log service on behalf of a gateway that it turns away.

The gateway that is asked only uses its direct way, so that calls never
travel in a circle.
"""

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.log import service

PATH = '/log'
# An upper limit over the direct call's own; reads add what they wait for.
TIMEOUT_SECONDS = 2.5


class Call(msgspec.Struct, array_like=True):
    """One relayed call.

    Attributes:
      verb: Name of a call in VERBS.
      arguments: Its arguments in msgpack.
    """

    verb: str
    arguments: msgspec.Raw


class Answer(msgspec.Struct, array_like=True):
    """What became of a relayed call.

    Attributes:
      error: Name of an error in ERRORS, empty if it was carried out.
      message: The error's text.
      first_offset: First kept offset, for a trimmed partition.
      result: The result in msgpack.
    """

    error: str
    message: str = ''
    first_offset: int = 0
    result: msgspec.Raw = msgspec.Raw(b'\xc0')


VERBS = {
    'append': tuple[
        str, int, list[bytes], service.Producer | None, int | None
    ],
    'read': tuple[str, int, int, int, int],
    'read_newest': tuple[str],
    'trim': tuple[str, int, int],
}
RESULTS = {
    'append': int,
    'read': service.Slice,
    'read_newest': service.Snapshot,
    'trim': None,
}
ERRORS = {
    error.__name__: error
    for error in (
        service.LogRefusedError,
        service.LogLostError,
        service.LogConflictError,
        service.LogTrimmedError,
    )
}


async def serve(
    log: service.LogService, request: messages.Request
) -> messages.Response:
    """Carry out a relayed call.

    Args:
      log: The log service as this host reaches it.
      request: The peer's request.

    Returns:
      The answer; 400 for what isn't a call.
    """
    try:
        call = msgspec.msgpack.decode(request.body, type=Call)
        shape = VERBS[call.verb]
        arguments = msgspec.msgpack.decode(call.arguments, type=shape)
    except (msgspec.DecodeError, KeyError) as error:
        return messages.Response(400, {}, str(error).encode())
    try:
        result = await getattr(log, call.verb)(*arguments)
        answer = Answer('', result=_pack(result))
    except service.LogError as error:
        first = getattr(error, 'first_offset', 0)
        answer = Answer(type(error).__name__, str(error), first)
    return messages.Response(200, {}, msgspec.msgpack.encode(answer))


class PeerLog:
    """Implements service.LogService through one peer."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def append(
        self, topic, partition, records, producer=None, expected_end=None
    ) -> int:
        """Append records; see service.LogService."""
        return await self._call(
            'append', 0, topic, partition, records, producer, expected_end
        )

    async def read(
        self,
        topic,
        partition,
        from_offset,
        wait_ms,
        most_bytes=service.READ_BYTES,
    ) -> service.Slice:
        """Read records; see service.LogService."""
        return await self._call(
            'read',
            wait_ms,
            topic,
            partition,
            from_offset,
            wait_ms,
            most_bytes,
        )

    async def read_newest(self, topic) -> service.Snapshot:
        """Read the newest records; see service.LogService."""
        return await self._call('read_newest', 0, topic)

    async def trim(self, topic, partition, before) -> None:
        """Delete old records; see service.LogService."""
        return await self._call('trim', 0, topic, partition, before)

    async def _call(self, verb, wait_ms, *arguments):
        body = msgspec.msgpack.encode(Call(verb, _pack(arguments)))
        request = messages.Request('POST', PATH, {}, body)
        timeout = TIMEOUT_SECONDS + wait_ms / 1000
        try:
            response = await self._client.fetch(
                self._address, request, timeout
            )
        except client.ConnectError as error:
            raise service.LogRefusedError(f'peer: {error}') from error
        except client.HttpError as error:
            raise service.LogLostError(f'peer: {error}') from error
        return _take_result(verb, response)


def _take_result(verb: str, response: messages.Response):
    try:
        answer = msgspec.msgpack.decode(response.body, type=Answer)
        if not answer.error:
            return msgspec.msgpack.decode(answer.result, type=RESULTS[verb])
    except msgspec.DecodeError as error:
        raise service.LogLostError(f'peer: not an answer: {error}') from error
    if answer.error == service.LogTrimmedError.__name__:
        raise service.LogTrimmedError(answer.first_offset)
    known = ERRORS.get(answer.error, service.LogLostError)
    raise known(f'peer: {answer.message}')


def _pack(value) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(value))
