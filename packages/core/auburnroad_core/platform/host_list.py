"""The platform's list of live and leaving hosts, which may be out of date."""

import enum
import typing

import msgspec

from auburnroad_core import decoding
from auburnroad_core import errors
from auburnroad_core.http import client
from auburnroad_core.http import messages

READ_TIMEOUT_SECONDS = 3.0


class HostListError(errors.AuburnroadError):
    """The host list is currently unavailable."""


class HostState(enum.StrEnum):
    """State of a host according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Host(msgspec.Struct, frozen=True):
    """A host in the platform's host list.

    Attributes:
      name: Host's name.
      role: 'entry' or 'side'.
      address: 'IP address:port' for streams to the daemon on the host.
      failure_domain: Failure domain of the host.
      state: Live or leaving; may be out of date.
    """

    name: str
    role: str
    address: str
    failure_domain: str
    state: HostState


class HostList(typing.Protocol):
    """Interface of the host list."""

    async def read(self) -> list[Host]:
        """Read the hosts, whose states may be out of date.

        Raises:
          HostListError: If the list is currently unavailable.
        """


class HttpHostList:
    """Client of the host list over HTTP and JSON."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def read(self) -> list[Host]:
        """Read the hosts, whose states may be out of date.

        Returns:
          All live and leaving hosts.

        Raises:
          HostListError: If the list is currently unavailable.
        """
        try:
            response = await self._client.fetch(
                self._address,
                messages.Request('GET', '/hosts', {}),
                READ_TIMEOUT_SECONDS,
            )
            if response.status != 200:
                raise HostListError(f'refused with {response.status}')
            return decoding.decode_json(response.body, list[Host])
        except (client.HttpError, msgspec.DecodeError) as error:
            raise HostListError(str(error)) from error
