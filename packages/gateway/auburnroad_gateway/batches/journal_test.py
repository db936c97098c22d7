"""Tests of the read interval of batches and of texts of any size."""

import asyncio
import random
import unittest

from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records
from auburnroad_gateway.model import settings
from auburnroad_standins import partition_log


class FindReadIntervalTest(unittest.TestCase):
    """Hundreds of gateways share a log service with a fixed read rate."""

    def test_small_deployment_reads_at_the_minimum_interval(self):
        self.assertEqual(
            journal.MIN_READ_INTERVAL_SECONDS,
            journal.find_read_interval(5, 2000),
        )

    def test_reads_of_all_gateways_stay_below_their_share(self):
        for gateways in (9, 34, 100, 300):
            with self.subTest(gateways=gateways):
                interval_seconds = journal.find_read_interval(gateways, 6000)
                reads = gateways * records.PARTITIONS / interval_seconds
                self.assertLessEqual(reads, journal.TAIL_READ_SHARE * 6000 + 1)


class LongTextTest(unittest.IsolatedAsyncioTestCase):
    """A text exceeds the maximum size of a log record."""

    async def asyncSetUp(self):
        self.limits = settings.LogLimits(record_bytes=2000, call_bytes=4000)
        self.log = partition_log.PartitionLog()
        self.log.max_call_bytes = self.limits.call_bytes
        self.subject = journal.Journal(self.log, 'me', self.limits)
        self.encoded = fold_test.encode_submission()
        partition = records.find_partition('b')
        self.log.write(records.TOPIC, partition, self.encoded)
        self.tasks = [
            asyncio.create_task(work())
            for work in self.subject.list_background_tasks()
        ]
        source = random.Random(1)
        self.text = ''.join(
            chr(source.randrange(32, 127)) for _ in range(9000)
        )

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    async def wait_state(self, condition):
        state = None
        async with asyncio.timeout(10):
            while state is None or not condition(state):
                await asyncio.sleep(0.001)
                state = self.subject.fold.batches.get('b')
        sizes = [
            len(record)
            for topic, number in self.log.list_partitions()
            for record in self.log.list_records(topic, number)
        ]
        self.assertLessEqual(
            max(sizes[len(self.encoded) :]), self.limits.record_bytes
        )
        return state

    async def test_long_text_is_written_in_pieces_and_read_whole(self):
        self.subject.add_result('b', fold_test.build_result(0, self.text))
        state = await self.wait_state(lambda state: state.results)
        self.assertEqual(
            self.text, await self.subject.read_text(state.results[0])
        )

    async def test_long_saved_text_is_written_in_pieces_and_read_whole(self):
        """Its record was refused, and with it all later ones, for good."""
        saved = [
            records.Progress(
                'b', index, -1, 2, records.pack_text(text), [1], 0
            )
            for index, text in enumerate(('short', self.text, 'other'))
        ]
        self.subject.add_progress(saved)
        state = await self.wait_state(lambda state: len(state.progress) == 3)
        await self.subject.load(state)
        self.assertEqual(
            ['short', self.text, 'other'],
            [
                records.unpack_text(state.progress[index][0].text)
                for index in range(3)
            ],
        )
