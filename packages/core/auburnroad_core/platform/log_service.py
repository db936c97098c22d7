"""The platform's append-only log service.

LogService is the interface that the product uses; HttpLogService is its only
implementation over the network. An append can fail in three ways that must be
distinguished: refused (not appended), unavailable (not sent), and lost (sent
without a response). The first two raise LogUnavailableError, the last one
AppendLostError.
"""

import typing

import msgspec

from auburnroad_core import decoding
from auburnroad_core import errors
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.log import records

APPEND_TIMEOUT_SECONDS = 3.0
READ_MARGIN_SECONDS = 3.0


class LogError(errors.AuburnroadError):
    """Base class of the errors of the log service."""


class LogUnavailableError(LogError):
    """The log service is unavailable or refused the request.

    No record was appended.
    """


class AppendLostError(LogError):
    """The append may have taken effect; read the stream to check."""


class NewRecord(msgspec.Struct):
    """A record to append.

    Attributes:
      id: Id chosen by the writer, unique for each record.
      data: The record as JSON.
    """

    id: str
    data: msgspec.Raw


class Batch(msgspec.Struct):
    """Records read from a stream.

    Attributes:
      first_offset: Oldest offset that the service still keeps.
      next_offset: Offset after the newest record of the stream.
      records: Records from the requested offset on, oldest first.
    """

    first_offset: int
    next_offset: int
    records: list[records.Entry]


class LogService(typing.Protocol):
    """Interface of the log service."""

    async def append(self, stream: str, batch: list[NewRecord]) -> list[int]:
        """Append records in order and return their offsets.

        Raises:
          LogUnavailableError: If nothing was appended.
          AppendLostError: If the records may have been appended.
        """

    async def read(
        self, stream: str, from_offset: int, wait_seconds: float
    ) -> Batch:
        """Read records from an offset; wait while there are no records.

        Raises:
          LogUnavailableError: If the service can't be read.
        """


class _Appended(msgspec.Struct):
    offsets: list[int]


class HttpLogService:
    """Client of the log service over HTTP and JSON."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def append(self, stream: str, batch: list[NewRecord]) -> list[int]:
        """Append records in order.

        Args:
          stream: Name of the stream.
          batch: Records to append, at least one.

        Returns:
          Offsets of the records.

        Raises:
          LogUnavailableError: If nothing was appended.
          AppendLostError: If the records may have been appended.
        """
        request = client.build_json_request(
            'POST', f'/streams/{stream}/records', {'records': batch}
        )
        try:
            response = await self._client.fetch(
                self._address, request, APPEND_TIMEOUT_SECONDS
            )
        except client.ConnectError as error:
            raise LogUnavailableError(str(error)) from error
        except client.BrokenError as error:
            raise AppendLostError(str(error)) from error
        if response.status in (429, 503):
            raise LogUnavailableError(f'refused with {response.status}')
        try:
            return self._parse(response, _Appended).offsets
        except LogUnavailableError as error:
            # Only status 429 and 503 mean that nothing was appended.
            raise AppendLostError(str(error)) from error

    async def read(
        self, stream: str, from_offset: int, wait_seconds: float
    ) -> Batch:
        """Read records from an offset.

        Args:
          stream: Name of the stream.
          from_offset: Offset of the first record to read; expired records are
            skipped.
          wait_seconds: Maximum time in seconds to wait for the first record.

        Returns:
          The available records, possibly none.

        Raises:
          LogUnavailableError: If the service can't be read.
        """
        target = (
            f'/streams/{stream}/records?from={from_offset}'
            f'&wait_ms={int(wait_seconds * 1000)}'
        )
        request = messages.Request('GET', target, {})
        try:
            response = await self._client.fetch(
                self._address, request, wait_seconds + READ_MARGIN_SECONDS
            )
        except client.HttpError as error:
            raise LogUnavailableError(str(error)) from error
        if response.status != 200:
            raise LogUnavailableError(f'refused with {response.status}')
        return self._parse(response, Batch)

    def _parse(self, response: messages.Response, response_type):
        try:
            return decoding.decode_json(response.body, response_type)
        except msgspec.DecodeError as error:
            raise LogUnavailableError(f'invalid response: {error}') from error
