"""Tests of the weight store's transfer rate and faults."""

import asyncio
import unittest

from auburnroad_core.http import messages
from auburnroad_core.platform import weight_store as platform
from auburnroad_standins import testing
from auburnroad_standins import weight_store


class SharedRateTest(unittest.TestCase):
    def test_readers_share_the_rate_and_idle_time_is_lost(self):
        rate = weight_store.SharedRate()
        self.assertEqual(rate.reserve(2.0, now=10.0), 2.0)
        self.assertEqual(rate.reserve(2.0, now=10.0), 4.0)
        self.assertEqual(rate.reserve(2.0, now=11.0), 5.0)
        self.assertEqual(rate.reserve(2.0, now=50.0), 2.0)


class WeightStoreTest(testing.StandinTestCase):
    async def open(self, data: bytes, **options) -> platform.HttpWeightStore:
        self.address = await self.start('weight_store', **options)
        put = messages.Request('PUT', '/weights/m/3', {}, data)
        await self.http.fetch(self.address, put, testing.TIMEOUT_SECONDS)
        return platform.HttpWeightStore(self.address, self.http)

    async def test_weights_are_complete_at_a_limited_rate(self):
        data = bytes(range(256)) * 400
        store = await self.open(data, bytes_per_second=10_000_000)
        self.assertEqual(await store.fetch('m', 3, 10), data)
        with self.assertRaises(platform.WeightsMissingError):
            await store.fetch('m', 4, 10)

    async def test_down_breaks_off_a_running_transfer(self):
        store = await self.open(bytes(100_000), bytes_per_second=100_000)
        fetching = asyncio.ensure_future(store.fetch('m', 3, 10))
        await self.wait_for_count(self.address, 'read_bytes')
        await self.command(self.address, 'down')
        for work in (fetching, store.fetch('m', 3, 10)):
            with self.assertRaises(platform.WeightStoreError):
                await work
