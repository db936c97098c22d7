"""The platform's lagging list of live and leaving hosts."""

import enum
import typing

import msgspec

from auburnroad_core import errors
from auburnroad_core.http import client
from auburnroad_core.http import messages

READ_TIMEOUT_SECONDS = 3.0


class HostListError(errors.AuburnroadError):
    """The host list can't be read now."""


class HostState(enum.StrEnum):
    """What the platform says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Host(msgspec.Struct, frozen=True):
    """A host as the platform lists it.

    Attributes:
      name: Host's name.
      role: 'entry' or 'side'.
      address: 'IP number:port' of the daemon's stream.
      failure_domain: Failure domain of the host.
      state: Live or leaving, as known some time ago.
    """

    name: str
    role: str
    address: str
    failure_domain: str
    state: HostState


class HostList(typing.Protocol):
    """What the product needs of the host list."""

    async def read(self) -> list[Host]:
        """Read the hosts as they were some time ago.

        Raises:
          HostListError: If the list can't be read now.
        """


class HttpHostList:
    """The host list over HTTP and JSON."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def read(self) -> list[Host]:
        """Read the hosts as they were some time ago.

        Returns:
          All live and leaving hosts.

        Raises:
          HostListError: If the list can't be read now.
        """
        try:
            response = await self._client.fetch(
                self._address,
                messages.Request('GET', '/hosts', {}),
                READ_TIMEOUT_SECONDS,
            )
            if response.status != 200:
                raise HostListError(f'refused with {response.status}')
            return msgspec.json.decode(response.body, type=list[Host])
        except (client.HttpError, msgspec.DecodeError) as error:
            raise HostListError(str(error)) from error
