"""Tests of the weights' way from the store to the host."""

import asyncio
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_core.platform import host_list
from auburnroad_core.platform import weight_store
from auburnroad_daemon.process import side_metrics
from auburnroad_daemon.version import relay
from auburnroad_daemon.version import relay_tree


class FakeStore:
    """Counts its readers; answers when told to."""

    def __init__(self, error=None):
        self.error = error
        self.reads = []
        self.gate = asyncio.Event()
        self.gate.set()

    async def find_stores(self, model, version):
        return [('store', self)]

    async def fetch(self, model, version, timeout_seconds):
        self.reads.append(version)
        await self.gate.wait()
        if self.error:
            raise self.error
        return b'w%d' % version


class WeightRelayTest(unittest.IsolatedAsyncioTestCase):
    """The store is read once for a host, however many engines ask."""

    def setUp(self):
        self.store = FakeStore()
        self.relay = relay.WeightRelay(self.store, side_metrics.SideMetrics())

    async def get(self, path):
        return await self.relay.handle(messages.Request('GET', path, {}))

    async def test_concurrent_readers_share_one_fetch(self):
        self.store.gate.clear()
        readers = [
            asyncio.ensure_future(self.relay.get('m', 1)) for _ in range(3)
        ]
        await asyncio.sleep(0)
        readers[0].cancel()
        self.store.gate.set()
        self.assertEqual([b'w1', b'w1'], await asyncio.gather(*readers[1:]))
        self.assertEqual(b'w1', await self.relay.get('m', 1))
        self.assertEqual([1], self.store.reads)

    async def test_keeps_the_newest_two(self):
        for version in (1, 2, 3):
            await self.relay.get('m', version)
        await self.relay.get('m', 2)
        self.assertEqual([1, 2, 3], self.store.reads)
        await self.relay.get('m', 1)
        self.assertEqual([1, 2, 3, 1], self.store.reads)

    async def test_answers_over_http_and_tells_missing_from_down(self):
        response = await self.get('/weights/m/4')
        self.assertEqual(b'w4', response.body)
        self.store.error = weight_store.WeightsMissingError('none')
        self.assertEqual(404, (await self.get('/weights/m/5')).status)
        self.store.error = weight_store.WeightStoreError('down')
        self.assertEqual(503, (await self.get('/weights/m/5')).status)
        self.assertEqual(404, (await self.get('/weights/m/x')).status)


class RelayTreeTest(unittest.TestCase):
    """Every side has a way up, and one of them all asks the store."""

    def setUp(self):
        self.hosts = [
            host_list.Host(
                f'h{n}', 'side', '', f'd{n % 4}', host_list.HostState.LIVE
            )
            for n in range(120)
        ]

    def test_one_root_and_short_ways(self):
        ways = {
            host.name: relay_tree.find_ancestors(self.hosts, host.name, 'm', 1)
            for host in self.hosts
        }
        self.assertEqual(1, sum(not way for way in ways.values()))
        self.assertLessEqual(max(map(len, ways.values())), 4)
        children = [way[0].name for way in ways.values() if way]
        most = max(children.count(name) for name in set(children))
        self.assertLessEqual(most, 2 * relay_tree.FANOUT)

    def test_a_host_that_is_not_listed_asks_the_store(self):
        self.assertEqual(
            [], relay_tree.find_ancestors(self.hosts, 'new', 'm', 1)
        )


class StoreServerTest(unittest.IsolatedAsyncioTestCase):
    """The client of another side's relay sees what its store would say."""

    async def test_reads_through_another_relay(self):
        upstream = relay.WeightRelay(FakeStore(), side_metrics.SideMetrics())
        http = server.HttpServer(upstream.handle)
        host, port = await http.start('127.0.0.1', 0)
        http_client = client.HttpClient()
        store = weight_store.HttpWeightStore(f'{host}:{port}', http_client)
        self.assertEqual(b'w7', await store.fetch('m', 7, 5.0))
        http_client.close()
        await http.close()
