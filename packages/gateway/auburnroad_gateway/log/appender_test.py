"""Tests that each record gets into the log once, or the writer knows."""

import asyncio
import contextlib
import unittest

from auburnroad_gateway.log import appender
from auburnroad_standins import partition_log

CALL_BYTES = 100
LONG_SECONDS = 20.0
SHORT_SECONDS = 0.08


class AppenderTest(unittest.IsolatedAsyncioTestCase):
    """One appender before a log that fails in every way."""

    def setUp(self):
        self.log = partition_log.PartitionLog()
        self.subject = appender.Appender(self.log, 't', 0, 'me', CALL_BYTES)

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.subject.run())
        try:
            yield
        finally:
            task.cancel()

    async def test_records_that_come_together_share_a_call(self):
        async with self.running():
            await asyncio.gather(
                *(
                    self.subject.append([b'%d' % number], LONG_SECONDS)
                    for number in range(10)
                )
            )
        self.assertEqual(['append'], self.log.calls)
        self.assertEqual(
            [b'%d' % number for number in range(10)],
            self.log.list_records('t'),
        )

    async def test_each_writer_learns_its_offset(self):
        self.log.write('t', 0, [b'before'])
        async with self.running():
            offsets = await asyncio.gather(
                self.subject.append([b'a', b'b'], LONG_SECONDS),
                self.subject.append([b'c'], LONG_SECONDS),
            )
        self.assertEqual([1, 3], offsets)

    async def test_a_call_holds_no_more_than_it_may(self):
        async with self.running():
            await asyncio.gather(
                *(
                    self.subject.append([b'x' * 60], LONG_SECONDS)
                    for _ in range(3)
                )
            )
        self.assertEqual(3, len(self.log.calls))

    async def test_a_lost_answer_leaves_one_copy(self):
        self.log.lose_answers = 2
        async with self.running():
            await self.subject.append([b'a'], LONG_SECONDS)
        self.assertEqual([b'a'], self.log.list_records('t'))

    async def test_a_refused_record_is_withdrawn(self):
        self.log.down = True
        async with self.running():
            with self.assertRaises(appender.AppendTimeoutError) as caught:
                await self.subject.append([b'a'], SHORT_SECONDS)
            self.log.down = False
            await self.subject.append([b'b'], LONG_SECONDS)
        self.assertIs(appender.Fate.WITHDRAWN, caught.exception.fate)
        self.assertEqual([b'b'], self.log.list_records('t'))

    async def test_a_silent_call_leaves_it_unknown(self):
        self.log.silent = True
        async with self.running():
            with self.assertRaises(appender.AppendTimeoutError) as caught:
                await self.subject.append([b'a'], SHORT_SECONDS)
        self.assertIs(appender.Fate.UNKNOWN, caught.exception.fate)

    async def test_a_refusal_after_a_lost_answer_leaves_it_unknown(self):
        self.log.lose_answers = 1
        async with self.running():
            waiting = asyncio.create_task(
                self.subject.append([b'a'], SHORT_SECONDS)
            )
            while self.log.lose_answers:
                await asyncio.sleep(0.001)
            self.log.down = True
            with self.assertRaises(appender.AppendTimeoutError) as caught:
                await waiting
        self.assertIs(appender.Fate.UNKNOWN, caught.exception.fate)
