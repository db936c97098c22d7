"""Links from this entry to the other entries.

Their addresses come from the host list, and also from the settings, so that
an entry that starts during an outage of the platform can reach its peers.
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
        """Links to all other entries, without any link to this entry."""
        return [
            link
            for link in self._links.values()
            if link.name != self._owner_name
        ]

    def update(self, addresses: list[str]) -> None:
        """Open links to new addresses.

        Args:
          addresses: Stream addresses of entries; the address of this entry
            is skipped.
        """
        for address in addresses:
            if address != self._own_address and address not in self._links:
                link = peer_link.PeerLink(address, self._owner)
                self._links[address] = link
                link.start()

    def update_hosts(self, hosts: list[host_list.Host]) -> None:
        """Open links to the entries of the host list."""
        self.update([host.address for host in hosts])

    def find(self, name: str) -> peer_link.PeerLink | None:
        """Find the link to an entry by the entry's name.

        Args:
          name: Name of the daemon.

        Returns:
          The link, or None if no entry has sent a Hello with that name.
        """
        for link in self.links:
            if link.name == name:
                return link
        return None

    def choose_holder(self) -> peer_link.PeerLink | None:
        """Choose the entry that holds the ledger copies of this entry.

        Returns:
          A connected entry that is not leaving, if possible in another
          failure domain, or None. Rendezvous hashing keeps the choice stable
          while the same entries are connected.
        """
        connected = [
            link for link in self.links if link.connected and not link.leaving
        ]
        return max(connected, key=self._rank_holder, default=None)

    def _rank_holder(self, link: peer_link.PeerLink):
        is_other_domain = link.failure_domain != self._failure_domain
        pair = f'{self._owner_name}|{link.name}'
        return is_other_domain, xxhash.xxh3_64_intdigest(pair.encode())

    async def close(self) -> None:
        """Close every link."""
        await asyncio.gather(*(link.close() for link in self._links.values()))
