"""Tests of sides that fetch weights from each other."""

import asyncio
import unittest
from unittest import mock

from auburnroad_core.http import messages as http_messages
from auburnroad_core.http import server
from auburnroad_core.platform import host_list
from auburnroad_core.platform import weight_store
from auburnroad_core.settings import daemon
from auburnroad_daemon.process import side as side_module
from auburnroad_daemon.version import relay
from auburnroad_daemon.version import relay_tree

SIDES = ('a1', 'a2', 'b1')


class RelaySidesTest(unittest.IsolatedAsyncioTestCase):
    """Only the root side reads the store, which is rate-limited."""

    async def asyncSetUp(self):
        self.reads = []
        self.hosts = []
        self.down = False
        self.gate = asyncio.Event()
        self.gate.set()
        self.platform = server.HttpServer(self.handle)
        host, port = await self.platform.start('127.0.0.1', 0)
        self.sides = {
            name: side_module.Side(
                daemon.Daemon(
                    name,
                    'side',
                    name,
                    name[0],
                    '127.0.0.1:0',
                    '127.0.0.1:0',
                    '127.0.0.1:1',
                    f'{host}:{port}',
                    f'{host}:{port}',
                    replicas=[daemon.Replica('r', 's', '127.0.0.1:1')],
                )
            )
            for name in SIDES
        }
        for name, side in self.sides.items():
            await side.start()
            address = '{}:{}'.format(*side.stream_address)
            self.hosts.append(
                host_list.Host(
                    name, 'side', address, name[0], host_list.HostState.LIVE
                )
            )

    async def asyncTearDown(self):
        for side in self.sides.values():
            await side.close()
        await self.platform.close()

    async def handle(self, request):
        if request.path == '/hosts':
            return http_messages.build_json_response(200, self.hosts)
        self.reads.append(request.path)
        await self.gate.wait()
        if self.down:
            return http_messages.Response(503)
        return http_messages.Response(200, {}, b'weights')

    async def fetch_everywhere(self, names):
        return await asyncio.gather(
            *(self.sides[name].weights.get('m', 3) for name in names)
        )

    async def test_store_is_read_once_for_all_sides(self):
        weights = await self.fetch_everywhere(SIDES)
        self.assertEqual([b'weights'] * 3, weights)
        self.assertEqual(['/weights/m/3'], self.reads)

    async def test_slow_store_is_read_by_root_only(self):
        self.gate.clear()
        with mock.patch.object(relay, 'PENDING_SECONDS', 0.02):
            fetches = asyncio.ensure_future(self.fetch_everywhere(SIDES))
            await asyncio.sleep(0.2)
            self.gate.set()
            self.assertEqual([b'weights'] * 3, await fetches)
        self.assertEqual(1, len(self.reads))

    async def test_unavailable_store_is_read_once_per_request(self):
        self.down = True
        for name in SIDES:
            with self.assertRaises(weight_store.WeightStoreError):
                await self.sides[name].weights.get('m', 3)
        root = self.find_root()
        others = [name for name in SIDES if name != root]
        reads = len(self.reads)
        self.assertEqual(3, reads)
        self.down = False
        weights = await self.fetch_everywhere(others)
        self.assertEqual([b'weights'] * 2, weights)
        self.assertEqual(reads + 1, len(self.reads))

    def find_root(self):
        return next(
            name
            for name in SIDES
            if not relay_tree.find_ancestors(self.hosts, name, 'm', 3)
        )

    async def test_unreachable_parent_is_skipped(self):
        root = self.find_root()
        await self.sides[root].close()
        rest = [name for name in SIDES if name != root]
        weights = await self.fetch_everywhere(rest)
        self.assertEqual([b'weights'] * 2, weights)
