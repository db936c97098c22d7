"""Asks one entry after another until one gives an answer.

Users stand behind the platform's balancer: the pool stays with an entry until
that one fails or is not ready any more.
"""

import asyncio

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import balancer
from auburnroad_standins import record_file

PAUSE_SECONDS = 0.05
FINAL_CODES = ('unknown_step', 'step_not_ready')
STAYING_CODES = ('log_unavailable',)


class UnknownAnswerError(Exception):
    """An answer that docs/API.md doesn't know."""


class EntryPool:
    """The entries in the order in which they are asked."""

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
        """Address of the entry that is asked first."""
        return self._entries[0]

    async def run(self) -> None:
        """Keep asking which entries are ready, until cancelled."""
        await self._balancer.run()

    def rotate(self) -> None:
        """Ask the next entry first from now on."""
        self._entries.append(self._entries.pop(0))

    async def ask(self, request: messages.Request) -> messages.Response:
        """Ask until there is an answer that its asker must handle.

        Args:
          request: The question, which may be repeated.

        Returns:
          A response below 300, a conflict, or a refusal of FINAL_CODES.

        Raises:
          UnknownAnswerError: If the answer isn't one of the documents.
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
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            if response.status < 300 or response.status == 409:
                return response
            if await self._is_final(request, response):
                return response

    async def _is_final(self, request, response) -> bool:
        """Tell whether the asker must handle a refusal; else wait."""
        code = error_code(response)
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
            raise UnknownAnswerError(
                f'{request.target}: {response.status} {response.body!r}'
            )
        if code not in STAYING_CODES:
            self.rotate()
        await asyncio.sleep(retry_after_seconds(response))
        return False


def error_code(response: messages.Response) -> str:
    """Read the code of a refusal.

    Args:
      response: The refusal.

    Returns:
      Its code, or its status when the body has none.
    """
    try:
        return msgspec.json.decode(response.body)['error']['code']
    except (msgspec.DecodeError, KeyError, TypeError):
        return f'status {response.status}'


def retry_after_seconds(response: messages.Response) -> float:
    """Read when to come back.

    Args:
      response: A refusal.

    Returns:
      Seconds, a short pause when the refusal doesn't say.
    """
    return float(response.headers.get('retry-after', PAUSE_SECONDS))
