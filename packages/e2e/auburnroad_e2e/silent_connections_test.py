"""Tests that a gateway learns of changes after connections went silent.

The connections between gateways and to the log service stay open and carry
nothing more, while new ones work.
"""

import asyncio
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import server
from auburnroad_e2e.launch import loopback
from auburnroad_e2e.launch import relay as relays
from auburnroad_gateway.log import detour
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import relay
from auburnroad_gateway.model import settings
from auburnroad_platform import log_client
from auburnroad_standins import loop_clock
from auburnroad_standins import platform_store

TOPIC = 'keyed.op'
PACE_SECONDS = 0.05
# The users' bound within which a host is in touch again after its connections
# were lost (contactMs of the smaller deployments).
CONTACT_SECONDS = 3.0
STEP_SECONDS = 0.05
# Iterations of the event loop in each step of the clock, in which bytes pass
# from a host through relays and a peer to the log service and back.
STEP_ITERATIONS = 60
LIMIT_SECONDS = 30.0


class Host:
    """A gateway's paths to the log service, behind relays."""

    def __init__(self, name):
        self.name = name
        self.values = {}
        self.peers = []
        self.relays = []
        self.peer_address = ''

    async def start(self, store, network, number):
        ip = f'{network.prefix}.{10 + number}'
        store_address = await store.listen(self.name, ip)
        self.direct = log_client.PlatformLog(
            await self._place_relay(f'{ip}:7330', store_address),
            client.HttpClient(max_idle_seconds=service.MAX_IDLE_SECONDS),
        )
        self.peer_client = client.HttpClient(
            max_idle_seconds=service.MAX_IDLE_SECONDS
        )
        self.server = server.HttpServer(
            lambda request: relay.serve(self.direct, request)
        )
        bound = await self.server.start(ip, 0)
        self.peer_address = await self._place_relay(
            f'{ip}:7331', f'{bound[0]}:{bound[1]}'
        )
        self.log = detour.DetourLog(
            self.direct, lambda: self.peers, self._open_peer
        )
        self.tail = tail.KeyedTail(
            self.log,
            TOPIC,
            self._collect,
            PACE_SECONDS,
            settings.Bounds().configuration_poll_ms,
        )

    def _open_peer(self, address):
        return relay.PeerLog(address, self.peer_client)

    def _collect(self, record):
        self.values[record.key] = record.value

    async def _place_relay(self, address, target):
        placed = relays.Relay(address, target)
        await placed.start()
        self.relays.append(placed)
        return address


class HostsTestCase(unittest.IsolatedAsyncioTestCase):
    """Three hosts that follow one keyed topic."""

    async def asyncSetUp(self):
        self.clock = loop_clock.LoopClock(frozen=True)
        self.network = loopback.Network()
        self.addCleanup(self.network.close)
        self.store = platform_store.PlatformStore()
        self.addAsyncCleanup(self.store.close)
        self.hosts = [Host(name) for name in ('a', 'b', 'c')]
        for number, host in enumerate(self.hosts):
            await host.start(self.store, self.network, number)
            self.addAsyncCleanup(self.close_host, host)
        for host in self.hosts:
            host.peers = [
                peer.peer_address for peer in self.hosts if peer is not host
            ]

    async def close_host(self, host):
        for placed in host.relays:
            await placed.close()
        await host.server.close()

    async def advance_until(self, condition):
        """Move the clock until a condition holds; return the seconds."""
        advanced = 0.0
        while not condition():
            self.assertLess(advanced, LIMIT_SECONDS)
            await self.step(STEP_SECONDS)
            advanced += STEP_SECONDS
        return advanced

    async def step(self, seconds):
        """Move the clock, and let what is due then be done."""
        self.clock.advance(seconds)
        for _ in range(STEP_ITERATIONS):
            await asyncio.sleep(0)

    async def open_connections(self, host):
        """Leave idle connections to the log service and to each peer."""
        await asyncio.gather(
            *(host.direct.read(TOPIC, 0, 0, 0) for _ in range(6)),
            *(
                host._open_peer(peer).read(TOPIC, 0, 0, 0)
                for peer in host.peers
                for _ in range(2)
            ),
        )

    async def start_tails(self):
        """Let all hosts follow the topic until the end of the test."""
        for host in self.hosts:
            task = asyncio.create_task(host.tail.run())
            self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
            self.addCleanup(task.cancel)
        await self.advance_until(
            lambda: all(host.tail.is_loaded for host in self.hosts)
        )


class SilentConnectionsTest(HostsTestCase):
    """All open connections go silent at once."""

    async def test_change_is_read_once_hosts_are_in_touch_again(self):
        """A change was read 13 s after all connections went silent.

        The direct path and both peers failed one after the other, each time
        on a further pooled connection that was silent.
        """
        self.store.log.put(TOPIC, 'config', b'1')
        tasks = [asyncio.create_task(host.tail.run()) for host in self.hosts]
        try:
            await self.advance_until(
                lambda: all(host.tail.is_loaded for host in self.hosts)
            )
            for host in self.hosts:
                await self.open_connections(host)
            for host in self.hosts:
                for placed in host.relays:
                    placed.silence(relays.Direction.BOTH, lasting=False)
            self.store.log.put(TOPIC, 'config', b'2')
            seconds = await self.advance_until(
                lambda: all(
                    host.values['config'] == b'2' for host in self.hosts
                )
            )
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.assertLessEqual(seconds, CONTACT_SECONDS)
