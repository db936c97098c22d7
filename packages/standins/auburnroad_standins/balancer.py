"""The platform's balancer, as far as its users see it.

It asks every entry whether it is ready and sends users to those that are. It
knows nothing else of the entries, and what it knows is a little late.
"""

import asyncio

from auburnroad_core.http import client
from auburnroad_core.http import messages

CHECK_SECONDS = 0.2
CHECK_TIMEOUT_SECONDS = 0.5


class Balancer:
    """Which entries were ready when they were last asked."""

    __slots__ = ('_client', '_entries', '_unready')

    def __init__(self, entries: tuple[str, ...]):
        self._client = client.HttpClient()
        self._entries = entries
        self._unready: set[str] = set()

    def is_ready(self, entry: str) -> bool:
        """Tell whether an entry took work when it was last asked.

        Args:
          entry: Address of the entry.

        Returns:
          True also while no entry at all is ready: then any may be tried.
        """
        if len(self._unready) == len(self._entries):
            return True
        return entry not in self._unready

    def order(self, entries: list[str]) -> list[str]:
        """Put the entries that are ready before the others.

        Args:
          entries: Addresses in the order of preference.

        Returns:
          The same addresses.
        """
        return sorted(entries, key=lambda entry: not self.is_ready(entry))

    async def run(self) -> None:
        """Keep asking until the task is cancelled."""
        while True:
            await asyncio.gather(*(self._check(e) for e in self._entries))
            await asyncio.sleep(CHECK_SECONDS)

    async def _check(self, entry: str) -> None:
        request = messages.Request('GET', '/health/ready', {})
        try:
            response = await self._client.fetch(
                entry, request, CHECK_TIMEOUT_SECONDS
            )
        except client.HttpError:
            self._unready.add(entry)
            return
        if response.status == 200:
            self._unready.discard(entry)
        else:
            self._unready.add(entry)
