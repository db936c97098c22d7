"""Tests that a tail hands each record on once, also after deletions."""

import asyncio
import contextlib
import unittest

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_standins import partition_log

PACE_SECONDS = 0.001


@contextlib.asynccontextmanager
async def running(subject):
    task = asyncio.create_task(subject.run())
    try:
        await subject.wait_loaded()
        yield
    finally:
        task.cancel()


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.001)


class TailTest(unittest.IsolatedAsyncioTestCase):
    """A tail of plain records."""

    def setUp(self):
        self.log = partition_log.PartitionLog()
        self.seen = []
        self.subject = tail.Tail(self.log, 't', 0, self.take, PACE_SECONDS)

    def take(self, offset, record):
        self.seen.append((offset, record))

    async def test_overlapping_reads_hand_each_record_on_once(self):
        self.log.write('t', 0, [b'a', b'b'])
        await asyncio.gather(*(self.subject.catch_up() for _ in range(5)))
        self.assertEqual([(0, b'a'), (1, b'b')], self.seen)

    async def test_goes_on_behind_deleted_records(self):
        self.log.write('t', 0, [b'a', b'b', b'c'])
        self.log.forget('t', 0, 2)
        await self.subject.catch_up()
        self.assertEqual([(2, b'c')], self.seen)

    async def test_a_crowd_of_readers_gets_on_with_shorter_reads(self):
        """Pattern: all gateways start at once and read everything."""
        self.log.write('t', 0, [bytes(1000)] * 200)
        self.log.bytes_in_time = tail.LEAST_BYTES
        for _ in range(100):
            try:
                await self.subject.catch_up()
                break
            except service.LogError:
                continue
        self.assertEqual(200, len(self.seen))

    async def test_knows_up_to_when_it_is_complete(self):
        self.assertEqual(float('-inf'), self.subject.complete_at)
        before = clock.time_boot_seconds()
        await self.subject.catch_up()
        self.assertGreaterEqual(self.subject.complete_at, before)
        complete_at = self.subject.complete_at
        self.log.down = True
        with self.assertRaises(service.LogError):
            await self.subject.catch_up()
        self.assertEqual(complete_at, self.subject.complete_at)

    async def test_recovers_from_an_outage(self):
        async with running(self.subject):
            self.log.down = True
            await wait_until(lambda: self.subject.failing)
            self.log.write('t', 0, [b'a'])
            self.log.down = False
            await wait_until(lambda: self.seen)
        self.assertFalse(self.subject.failing)


class KeyedTailTest(unittest.IsolatedAsyncioTestCase):
    """A tail of a keyed topic."""

    def setUp(self):
        self.log = partition_log.PartitionLog()
        self.values = {}
        self.subject = tail.KeyedTail(self.log, 'k', self.take, PACE_SECONDS)

    def take(self, record):
        self.values[record.key] = record.value

    async def test_begins_with_the_newest_values(self):
        self.log.put('k', 'a', b'1')
        self.log.put('k', 'a', b'2')
        async with running(self.subject):
            self.assertEqual({'a': b'2'}, self.values)
            self.log.put('k', 'b', b'3')
            await wait_until(lambda: 'b' in self.values)

    async def test_a_deleted_history_drops_missing_keys(self):
        self.log.put('k', 'a', b'1')
        self.log.put('k', 'b', b'1')
        await self.subject.catch_up()
        self.log.put('k', 'a', b'')
        self.log.put('k', 'b', b'2')
        self.log.forget('k', 0, 4)
        await self.subject.catch_up()
        self.assertEqual({'a': b'', 'b': b'2'}, self.values)
