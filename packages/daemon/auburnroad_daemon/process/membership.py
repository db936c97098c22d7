"""The sides to which an entry may send requests.

The host list is updated with a delay, so it only supplies the addresses to
connect to. A host is eligible while its side has an open stream and has not
announced that it is leaving. A side that stops responding loses its stream,
and a leaving side announces it before the host list shows it.
"""

import asyncio

from absl import logging

from auburnroad_core.platform import host_list
from auburnroad_daemon.connection import side_link

POLL_SECONDS = 1.0
# The host list has about 110 bytes per host and can only be read as a whole.
# Long lists are read less often, so that reading stays near 1 KB per second.
POLL_SECONDS_PER_HOST = 0.1
UNLISTED_REMOVAL_SECONDS = 30.0


class Membership:
    """The links of an entry to the sides on the host list."""

    __slots__ = (
        '_owner',
        '_host_list',
        '_links',
        '_removal_times',
        '_draining',
        '_entries',
    )

    def __init__(
        self,
        owner: side_link.LinkOwner,
        platform_host_list: host_list.HostList,
    ):
        self._owner = owner
        self._host_list = platform_host_list
        self._links: dict[str, side_link.SideLink] = {}
        self._removal_times: dict[str, float] = {}
        self._draining: set[str] = set()
        self._entries: list[host_list.Host] = []

    @property
    def links(self) -> list[side_link.SideLink]:
        """Links to all sides, including disconnected and leaving ones."""
        return list(self._links.values())

    @property
    def entries(self) -> list[host_list.Host]:
        """Entry hosts on the host list."""
        return self._entries

    def set_draining(self, hosts: set[str]) -> None:
        """Set the names of the hosts that operators have ordered to drain."""
        self._draining = hosts

    def is_draining(self, host: str) -> bool:
        """Tell whether operators have ordered a host to drain."""
        return host in self._draining

    def find_links(self, service: str) -> list[side_link.SideLink]:
        """Find the links to hosts that accept requests for a service.

        Args:
          service: Name of the service.

        Returns:
          Connected links to hosts that are live, neither leaving nor draining,
          and not known to lack a ready replica of the service.
        """
        return [
            link
            for link in self._links.values()
            if service in link.services
            and link.connected
            and not link.leaving
            and link.host.state is host_list.HostState.LIVE
            and link.host.name not in self._draining
            and self._may_have_ready_replica(link, service)
        ]

    def count_slots(self, service: str) -> int:
        """Count the slots of a service on the hosts of find_links()."""
        return sum(
            link.loads[service].slots
            for link in self.find_links(service)
            if service in link.loads
        )

    async def run(self) -> None:
        """Read the host list periodically until the task is cancelled."""
        while True:
            try:
                hosts = await self._host_list.read()
            except host_list.HostListError:
                # Keep the current hosts while the host list is unavailable.
                pass
            else:
                await self.update(hosts, asyncio.get_running_loop().time())
            await asyncio.sleep(compute_poll_seconds(len(self._links)))

    async def update(self, hosts: list[host_list.Host], now: float) -> None:
        """Apply a new host list.

        Args:
          hosts: Hosts on the list.
          now: Time of the event loop's clock, in seconds.
        """
        self._entries = [host for host in hosts if host.role == 'entry']
        sides = {host.name: host for host in hosts if host.role == 'side'}
        for name, host in sides.items():
            await self._update_link(name, host)
        for name in list(self._links.keys() - sides.keys()):
            await self._remove_link(name, now)

    async def close(self) -> None:
        """Close every link."""
        links = self.links
        self._links.clear()
        await asyncio.gather(*(link.close() for link in links))

    def _may_have_ready_replica(
        self, link: side_link.SideLink, service: str
    ) -> bool:
        load = link.loads.get(service)
        return load is None or load.ready_replicas > 0

    async def _update_link(self, name: str, host: host_list.Host) -> None:
        self._removal_times.pop(name, None)
        link = self._links.get(name)
        if link is not None and link.host.address != host.address:
            await link.close()
            link = None
        if link is None:
            logging.info('added host %s at %s', name, host.address)
            link = side_link.SideLink(host, self._owner)
            link.start()
            self._links[name] = link
        link.host = host

    async def _remove_link(self, name: str, now: float) -> None:
        """Close the link of an unlisted host once it may be removed.

        Links with pending attempts stay. A connected link stays for at least
        UNLISTED_REMOVAL_SECONDS after its host left the list.
        """
        removal_time = self._removal_times.setdefault(
            name, now + UNLISTED_REMOVAL_SECONDS
        )
        link = self._links[name]
        busy = bool(link.attempts)
        if busy or (link.connected and now < removal_time):
            return
        logging.info('removed host %s', name)
        del self._links[name]
        await link.close()


def compute_poll_seconds(hosts: int) -> float:
    """Compute the delay until the next read of the host list.

    Args:
      hosts: Number of hosts on the list.

    Returns:
      Delay in seconds.
    """
    return max(POLL_SECONDS, hosts * POLL_SECONDS_PER_HOST)
