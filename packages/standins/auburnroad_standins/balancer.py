"""Model of the platform's load balancer in front of the entries.

It polls the readiness of every entry and directs clients to ready entries. It
has no other information about entries, and its view lags by up to one poll.
"""

import asyncio

from auburnroad_core.http import client
from auburnroad_core.http import messages

CHECK_SECONDS = 0.2
CHECK_TIMEOUT_SECONDS = 0.5


class Balancer:
    """Readiness of the entries at their last check."""

    __slots__ = ('_client', '_entries', '_unready')

    def __init__(self, entries: tuple[str, ...]):
        self._client = client.HttpClient()
        self._entries = entries
        self._unready: set[str] = set()

    def is_ready(self, entry: str) -> bool:
        """Tell whether an entry may be used.

        Args:
          entry: Address of the entry.

        Returns:
          True if the entry was ready at its last check, or if no entry was
          ready, so that clients can still try any of them.
        """
        if len(self._unready) == len(self._entries):
            return True
        return entry not in self._unready

    def order(self, entries: list[str]) -> list[str]:
        """Sort ready entries before entries that are not ready.

        Args:
          entries: Addresses in order of preference.

        Returns:
          The same addresses; each of the two groups keeps its order.
        """
        return sorted(entries, key=lambda entry: not self.is_ready(entry))

    async def run(self) -> None:
        """Check all entries periodically until cancelled."""
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
