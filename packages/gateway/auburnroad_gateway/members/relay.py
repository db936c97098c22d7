"""Relays log service calls for gateways that the log service refuses.

The relaying gateway uses only its direct connection to the log service, so
that calls cannot loop between gateways.
"""

import msgspec

from auburnroad_core import decoding
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.log import service

PATH = '/log'
# Longer than the timeout of the relaying gateway's direct call. The wait time
# of a read is added.
TIMEOUT_SECONDS = 2.5


class RelayCall(msgspec.Struct, array_like=True):
    """A log service call to relay.

    Attributes:
      verb: Name of the method, a key of ARGUMENT_TYPES.
      arguments: Arguments, encoded as msgpack.
    """

    verb: str
    arguments: msgspec.Raw


class RelayAnswer(msgspec.Struct, array_like=True):
    """Result of a relayed call.

    Attributes:
      error: Name of an error in ERROR_TYPES; empty if the call succeeded.
      message: Text of the error.
      first_offset: First retained offset if the partition was trimmed;
        otherwise zero.
      result: Result, encoded as msgpack.
    """

    error: str
    message: str = ''
    first_offset: int = 0
    result: msgspec.Raw = msgspec.Raw(b'\xc0')


ARGUMENT_TYPES = {
    'append': tuple[
        str, int, list[bytes], service.Producer | None, int | None
    ],
    'read': tuple[str, int, int, int, int],
    'read_newest': tuple[str],
    'trim': tuple[str, int, int],
}
RESULT_TYPES = {
    'append': int,
    'read': service.Slice,
    'read_newest': service.Snapshot,
    'trim': None,
}
ERROR_TYPES = {
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
    """Execute a relayed call.

    Args:
      log: Direct connection of this host to the log service.
      request: Request of the peer.

    Returns:
      The encoded RelayAnswer; status 400 if the request isn't a valid call.
    """
    try:
        call = decoding.decode_msgpack(request.body, RelayCall)
        argument_types = ARGUMENT_TYPES[call.verb]
        arguments = decoding.decode_msgpack(call.arguments, argument_types)
    except (msgspec.DecodeError, KeyError) as error:
        return messages.Response(400, {}, str(error).encode())
    try:
        result = await getattr(log, call.verb)(*arguments)
        answer = RelayAnswer('', result=_encode(result))
    except service.LogError as error:
        first = getattr(error, 'first_offset', 0)
        answer = RelayAnswer(type(error).__name__, str(error), first)
    return messages.Response(200, {}, msgspec.msgpack.encode(answer))


class PeerLog:
    """Implements service.LogService by relaying calls through one peer."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    def discard_idle_connections(self, before: float) -> None:
        """Close old idle connections; see service.LogService."""
        self._client.discard_idle(self._address, before)

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
        max_bytes=service.MAX_READ_BYTES,
    ) -> service.Slice:
        """Read records; see service.LogService."""
        return await self._call(
            'read',
            wait_ms,
            topic,
            partition,
            from_offset,
            wait_ms,
            max_bytes,
        )

    async def read_newest(self, topic) -> service.Snapshot:
        """Read the newest records; see service.LogService."""
        return await self._call('read_newest', 0, topic)

    async def trim(self, topic, partition, before) -> None:
        """Delete old records; see service.LogService."""
        return await self._call('trim', 0, topic, partition, before)

    async def _call(self, verb, wait_ms, *arguments):
        body = msgspec.msgpack.encode(RelayCall(verb, _encode(arguments)))
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
        return _decode_result(verb, response)


def _decode_result(verb: str, response: messages.Response):
    try:
        answer = decoding.decode_msgpack(response.body, RelayAnswer)
        if not answer.error:
            return decoding.decode_msgpack(answer.result, RESULT_TYPES[verb])
    except msgspec.DecodeError as error:
        raise service.LogLostError(f'peer: invalid answer: {error}') from error
    if answer.error == service.LogTrimmedError.__name__:
        raise service.LogTrimmedError(answer.first_offset)
    error_type = ERROR_TYPES.get(answer.error, service.LogLostError)
    raise error_type(f'peer: {answer.message}')


def _encode(value) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(value))
