"""Tests of orders: swaps during a stream, fencing numbers, failed swaps."""

import asyncio

from auburnroad_core.http import messages
from auburnroad_standins.engine import testing


class SwapTest(testing.EngineTestCase):
    async def test_stream_across_a_swap_reports_both_versions(self):
        address = await self.start_engine(swap_ms=5)
        body = testing.build_completion('r', max_tokens=300)
        reply = await self.open_stream(address, body)
        self.assertEqual((await self.order(address, 1)).status, 200)
        events = await self.read_stream(reply)
        versions = [event['version'] for event in events]
        change = versions.index(1)
        self.assertEqual(versions, [0] * change + [1] * (300 - change))
        run = (await self.read_runs(address))['r']
        self.assertEqual(run['spans'], [[0, 0, change], [1, change, 300]])

    async def test_weights_are_fetched_from_the_source(self):
        store = await self.start('weight_store')
        put = messages.Request('PUT', '/weights/m/2', {}, b'weights')
        await self.http.fetch(store, put, testing.TIMEOUT_SECONDS)
        address = await self.start_engine()
        loaded = await self.order(address, 2, source=store)
        self.assertEqual(loaded.body, b'{"versions":{"m":2}}')
        missing = await self.order(address, 3, source=store)
        self.assertEqual(missing.status, 500)
        load = await self.send(address, 'GET', '/load')
        self.assertEqual(testing.parse_json(load)['versions'], {'m': 2})

    async def test_order_completes_after_its_sender_disconnects(self):
        address = await self.start_engine(swap_ms=50)
        ordering = asyncio.ensure_future(self.order(address, 1))
        await self.wait_for_count(address, 'orders_begun')
        ordering.cancel()
        await self.wait_for_count(address, 'orders')
        orders = (await self.read_books(address))['orders']
        self.assertEqual([o['outcome'] for o in orders], ['done'])

    async def test_swap_fails_before_or_after_the_change(self):
        address = await self.start_engine()
        for fault, version in (('swap_fails', 0), ('swap_half', 1)):
            await self.command(address, fault, count=1)
            failed = await self.order(address, 1)
            self.assertEqual(failed.status, 500)
            self.assertIn(b'swap_failed', failed.body)
            load = await self.send(address, 'GET', '/load')
            self.assertEqual(
                testing.parse_json(load)['versions'], {'m': version}, fault
            )


class FenceTest(testing.EngineTestCase):
    async def order_twice(self, checks_fencing: bool) -> tuple[int, dict]:
        address = await self.start_engine(checks_fencing=checks_fencing)
        await self.order(address, 2, fence=2)
        late = await self.order(address, 1, fence=1)
        load = await self.send(address, 'GET', '/load')
        return late.status, testing.parse_json(load)['versions']

    async def test_old_fence_is_refused_with_fencing_checks(self):
        answer = await self.order_twice(checks_fencing=True)
        self.assertEqual(answer, (409, {'m': 2}))

    async def test_old_fence_is_accepted_without_fencing_checks(self):
        answer = await self.order_twice(checks_fencing=False)
        self.assertEqual(answer, (200, {'m': 1}))

    async def test_adapter_is_served_under_its_own_name(self):
        address = await self.start_engine()
        order = {'order': 'load_adapter', 'model': 'a', 'version': 7}
        await self.send(address, 'POST', '/orders', order)
        body = testing.build_completion('r', model='a')
        events = await self.complete(address, body)
        self.assertEqual({event['version'] for event in events}, {7})
