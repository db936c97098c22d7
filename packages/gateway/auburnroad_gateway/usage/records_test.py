"""Tests of the records that a gateway writes.

Guards against counts that are lost or counted twice by a restart, by a call
whose answer was lost, and by a log service that is down.
"""

import asyncio
import contextlib
import unittest

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.model import settings
from auburnroad_gateway.usage import counting
from auburnroad_gateway.usage import fold
from auburnroad_gateway.usage import records
from auburnroad_standins import partition_log

TIMEOUT_SECONDS = 20


class UsageRecordsTest(unittest.IsolatedAsyncioTestCase):
    """Incarnations of one host that write to one log."""

    def setUp(self):
        self.log = partition_log.PartitionLog()

    def build(self, incarnation):
        own = msgspec.structs.replace(
            membership_test.build_settings('h'),
            bounds=settings.Bounds(report_window_s=1000.0),
        )
        return records.UsageRecords(own, self.log, incarnation)

    def count(self, subject, account='a'):
        return subject.counter.note_sent(
            account, counting.ClientAttempt(), subject.find_time_ms()
        )

    @contextlib.asynccontextmanager
    async def running(self, subject):
        task = asyncio.create_task(subject.run())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not subject._is_loaded:
                await asyncio.sleep(0)
        try:
            yield
        finally:
            task.cancel()

    async def fold_log(self):
        folded = fold.UsageFold()
        snapshot = await self.log.read_newest(records.TOPIC)
        for record in snapshot.records:
            folded.apply(*records.parse_record(record))
        return folded

    async def wait_for(self, subject, counts, final=False):
        window = subject.find_time_ms() // 1_000_000
        folded = await self.fold_log()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while folded.sum_counts(window) != counts or (
                    final and folded.list_unfinished(window, {})
                ):
                    await asyncio.sleep(0.02)
                    folded = await self.fold_log()
                return
        self.fail(f'{counts} expected, found {folded.sum_counts(window)}')

    async def test_restarted_gateway_keeps_counts_and_adds_its_own(self):
        """Two entries in one, or none, would change the sum."""
        for number in (1, 2, 3):
            subject = self.build(f'i{number}')
            async with self.running(subject):
                self.count(subject)
                await self.wait_for(subject, {'a': number})

    async def test_clock_that_was_ahead_at_the_start_writes_no_window(self):
        """It would take the slot of a window of now."""
        subject = self.build('i1')
        window = subject.counter.first_open
        subject.counter.first_open = subject._started_window = window + 1000
        subject.advance(clock.read_boot_clock_seconds())
        async with self.running(subject):
            self.assertLessEqual(max(subject.counter.changed), window + 1)

    async def test_killed_incarnation_is_closed_by_the_next(self):
        subject = self.build('i1')
        async with self.running(subject):
            self.count(subject)
            await self.wait_for(subject, {'a': 1})
        subject = self.build('i2')
        async with self.running(subject):
            await self.wait_for(subject, {'a': 1})
            await subject.finish()
        await self.wait_for(subject, {'a': 1}, final=True)

    async def test_gateway_that_starts_closes_the_windows_before(self):
        """The holder would wait for it until the report is nearly late."""
        subject = self.build('i1')
        window = subject.counter.first_open
        async with self.running(subject):
            await self.wait_for(subject, {})
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while (await self.fold_log()).list_unfinished(
                    window - 1, {'h': 'i1'}
                ):
                    await asyncio.sleep(0.02)
        folded = await self.fold_log()
        self.assertEqual(['h'], folded.list_unfinished(window, {'h': 'i1'}))

    async def test_lost_answers_and_an_outage_change_no_count(self):
        subject = self.build('i1')
        async with self.running(subject):
            self.log.lose_answers = 2
            self.count(subject)
            await self.wait_for(subject, {'a': 1})
            self.log.down = True
            self.count(subject)
            self.count(subject, 'b')
            await asyncio.sleep(0.6)
            self.log.down = False
            await self.wait_for(subject, {'a': 2, 'b': 1})

    async def test_producer_that_the_log_forgot_is_replaced(self):
        subject = self.build('i1')
        async with self.running(subject):
            self.count(subject)
            await self.wait_for(subject, {'a': 1})
            self.log._producers[records.TOPIC, 0, 'i1'] = (1, 99, 0)
            self.count(subject)
            await self.wait_for(subject, {'a': 2})

    async def test_planned_stop_leaves_nothing_open(self):
        subject = self.build('i1')
        async with self.running(subject):
            await self.wait_for(subject, {})
            self.count(subject)
            await subject.finish()
            await self.wait_for(subject, {'a': 1}, final=True)

    async def test_stop_before_earlier_records_were_read_writes_nothing(self):
        """It would take the place of what the host had counted."""
        subject = self.build('i1')
        async with self.running(subject):
            self.count(subject)
            await self.wait_for(subject, {'a': 1})
        subject = self.build('i2')
        self.count(subject)
        await subject.finish()
        await self.wait_for(subject, {'a': 1})

    async def test_records_of_a_host_are_bounded(self):
        keys = {records.build_key('h', window) for window in range(100)}
        self.assertEqual(records.SLOTS, len(keys))
