"""Base class of tests that send requests to an engine."""

import asyncio
import json

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import testing

DONE = '[DONE]'
TIMEOUT_SECONDS = testing.TIMEOUT_SECONDS


def build_completion(request_id: str, **fields) -> dict:
    """Build the body of a completion."""
    body = {'request_id': request_id, 'model': 'm', 'prompt': 'p'}
    return {**body, 'max_tokens': 8, **fields}


def build_import(request_id: str, data: bytes) -> messages.Request:
    """Build the request that imports a KV cache."""
    return messages.Request('PUT', f'/kv/{request_id}', {}, data)


def parse_json(response: messages.Response) -> dict:
    """Parse a response's body."""
    return json.loads(response.body)


def parse_events(data: bytes) -> list[dict]:
    """Parse complete server-sent events, without the final '[DONE]'."""
    texts = [e.removeprefix('data: ') for e in data.decode().split('\n\n')]
    return [json.loads(e) for e in texts if e and e != DONE]


class EngineTestCase(testing.StandinTestCase):
    """Test case with helpers to start engines and read their streams."""

    async def start_engine(self, **options) -> str:
        """Start an engine with model 'm' loaded at version 0."""
        defaults = {'versions': {'m': 0}, 'token_ms': 1, 'load_lag_ms': 0}
        return await self.start('engine', **{**defaults, **options})

    async def open_stream(self, address: str, body: dict) -> client.Reply:
        """Start a completion and wait for its first event."""
        request = client.build_json_request('POST', '/v1/completions', body)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.http.open(address, request)

    async def complete(self, address: str, body: dict) -> list[dict]:
        """Run a completion and return its events."""
        reply = await self.open_stream(address, body)
        return await self.read_stream(reply)

    async def read_stream(self, reply: client.Reply) -> list[dict]:
        """Read the events of a completion to its end."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return parse_events(await reply.read())

    async def order(self, address: str, version: int, **fields):
        """Order an engine to load a version of model 'm'."""
        body = {'order': 'load_version', 'model': 'm', 'version': version}
        return await self.send(address, 'POST', '/orders', {**body, **fields})

    async def read_runs(self, address: str) -> dict[str, dict]:
        """Read the run records from the books, by request id."""
        found = await self.read_books(address)
        return {run['request_id']: run for run in found['runs']}

    async def wait_for_run(self, address: str, request_id: str, **fields):
        """Wait until the record of a run has the given field values."""

        async def is_recorded() -> bool:
            run = (await self.read_runs(address)).get(request_id)
            return run is not None and fields.items() <= run.items()

        await self.wait_until(is_recorded)
