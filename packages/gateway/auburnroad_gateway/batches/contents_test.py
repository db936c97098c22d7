"""Tests that any gateway can read separately stored contents."""

import asyncio
import unittest

from auburnroad_gateway.batches import contents
from auburnroad_gateway.batches import records
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import settings
from auburnroad_standins import partition_log

RECORD_BYTES = 2_000_000
PARTITION = records.find_partition('b')


class ContentsTest(unittest.IsolatedAsyncioTestCase):
    """One gateway writes contents, and another gateway reads them."""

    async def asyncSetUp(self):
        self.log = partition_log.PartitionLog()
        self.writer, self.reader = (
            contents.Contents(
                self.log,
                name,
                settings.LogLimits(RECORD_BYTES, 2 * RECORD_BYTES),
            )
            for name in ('writer', 'reader')
        )
        self.tasks = [
            asyncio.create_task(work())
            for work in self.writer.list_background_tasks()
        ]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    async def write(self, *texts):
        return [await self.writer.write('b', text) for text in texts]

    async def test_written_contents_are_read_by_another_gateway(self):
        places = await self.write(b'one', b'two')
        found = await self.reader.read_all(set(places))
        self.assertEqual([b'one', b'two'], [found[at] for at in places])

    async def test_neighbouring_records_need_one_read(self):
        """An owner dies, and the next owner reads all of its texts."""
        places = await self.write(*(b'%d' % n for n in range(100)))
        self.log.calls.clear()
        await self.reader.read_all(set(places))
        self.assertEqual(['read'], self.log.calls)

    async def test_own_contents_are_read_from_the_cache(self):
        (place,) = await self.write(b'one')
        self.log.down = True
        self.assertEqual(b'one', await self.writer.read(place))

    async def test_full_cache_evicts_the_oldest_contents(self):
        size = contents.CACHE_BYTES // 2
        places = await self.write(b'x' * size, b'y' * size, b'z' * size)
        self.log.calls.clear()
        await self.writer.read(places[-1])
        self.assertEqual([], self.log.calls)
        await self.writer.read(places[0])
        self.assertEqual(['read'], self.log.calls)

    async def test_missing_contents_raise_an_error(self):
        with self.assertRaises(service.LogError):
            await self.reader.read(batch.RecordLocation(PARTITION, 0, 1))
