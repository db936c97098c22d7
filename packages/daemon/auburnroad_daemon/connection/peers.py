"""The other entries, as this entry knows them.

They come from the settings, so that a start during an outage of the platform
finds someone to ask, and from the host list.
"""

import asyncio

import xxhash

from auburnroad_core.platform import host_list
from auburnroad_daemon.connection import peer_link


class Peers:
    """Links to the other entries."""

    __slots__ = (
        '_owner',
        '_owner_name',
        '_own_address',
        '_failure_domain',
        '_links',
    )

    def __init__(
        self,
        owner: peer_link.PeerOwner,
        owner_name: str,
        own_address: str,
        failure_domain: str,
    ):
        self._owner = owner
        self._owner_name = owner_name
        self._own_address = own_address
        self._failure_domain = failure_domain
        self._links: dict[str, peer_link.PeerLink] = {}

    @property
    def links(self) -> list[peer_link.PeerLink]:
        """Links to all of them, without one that led back to this entry."""
        return [
            link
            for link in self._links.values()
            if link.name != self._owner_name
        ]

    def update(self, addresses: list[str]) -> None:
        """Begin links to entries that are new.

        Args:
          addresses: Stream addresses; this entry's own one is passed over.
        """
        for address in addresses:
            if address != self._own_address and address not in self._links:
                link = peer_link.PeerLink(address, self._owner)
                self._links[address] = link
                link.start()

    def update_hosts(self, hosts: list[host_list.Host]) -> None:
        """Begin links to entries that the host list names."""
        self.update([host.address for host in hosts])

    def find(self, name: str) -> peer_link.PeerLink | None:
        """Find the link to an entry by its name.

        Args:
          name: Daemon's name.

        Returns:
          The link, or None when no entry of that name was met.
        """
        for link in self.links:
            if link.name == name:
                return link
        return None

    def choose_holder(self) -> peer_link.PeerLink | None:
        """Choose the entry that holds copies for this one.

        Returns:
          A connected entry, in another failure domain if there is one; the
          same one for as long as it is connected.
        """
        connected = [
            link for link in self.links if link.connected and not link.leaving
        ]
        return max(connected, key=self._rank_holder, default=None)

    def _rank_holder(self, link: peer_link.PeerLink):
        apart = link.failure_domain != self._failure_domain
        pair = f'{self._owner_name}|{link.name}'
        return apart, xxhash.xxh3_64_intdigest(pair.encode())

    async def close(self) -> None:
        """Close every link."""
        await asyncio.gather(*(link.close() for link in self._links.values()))
