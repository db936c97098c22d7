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

    async def test_long_text_is_written_in_pieces_and_read_whole(self):
        limits = settings.LogLimits(record_bytes=2000, call_bytes=4000)
        log = partition_log.PartitionLog()
        subject = journal.Journal(log, 'me', limits)
        tasks = [
            asyncio.create_task(work())
            for work in subject.list_background_tasks()
        ]
        encoded = fold_test.encode_submission()
        partition = records.find_partition('b')
        log.write(records.TOPIC, partition, encoded)
        source = random.Random(1)
        text = ''.join(chr(source.randrange(32, 127)) for _ in range(9000))
        subject.add_result('b', fold_test.build_result(0, text))
        state = None
        async with asyncio.timeout(10):
            while state is None or not state.results:
                await asyncio.sleep(0.001)
                state = subject.fold.batches.get('b')
        sizes = [
            len(record)
            for topic, number in log.list_partitions()
            for record in log.list_records(topic, number)
        ]
        self.assertLessEqual(max(sizes[len(encoded) :]), limits.record_bytes)
        self.assertEqual(text, await subject.read_text(state.results[0]))
        for task in tasks:
            task.cancel()
