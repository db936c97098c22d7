"""Tests of the log service's rate limit, retention and faults."""

import asyncio
import unittest

import msgspec

from auburnroad_core.platform import log_service as platform
from auburnroad_standins import log_service
from auburnroad_standins import testing


def build_records(*ids: str) -> list[platform.NewRecord]:
    return [platform.NewRecord(name, msgspec.Raw(b'{}')) for name in ids]


class AppendLimitTest(unittest.TestCase):
    def test_appends_over_the_limit_in_any_second_are_refused(self):
        limit = log_service.AppendLimit(2)
        admitted = [limit.admit(at_ms) for at_ms in (0, 900, 999, 1000, 1001)]
        self.assertEqual(admitted, [True, True, False, True, False])
        self.assertTrue(limit.admit(1900))


class LogStreamTest(unittest.TestCase):
    def test_records_keep_their_offsets_after_expiry(self):
        stream = log_service.LogStream()
        stream.append(build_records('a', 'b'), 100)
        stream.append(build_records('c'), 200)
        stream.expire(200)
        batch = stream.read(0)
        self.assertEqual(batch.first_offset, 2)
        self.assertEqual([r.record_id for r in batch.records], ['c'])
        self.assertEqual(stream.append(build_records('d'), 300), [3])

    def test_truncation_of_all_records_keeps_next_offset(self):
        stream = log_service.LogStream()
        stream.append(build_records('a', 'b'), 100)
        stream.truncate(9)
        self.assertEqual((stream.first_offset, stream.next_offset), (2, 2))


class LogServiceTest(testing.StandinTestCase):
    async def open(self, **options) -> platform.HttpLogService:
        self.address = await self.start('log_service', **options)
        return platform.HttpLogService(self.address, self.http)

    async def read_ids(self, log) -> list[str]:
        batch = await log.read('s', 0, 0)
        return [record.record_id for record in batch.records]

    async def test_append_without_response_is_stored_and_id_may_repeat(self):
        log = await self.open()
        await self.command(self.address, 'lose_answers', count=1)
        with self.assertRaises(platform.AppendLostError):
            await log.append('s', build_records('a'))
        self.assertEqual(await log.append('s', build_records('a')), [1])
        self.assertEqual(await self.read_ids(log), ['a', 'a'])

    async def test_append_over_the_limit_stores_nothing(self):
        log = await self.open(appends_per_second=1, retention_ms=0)
        await log.append('s', build_records('a', 'b'))
        with self.assertRaises(platform.LogUnavailableError):
            await log.append('t', build_records('c'))
        books = await self.read_books(self.address)
        self.assertEqual((books['appends'], books['refused']), (1, 1))

    async def test_down_refuses_waiting_reads_and_appends(self):
        log = await self.open()
        reading = asyncio.ensure_future(log.read('s', 0, 60))
        await self.wait_for_count(self.address, 'reads')
        await self.command(self.address, 'down')
        with self.assertRaises(platform.LogUnavailableError):
            await asyncio.wait_for(reading, testing.TIMEOUT_SECONDS)
        with self.assertRaises(platform.LogUnavailableError):
            await log.append('s', build_records('a'))
        await self.command(self.address, 'none')
        self.assertEqual(await log.append('s', build_records('b')), [0])

    async def test_append_completes_a_waiting_read(self):
        log = await self.open()
        reading = asyncio.ensure_future(log.read('s', 0, 60))
        await self.wait_for_count(self.address, 'reads')
        await log.append('s', build_records('a'))
        batch = await asyncio.wait_for(reading, testing.TIMEOUT_SECONDS)
        self.assertEqual(batch.next_offset, 1)

    async def test_slow_append_takes_effect_after_caller_disconnects(self):
        log = await self.open()
        await self.command(self.address, 'slow', delay_ms=200)
        append = asyncio.ensure_future(log.append('s', build_records('a')))
        await self.wait_for_count(self.address, 'append_requests')
        append.cancel()
        await self.command(self.address, 'none')
        await self.wait_for_count(self.address, 'appends')
        self.assertEqual(await self.read_ids(log), ['a'])
