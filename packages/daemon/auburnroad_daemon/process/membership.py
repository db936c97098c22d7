"""Which sides take work: host list, live streams and leaving notices.

The host list lags, so it only says where to connect. Whether a host takes
work is what its own side says on a live stream; a host that went silent has
no live stream, and one that leaves says so itself before the list does.
"""

import asyncio

from absl import logging

from auburnroad_core.platform import host_list
from auburnroad_daemon.connection import side_link

POLL_SECONDS = 1.0
# A host takes about 110 bytes of the list, which nobody sends in part: long
# lists are read less often, so that reading them stays near 1 KB a second.
POLL_SECONDS_PER_HOST = 0.1
GONE_SECONDS = 30.0


class Membership:
    """The sides that this entry knows, and the links to them."""

    __slots__ = (
        '_owner',
        '_list',
        '_links',
        '_drop_at',
        '_draining',
        '_entries',
    )

    def __init__(
        self, owner: side_link.LinkOwner, platform_list: host_list.HostList
    ):
        self._owner = owner
        self._list = platform_list
        self._links: dict[str, side_link.SideLink] = {}
        self._drop_at: dict[str, float] = {}
        self._draining: set[str] = set()
        self._entries: list[host_list.Host] = []

    @property
    def links(self) -> list[side_link.SideLink]:
        """Links to all known sides."""
        return list(self._links.values())

    @property
    def entries(self) -> list[host_list.Host]:
        """Entry hosts as the host list names them."""
        return self._entries

    def set_draining(self, hosts: set[str]) -> None:
        """Take over which hosts operators have ordered to drain."""
        self._draining = hosts

    def is_draining(self, host: str) -> bool:
        """Tell whether operators have ordered a host to drain."""
        return host in self._draining

    def find_links(self, service: str) -> list[side_link.SideLink]:
        """Find the links to hosts that take work of a service.

        Args:
          service: Service's name.

        Returns:
          Connected links to hosts that neither leave nor drain.
        """
        return [
            link
            for link in self._links.values()
            if service in link.services
            and link.connected
            and not link.leaving
            and link.host.state is host_list.HostState.LIVE
            and link.host.name not in self._draining
            and self._is_ready(link, service)
        ]

    def count_slots(self, service: str) -> int:
        """Count the slots of a service on all hosts that take its work."""
        return sum(
            link.loads[service].slots
            for link in self.find_links(service)
            if service in link.loads
        )

    async def run(self) -> None:
        """Keep following the host list."""
        while True:
            try:
                hosts = await self._list.read()
            except host_list.HostListError:
                # Known hosts stay: a list that is down says nothing new.
                pass
            else:
                await self.update(hosts, asyncio.get_running_loop().time())
            await asyncio.sleep(compute_poll_seconds(len(self._links)))

    async def update(self, hosts: list[host_list.Host], now: float) -> None:
        """Take a new host list over.

        Args:
          hosts: The list.
          now: Seconds on the loop's clock.
        """
        self._entries = [host for host in hosts if host.role == 'entry']
        sides = {host.name: host for host in hosts if host.role == 'side'}
        for name, host in sides.items():
            await self._keep_link(name, host)
        for name in list(self._links.keys() - sides.keys()):
            await self._drop_link(name, now)

    async def close(self) -> None:
        """Close every link."""
        links = self.links
        self._links.clear()
        await asyncio.gather(*(link.close() for link in links))

    def _is_ready(self, link: side_link.SideLink, service: str) -> bool:
        load = link.loads.get(service)
        return load is None or load.ready_replicas > 0

    async def _keep_link(self, name: str, host: host_list.Host) -> None:
        self._drop_at.pop(name, None)
        link = self._links.get(name)
        if link is not None and link.host.address != host.address:
            await link.close()
            link = None
        if link is None:
            logging.info('host %s at %s appeared', name, host.address)
            link = side_link.SideLink(host, self._owner)
            link.start()
            self._links[name] = link
        link.host = host

    async def _drop_link(self, name: str, now: float) -> None:
        """Close a link whose host left the list and has no work left."""
        drop_at = self._drop_at.setdefault(name, now + GONE_SECONDS)
        link = self._links[name]
        busy = bool(link.attempts)
        if busy or (link.connected and now < drop_at):
            return
        logging.info('host %s left', name)
        del self._links[name]
        await link.close()


def compute_poll_seconds(hosts: int) -> float:
    """Compute how long to wait until the host list is read again.

    Args:
      hosts: Hosts on the list.

    Returns:
      Seconds.
    """
    return max(POLL_SECONDS, hosts * POLL_SECONDS_PER_HOST)
