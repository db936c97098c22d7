"""Relays between gateways, which learn of each other from their heartbeats.

In the heartbeats that the log service stores, the relay before a gateway
takes the place of the gateway's own address.
"""

import msgspec

from auburnroad_e2e.launch import relay
from auburnroad_gateway.log import service
from auburnroad_gateway.members import membership
from auburnroad_standins import platform_store

RELAY_PORT = 7331
# Position of the address in a heartbeat.
ADDRESS_FIELD = membership.Heartbeat.__struct_fields__.index('address')


class PeerRelays:
    """A relay before the peer port of each gateway.

    Attributes:
      relays: Relays by the name of the gateway behind them.
    """

    __slots__ = ('relays',)

    def __init__(self, store: platform_store.PlatformStore):
        self.relays: dict[str, relay.Relay] = {}
        store.translate = self.translate

    async def add(self, name: str, ip: str, port: int) -> None:
        """Start the relay before a gateway's port."""
        before = relay.Relay(f'{ip}:{RELAY_PORT}', f'{ip}:{port}')
        await before.start()
        self.relays[name] = before

    async def close(self) -> None:
        """Close all relays."""
        for before in self.relays.values():
            await before.close()

    def translate(self, topic: str, record: bytes) -> bytes:
        """Put the relay's address into a heartbeat; others stay as is."""
        decoded = service.decode_keyed(record)
        if topic != membership.TOPIC or not decoded or not decoded[1]:
            return record
        name, value = decoded
        if name not in self.relays:
            return record
        fields = msgspec.msgpack.decode(value)
        fields[ADDRESS_FIELD] = self.relays[name].address
        return service.encode_keyed(name, msgspec.msgpack.encode(fields))
