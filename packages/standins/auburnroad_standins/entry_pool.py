"""Client of several entries that retries requests at the next entry.

Callers and trainers use the entries through the platform's load balancer, so
the pool uses one entry until it fails or is no longer ready.
"""

import asyncio

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import balancer
from auburnroad_standins import record_file

RETRY_SECONDS = 0.05
FINAL_CODES = ('unknown_step', 'step_not_ready')
SAME_ENTRY_CODES = ('log_unavailable',)


class UnexpectedResponseError(Exception):
    """A response that docs/API.md does not describe."""


class EntryPool:
    """The entries in the order in which they are tried."""

    __slots__ = (
        '_balancer',
        '_books',
        '_client',
        '_entries',
        '_timeout_seconds',
    )

    def __init__(
        self,
        entries: tuple[str, ...],
        books: record_file.RecordFile,
        timeout_seconds: float,
    ):
        self._balancer = balancer.Balancer(entries)
        self._books = books
        self._client = client.HttpClient()
        self._entries = list(entries)
        self._timeout_seconds = timeout_seconds

    @property
    def current(self) -> str:
        """Address of the entry that gets the next request."""
        return self._entries[0]

    async def run(self) -> None:
        """Check the readiness of the entries until cancelled."""
        await self._balancer.run()

    def rotate(self) -> None:
        """Move the current entry to the end of the order."""
        self._entries.append(self._entries.pop(0))

    async def send(self, request: messages.Request) -> messages.Response:
        """Send a request and retry it until a response is final.

        Args:
          request: An idempotent request.

        Returns:
          A response with a status below 300 or 409, or a refusal with one of
          FINAL_CODES.

        Raises:
          UnexpectedResponseError: If the protocol does not allow the response.
        """
        while True:
            self._entries = self._balancer.order(self._entries)
            try:
                response = await self._client.fetch(
                    self.current, request, self._timeout_seconds
                )
            except client.HttpError as error:
                self._books.write(
                    'failed',
                    entry=self.current,
                    target=request.target,
                    kind=type(error).__name__,
                    error=str(error),
                )
                self.rotate()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if response.status < 300 or response.status == 409:
                return response
            if await self._is_final(request, response):
                return response

    async def _is_final(self, request, response) -> bool:
        """Tell whether a refusal is final; if not, wait for the retry."""
        code = parse_error_code(response)
        self._books.write(
            'refused',
            entry=self.current,
            target=request.target,
            status=response.status,
            code=code,
        )
        if code in FINAL_CODES:
            return True
        if response.status not in (404, 503):
            raise UnexpectedResponseError(
                f'{request.target}: {response.status} {response.body!r}'
            )
        if code not in SAME_ENTRY_CODES:
            self.rotate()
        await asyncio.sleep(parse_retry_after(response))
        return False


def parse_error_code(response: messages.Response) -> str:
    """Parse the error code of a refusal.

    Args:
      response: The refusal.

    Returns:
      The code, or 'status NNN' if the body has no code.
    """
    try:
        return msgspec.json.decode(response.body)['error']['code']
    except (msgspec.DecodeError, KeyError, TypeError):
        return f'status {response.status}'


def parse_retry_after(response: messages.Response) -> float:
    """Parse the time to wait before a retry.

    Args:
      response: A refusal.

    Returns:
      The seconds of 'retry-after', or RETRY_SECONDS without that header.
    """
    return float(response.headers.get('retry-after', RETRY_SECONDS))
