"""Stand-in of the platform's list of live and leaving hosts, with a lag."""

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core.platform import host_list
from auburnroad_core import registry
from auburnroad_standins import faults
from auburnroad_standins import lagged
from auburnroad_standins import serving

FAULTS = faults.build_registry('host list')
ROUTES = registry.Registry('host list route')


class HostListOptions(serving.Options):
    """Options of the host list.

    Attributes:
      lag_ms: Age of the returned list in milliseconds.
    """

    lag_ms: int = 0


@serving.KINDS.register('host_list')
class HostList:
    """The list of hosts and its history.

    Attributes:
      lag_ms: Age of the returned list in milliseconds.
      down: Whether reads are refused.
    """

    __slots__ = ('_options', '_hosts', '_filled', '_reads', 'lag_ms', 'down')

    OPTIONS = HostListOptions
    FAULTS = FAULTS
    ROUTES = ROUTES

    def __init__(self, options: HostListOptions):
        self._options = options
        self._hosts = lagged.LaggedValue([])
        self._filled = False
        self._reads = 0
        self.lag_ms = options.lag_ms
        self.down = False

    def replace(self, hosts: list[host_list.Host], now_ms: int) -> None:
        """Replace the list; the first list is readable at once.

        Args:
          hosts: All hosts.
          now_ms: Current time in Unix milliseconds.
        """
        if not self._filled:
            self._hosts.replace_first(hosts)
            self._filled = True
            return
        self._hosts.set(hosts, now_ms)

    def read(self, now_ms: int) -> list[host_list.Host]:
        """Read the list of lag_ms ago.

        Args:
          now_ms: Current time in Unix milliseconds.

        Returns:
          The hosts at that time.

        Raises:
          RefusedError: If the host list is down.
        """
        if self.down:
            raise serving.RefusedError(503, 'down')
        self._reads += 1
        return self._hosts.get(now_ms, self.lag_ms)[1]

    def build_books(self) -> object:
        """Build the response body of GET /books: the list without lag."""
        return {'reads': self._reads, 'hosts': self._hosts.newest}

    def end_faults(self) -> None:
        """End all faults."""
        self.down = False
        self.lag_ms = self._options.lag_ms


@ROUTES.register('GET hosts')
async def handle_read(
    hosts: HostList, request: messages.Request
) -> messages.Response:
    """Return the list of lag_ms ago."""
    return messages.build_json_response(200, hosts.read(clock.time_now_ms()))


@ROUTES.register('PUT hosts')
async def handle_replace(
    hosts: HostList, request: messages.Request
) -> messages.Response:
    """Replace the list, even while reads are refused."""
    listed = serving.decode(request, list[host_list.Host])
    hosts.replace(listed, clock.time_now_ms())
    return messages.build_json_response(200, {'hosts': len(listed)})


@FAULTS.register('down')
def apply_down(hosts: HostList, command: faults.Command) -> None:
    """Refuse reads."""
    hosts.down = True


@FAULTS.register('lag')
def apply_lag(hosts: HostList, command: faults.Command) -> None:
    """Change the age of the returned list."""
    hosts.lag_ms = command.lag_ms
