"""Decides whether the configuration in force may deny what callers ask for.

Callers take a status of 4xx as final. It is therefore sent only if the
operators' topic was read to its end recently: what this gateway doesn't know
of may have been added since. Requests that wait for a read share it. What the
configuration in force allows needs no such read.
"""

import asyncio

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.model import settings as gateway_settings

# Part of the bound of a configuration up to which a read is recent; the rest
# is for the request's way to this gateway and for clocks of callers.
MAX_AGE_SHARE = 0.5
READ_TIMEOUT_SECONDS = 0.4


class Currency:
    """Tells how old the reading of the operators' topic is.

    Attributes:
      settings: Settings of the gateway.
    """

    __slots__ = ('settings', '_operator_tail', '_reading')

    def __init__(
        self,
        settings: gateway_settings.Settings,
        operator_tail: tail.Tail,
    ):
        self.settings = settings
        self._operator_tail = operator_tail
        self._reading: asyncio.Task | None = None

    @property
    def age_seconds(self) -> float:
        """Seconds since the sending of the last read up to the end.

        Infinite if there was none.
        """
        read_at = self._operator_tail.complete_at
        return clock.read_boot_clock_seconds() - read_at

    @property
    def is_recent(self) -> bool:
        """Whether a request may be denied by the configuration in force."""
        bound_seconds = self.settings.bounds.configuration_ms / 1000
        return self.age_seconds <= MAX_AGE_SHARE * bound_seconds

    async def confirm(self) -> bool:
        """Read the operators' topic to its end unless that was done recently.

        Returns:
          Whether a request may be denied by the configuration that is in
          force now.
        """
        if not self.is_recent:
            await self.read()
        return self.is_recent

    async def read(self) -> None:
        """Read the operators' topic to its end, if the log can be read."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_to_end())
        # The read goes on for other requests if this one is cancelled.
        await asyncio.shield(self._reading)

    async def _read_to_end(self) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                await self._operator_tail.catch_up()
        except (service.LogError, TimeoutError):
            # The age of the last read tells that this one failed.
            return
