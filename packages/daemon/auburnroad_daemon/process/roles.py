"""The roles that one binary can take, by the name that settings use."""

import typing

from auburnroad_core import registry
from auburnroad_core.settings import daemon


class Role(typing.Protocol):
    """A running daemon as the main program drives it."""

    async def start(self) -> None:
        """Listen and begin to work.

        Raises:
          OSError: If an address of the settings can't be had.
        """

    def drain(self) -> None:
        """Begin a planned stop; calling it again changes nothing."""

    async def wait_closed(self) -> None:
        """Wait until a planned stop is complete."""


ROLES: registry.Registry[typing.Callable[[daemon.Daemon], Role]] = (
    registry.Registry('role')
)
