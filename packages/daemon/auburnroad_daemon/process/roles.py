"""Registry of the daemon's roles by their name in the settings."""

import typing

from auburnroad_core import registry
from auburnroad_core.settings import daemon


class Role(typing.Protocol):
    """Interface of a role for the main program."""

    async def start(self) -> None:
        """Start listening and start the background tasks.

        Raises:
          OSError: If an address of the settings can't be bound.
        """

    def drain(self) -> None:
        """Begin a planned stop; further calls have no effect."""

    async def wait_closed(self) -> None:
        """Wait until the planned stop is complete."""


ROLES: registry.Registry[typing.Callable[[daemon.Daemon], Role]] = (
    registry.Registry('role')
)
