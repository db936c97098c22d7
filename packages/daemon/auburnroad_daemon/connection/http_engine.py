"""Client of a model engine: HTTP with JSON and server-sent events."""

import typing

import msgspec

from auburnroad_core import decoding
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_daemon.connection import engine

LOAD_TIMEOUT_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 20.0
# Size of one line of a stream of tokens.
MAX_LINE_BYTES = 1 << 20
DATA_PREFIX = b'data:'
END_OF_STREAM = b'[DONE]'


class _OrderResponse(msgspec.Struct):
    versions: dict[str, int]


class HttpEngine:
    """Client of the engine at one address."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def complete(
        self, completion: engine.Completion
    ) -> typing.AsyncGenerator[list[engine.Tokens], None]:
        """Yield lists of tokens until the engine's stream ends.

        Args:
          completion: The request.

        Yields:
          Lists of the events that arrived in one read, never empty.

        Raises:
          EngineUnreachableError: If no byte was sent to the engine.
          EngineRejectedError: If the engine answers with an error status.
          EngineBrokenError: If the connection fails before the stream ends,
            or an event can't be decoded.
        """
        request = client.build_json_request(
            'POST', '/v1/completions', completion
        )
        reply = None
        try:
            reply = await self._client.open(self._address, request)
            if reply.status != 200:
                message = (await reply.read()).decode('utf-8', 'replace')
                raise engine.EngineRejectedError(reply.status, message)
            partial_line = b''
            async for part in reply.iterate():
                *lines, partial_line = (partial_line + part).split(b'\n')
                if len(partial_line) > MAX_LINE_BYTES:
                    raise engine.EngineBrokenError('a line without end')
                events = _parse_events(lines)
                if events:
                    yield events
        except client.ConnectError as error:
            raise engine.EngineUnreachableError(str(error)) from error
        except (client.HttpError, msgspec.DecodeError) as error:
            raise engine.EngineBrokenError(str(error)) from error
        finally:
            if reply is not None:
                reply.close()

    async def cancel(self, request_id: str) -> None:
        """Cancel a request that no client waits for, ignoring failures.

        Args:
          request_id: Id of the request.
        """
        request = client.build_json_request(
            'POST', '/cancel', {'request_id': request_id}
        )
        try:
            await self._client.fetch(
                self._address, request, CANCEL_TIMEOUT_SECONDS
            )
        except client.HttpError:
            # The request runs to its end, unless the engine has stopped.
            return

    async def order(self, order: engine.Order) -> dict[str, int]:
        """Send an order to the engine.

        Args:
          order: The order.

        Returns:
          The engine's weight version by model after the order.

        Raises:
          StaleFenceError: If the engine has a higher fencing token.
          EngineError: If the engine did not confirm the order within
            ORDER_TIMEOUT_SECONDS.
        """
        request = client.build_json_request('POST', '/orders', order)
        response = await self._fetch(request, ORDER_TIMEOUT_SECONDS)
        if response.status == 409:
            raise engine.StaleFenceError(
                f'fencing token {order.fence} is stale'
            )
        return _parse_response(response, _OrderResponse).versions

    async def read_load(self) -> engine.EngineLoad:
        """Read the engine's load report.

        Returns:
          The load and the weight versions; they may be out of date.

        Raises:
          EngineError: If no valid report arrives within
            LOAD_TIMEOUT_SECONDS.
        """
        request = messages.Request('GET', '/load', {})
        response = await self._fetch(request, LOAD_TIMEOUT_SECONDS)
        return _parse_response(response, engine.EngineLoad)

    async def _fetch(self, request, timeout_seconds) -> messages.Response:
        try:
            return await self._client.fetch(
                self._address, request, timeout_seconds
            )
        except client.ConnectError as error:
            raise engine.EngineUnreachableError(str(error)) from error
        except client.HttpError as error:
            raise engine.EngineBrokenError(str(error)) from error


def _parse_response(response: messages.Response, response_type):
    if response.status != 200:
        message = response.body.decode('utf-8', 'replace')
        raise engine.EngineRejectedError(response.status, message)
    try:
        return decoding.decode_json(response.body, response_type)
    except msgspec.DecodeError as error:
        raise engine.EngineBrokenError(str(error)) from error


def _parse_events(lines: list[bytes]) -> list[engine.Tokens]:
    """Parse complete lines of a stream of server-sent events."""
    return [
        decoding.decode_json(line[len(DATA_PREFIX) :], engine.Tokens)
        for line in lines
        if line.startswith(DATA_PREFIX)
        and line[len(DATA_PREFIX) :].strip() != END_OF_STREAM
    ]
