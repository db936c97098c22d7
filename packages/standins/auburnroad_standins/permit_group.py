"""Gateways that get permits from one of them, in one process.

Calls between the gateways go straight to the function that answers them, and
fail for gateways that are down.
"""

import types

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.members import permits


class PermitGroup:
    """Permits of several gateways, by their names.

    Attributes:
      granting: Name of the gateway that grants; empty if nobody is chosen.
      down: Names of the gateways that can't be reached.
      permits: Permits by gateway.
      calls: Number of calls between gateways.
    """

    __slots__ = ('granting', 'down', 'permits', 'calls')

    def __init__(self, *names: str):
        self.granting = names[0]
        self.down: set[str] = set()
        self.calls = 0
        self.permits = {name: self._build(name) for name in names}

    async def fetch(
        self, address: str, request: messages.Request, timeout_seconds: float
    ) -> messages.Response:
        """Call the gateway at an address; see HttpClient.fetch."""
        self.calls += 1
        if address in self.down or address not in self.permits:
            raise client.ConnectError(f'{address}: connection refused')
        return await self.permits[address].serve(request)

    def restart(self, name: str) -> None:
        """Let a gateway lose what it knows."""
        self.permits[name] = self._build(name)

    def _build(self, name: str) -> permits.Permits:
        return permits.Permits(
            types.SimpleNamespace(
                incarnation=name, find_address=lambda other: other
            ),
            types.SimpleNamespace(choose_granting=lambda _: self.granting),
            self,
        )
