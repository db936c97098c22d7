"""Tests of the relay that fetches weights from the store for a host."""

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
    """Weight store that records reads and blocks while its gate is closed."""

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
    """The store is read once per host, for any number of engines."""

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

    async def test_two_newest_versions_are_cached(self):
        for version in (1, 2, 3):
            await self.relay.get('m', version)
        await self.relay.get('m', 2)
        self.assertEqual([1, 2, 3], self.store.reads)
        await self.relay.get('m', 1)
        self.assertEqual([1, 2, 3, 1], self.store.reads)

    async def test_http_status_distinguishes_missing_from_unavailable(self):
        response = await self.get('/weights/m/4')
        self.assertEqual(b'w4', response.body)
        self.store.error = weight_store.WeightsMissingError('none')
        self.assertEqual(404, (await self.get('/weights/m/5')).status)
        self.store.error = weight_store.WeightStoreError('down')
        self.assertEqual(503, (await self.get('/weights/m/5')).status)
        self.assertEqual(404, (await self.get('/weights/m/x')).status)


class RelayTreeTest(unittest.TestCase):
    """Each side has at most four ancestors; only the root has none."""

    def setUp(self):
        self.hosts = [
            host_list.Host(
                f'h{n}', 'side', '', f'd{n % 4}', host_list.HostState.LIVE
            )
            for n in range(120)
        ]

    def test_tree_has_one_root_and_at_most_four_ancestors(self):
        paths = {
            host.name: relay_tree.find_ancestors(self.hosts, host.name, 'm', 1)
            for host in self.hosts
        }
        self.assertEqual(1, sum(not path for path in paths.values()))
        self.assertLessEqual(max(map(len, paths.values())), 4)
        children = [path[0].name for path in paths.values() if path]
        most = max(children.count(name) for name in set(children))
        self.assertLessEqual(most, 2 * relay_tree.FANOUT)

    def test_unlisted_host_has_no_ancestors(self):
        self.assertEqual(
            [], relay_tree.find_ancestors(self.hosts, 'new', 'm', 1)
        )


class StoreServerTest(unittest.IsolatedAsyncioTestCase):
    """A side reads another side's relay like a weight store."""

    async def test_weights_are_read_through_another_relay(self):
        upstream = relay.WeightRelay(FakeStore(), side_metrics.SideMetrics())
        http = server.HttpServer(upstream.handle)
        host, port = await http.start('127.0.0.1', 0)
        http_client = client.HttpClient()
        store = weight_store.HttpWeightStore(f'{host}:{port}', http_client)
        self.assertEqual(b'w7', await store.fetch('m', 7, 5.0))
        http_client.close()
        await http.close()
