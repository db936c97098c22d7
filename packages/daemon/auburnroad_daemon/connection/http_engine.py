"""A model engine over HTTP, JSON and server-sent events."""

import typing

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_daemon.connection import engine

LOAD_TIMEOUT_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 20.0
DATA_PREFIX = b'data:'
END_OF_STREAM = b'[DONE]'

_TOKENS = msgspec.json.Decoder(engine.Tokens)


class _OrderAnswer(msgspec.Struct):
    versions: dict[str, int]


class HttpEngine:
    """One engine, by its address."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def complete(
        self, completion: engine.Completion
    ) -> typing.AsyncGenerator[list[engine.Tokens], None]:
        """Yield lists of tokens until the engine says why it stopped.

        Args:
          completion: The request.

        Yields:
          Tokens that came together, at least one.

        Raises:
          EngineUnreachableError: If nothing was sent.
          EngineRejectedError: If the engine does not run it.
          EngineBrokenError: If it ends early.
        """
        request = client.json_request('POST', '/v1/completions', completion)
        reply = None
        try:
            reply = await self._client.open(self._address, request)
            if reply.status != 200:
                message = (await reply.read()).decode('utf-8', 'replace')
                raise engine.EngineRejectedError(reply.status, message)
            rest = b''
            async for part in reply.iterate():
                *lines, rest = (rest + part).split(b'\n')
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
        """Stop a request that nobody waits for; failures don't matter.

        Args:
          request_id: The request's id.
        """
        request = client.json_request(
            'POST', '/cancel', {'request_id': request_id}
        )
        try:
            await self._client.fetch(
                self._address, request, CANCEL_TIMEOUT_SECONDS
            )
        except client.HttpError:
            # The engine ends it by itself, or is gone with it.
            return

    async def order(self, order: engine.Order) -> dict[str, int]:
        """Give an order.

        Args:
          order: The order.

        Returns:
          Weight version by model after it.

        Raises:
          OldFenceError: If the engine obeys a higher fencing number.
          EngineError: If it is not known to be carried out.
        """
        request = client.json_request('POST', '/orders', order)
        response = await self._fetch(request, ORDER_TIMEOUT_SECONDS)
        if response.status == 409:
            raise engine.OldFenceError(f'fence {order.fence} is old')
        return _parse(response, _OrderAnswer).versions

    async def read_load(self) -> engine.EngineLoad:
        """Read what the engine says of itself.

        Returns:
          Its load and versions, some time ago.

        Raises:
          EngineError: If it says nothing.
        """
        request = messages.Request('GET', '/load', {})
        response = await self._fetch(request, LOAD_TIMEOUT_SECONDS)
        return _parse(response, engine.EngineLoad)

    async def _fetch(self, request, timeout_seconds) -> messages.Response:
        try:
            return await self._client.fetch(
                self._address, request, timeout_seconds
            )
        except client.ConnectError as error:
            raise engine.EngineUnreachableError(str(error)) from error
        except client.HttpError as error:
            raise engine.EngineBrokenError(str(error)) from error


def _parse(response: messages.Response, shape):
    if response.status != 200:
        message = response.body.decode('utf-8', 'replace')
        raise engine.EngineRejectedError(response.status, message)
    try:
        return msgspec.json.decode(response.body, type=shape)
    except msgspec.DecodeError as error:
        raise engine.EngineBrokenError(str(error)) from error


def _parse_events(lines: list[bytes]) -> list[engine.Tokens]:
    """Parse the whole lines of a stream of server-sent events."""
    return [
        _TOKENS.decode(line[len(DATA_PREFIX) :])
        for line in lines
        if line.startswith(DATA_PREFIX)
        and line[len(DATA_PREFIX) :].strip() != END_OF_STREAM
    ]
