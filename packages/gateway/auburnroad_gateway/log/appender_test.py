"""Tests that each record is appended once or its writer gets an error.

Calls to the log may be refused or may lose their response. A retry must not
append a second copy, and a writer that times out must learn whether its
record may be in the log.
"""

import asyncio
import contextlib
import unittest

from auburnroad_gateway.log import appender
from auburnroad_gateway.log import service
from auburnroad_gateway.model import settings
from auburnroad_standins import loop_clock
from auburnroad_standins import partition_log

MAX_CALL_BYTES = 100
RECORD_BYTES = 80
LONG_TIMEOUT_SECONDS = 20.0
TIMEOUT_SECONDS = 5.0


class AppenderTest(unittest.IsolatedAsyncioTestCase):
    """An appender on a log that refuses calls or loses responses."""

    def setUp(self):
        self.log = partition_log.PartitionLog()
        self.subject = appender.Appender(
            self.log,
            't',
            0,
            'me',
            settings.LogLimits(RECORD_BYTES, MAX_CALL_BYTES),
        )

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.subject.run())
        try:
            yield
        finally:
            task.cancel()

    async def append_until_timeout(self):
        """Append a record that times out after the log's first call."""
        clock = loop_clock.LoopClock()
        waiting = asyncio.create_task(
            self.subject.append([b'a'], LONG_TIMEOUT_SECONDS)
        )
        while not self.log.calls:
            await asyncio.sleep(0.001)
        clock.advance(LONG_TIMEOUT_SECONDS)
        return await waiting

    async def test_records_queued_together_share_one_call(self):
        async with self.running():
            await asyncio.gather(
                *(
                    self.subject.append([b'%d' % number], LONG_TIMEOUT_SECONDS)
                    for number in range(10)
                )
            )
        self.assertEqual(['append'], self.log.calls)
        self.assertEqual(
            [b'%d' % number for number in range(10)],
            self.log.list_records('t'),
        )

    async def test_each_writer_gets_offset_of_its_first_record(self):
        self.log.write('t', 0, [b'before'])
        async with self.running():
            offsets = await asyncio.gather(
                self.subject.append([b'a', b'b'], LONG_TIMEOUT_SECONDS),
                self.subject.append([b'c'], LONG_TIMEOUT_SECONDS),
            )
        self.assertEqual([1, 3], offsets)

    async def test_records_above_call_size_are_split_into_calls(self):
        async with self.running():
            await asyncio.gather(
                *(
                    self.subject.append([b'x' * 60], LONG_TIMEOUT_SECONDS)
                    for _ in range(3)
                )
            )
        self.assertEqual(3, len(self.log.calls))

    async def test_lengths_of_records_count_for_the_size_of_a_call(self):
        """The log refused a call that was larger by them, for good."""
        self.log.max_call_bytes = MAX_CALL_BYTES
        async with self.running():
            await asyncio.gather(
                *(
                    self.subject.append([b'%03d' % n], LONG_TIMEOUT_SECONDS)
                    for n in range(50)
                )
            )
        self.assertEqual(50, len(self.log.list_records('t')))

    async def test_refused_call_is_retried_with_fewer_records(self):
        """A queue stood still if the log accepted less than was known."""
        self.log.max_call_bytes = 30
        async with self.running():
            await asyncio.gather(
                *(
                    self.subject.append([b'%03d' % n], LONG_TIMEOUT_SECONDS)
                    for n in range(10)
                )
            )
        self.assertEqual(
            [b'%03d' % n for n in range(10)], self.log.list_records('t')
        )

    async def test_record_that_no_call_can_carry_is_rejected(self):
        """It kept all later records of its partition out of the log."""
        self.log.max_call_bytes = MAX_CALL_BYTES
        async with self.running():
            for records in (
                [bytes(RECORD_BYTES + 1)],
                [bytes(RECORD_BYTES), bytes(MAX_CALL_BYTES - RECORD_BYTES)],
            ):
                with self.assertRaises(service.LogTooLargeError):
                    async with asyncio.timeout(TIMEOUT_SECONDS):
                        await self.subject.append(
                            records, LONG_TIMEOUT_SECONDS
                        )
            await self.subject.append([b'a'], LONG_TIMEOUT_SECONDS)
        self.assertEqual([b'a'], self.log.list_records('t'))

    async def test_retry_after_lost_response_appends_one_copy(self):
        self.log.lose_answers = 2
        async with self.running():
            await self.subject.append([b'a'], LONG_TIMEOUT_SECONDS)
        self.assertEqual([b'a'], self.log.list_records('t'))

    async def test_timed_out_record_is_withdrawn_if_calls_were_refused(self):
        self.log.down = True
        async with self.running():
            with self.assertRaises(appender.AppendTimeoutError) as caught:
                await self.append_until_timeout()
            self.log.down = False
            await self.subject.append([b'b'], LONG_TIMEOUT_SECONDS)
        self.assertIs(appender.AppendState.WITHDRAWN, caught.exception.state)
        self.assertEqual([b'b'], self.log.list_records('t'))

    async def test_fate_is_unknown_if_call_has_no_response(self):
        self.log.silent = True
        async with self.running():
            with self.assertRaises(appender.AppendTimeoutError) as caught:
                await self.append_until_timeout()
        self.assertIs(appender.AppendState.UNKNOWN, caught.exception.state)

    async def test_fate_is_unknown_if_refusal_follows_lost_response(self):
        self.log.lose_answers = 1
        async with self.running():
            clock = loop_clock.LoopClock()
            waiting = asyncio.create_task(
                self.subject.append([b'a'], LONG_TIMEOUT_SECONDS)
            )
            while self.log.lose_answers:
                await asyncio.sleep(0.001)
            self.log.down = True
            clock.advance(LONG_TIMEOUT_SECONDS)
            with self.assertRaises(appender.AppendTimeoutError) as caught:
                await waiting
        self.assertIs(appender.AppendState.UNKNOWN, caught.exception.state)
