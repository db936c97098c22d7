"""Tests appends with lost responses, outages and unresponsive connections.

An append whose response is lost may have taken effect. The appender retries
it, so the stream may hold several records with one id, of which only the
first may count.
"""

import asyncio
import contextlib
import unittest

from auburnroad_core import clock
from auburnroad_core.log import appender
from auburnroad_core.log import records
from auburnroad_core.log import tail as tails
from auburnroad_core.log import trainer_fold
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service
from auburnroad_e2e import memory_log

STREAM = trainer_fold.STREAM
TIMEOUT_MS = 30_000


def build_claim(supersedes=-1, owner='e1'):
    return records.Claim('t', owner, 'i', supersedes)


def build_deadline_ms(milliseconds=TIMEOUT_MS):
    return clock.time_now_ms() + milliseconds


@contextlib.asynccontextmanager
async def running(*runnables):
    tasks = [asyncio.create_task(runnable.run()) for runnable in runnables]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class AppenderTest(unittest.IsolatedAsyncioTestCase):
    """Appends with a tail report the verdict on the first record of an id."""

    def setUp(self):
        self.log = memory_log.MemoryLog()
        self.tail = tails.Tail(self.log, trainer_fold)
        self.appender = appender.Appender(self.log, self.tail)

    async def test_concurrent_records_share_one_append(self):
        async with running(self.tail, self.appender):
            results = await asyncio.gather(
                *(
                    self.appender.append(build_claim(), build_deadline_ms())
                    for _ in range(20)
                )
            )
        self.assertEqual(self.log.appends, 1)
        verdicts = [result.verdict for result in results]
        self.assertEqual(verdicts.count(verdict.Verdict.EFFECTIVE), 1)
        self.assertEqual(verdicts.count(verdict.Verdict.CONFLICT), 19)

    async def test_append_with_lost_response_is_found_by_reading_back(self):
        self.log.lose_answers = 2
        async with running(self.tail, self.appender):
            result = await self.appender.append(
                build_claim(), build_deadline_ms()
            )
        self.assertEqual(result.offset, 0)
        self.assertEqual(result.verdict, verdict.Verdict.EFFECTIVE)

    async def test_first_copy_counts_when_second_is_acknowledged(self):
        self.log.lose_answers = 1
        async with running(self.appender):
            waiting = asyncio.create_task(
                self.appender.append(build_claim(), build_deadline_ms())
            )
            # The tail starts only after both copies are in the log.
            while len(self.log.list_entries(STREAM)) < 2:
                await asyncio.sleep(0.001)
            async with running(self.tail):
                result = await waiting
        self.assertEqual(result.offset, 0)
        self.assertEqual(result.verdict, verdict.Verdict.EFFECTIVE)

    async def test_delayed_append_may_appear_and_unsent_append_may_not(self):
        async with running(self.tail, self.appender):
            self.log.down = True
            result = await self.appender.append(
                build_claim(), build_deadline_ms(100)
            )
            self.assertEqual(result, appender.NotAppended(False))
            self.log.down = False
            self.log.hold_appends = 1000
            result = await self.appender.append(
                build_claim(), build_deadline_ms(300)
            )
            self.assertEqual(result, appender.NotAppended(True))
            self.log.release()
            await self.tail.wait_applied(0, build_deadline_ms())
        self.assertEqual(self.tail.state.find_trainer('t').claim, 0)

    async def test_append_is_retried_during_an_outage(self):
        self.log.down = True
        async with running(self.tail, self.appender):
            waiting = asyncio.create_task(
                self.appender.append(build_claim(), build_deadline_ms())
            )
            while self.log.appends < 2:
                await asyncio.sleep(0.001)
            self.assertFalse(self.tail.is_up_to_date)
            self.log.down = False
            result = await waiting
        self.assertEqual(result.verdict, verdict.Verdict.EFFECTIVE)
        self.assertEqual(len(self.log.list_entries(STREAM)), 1)

    async def test_unresponsive_connection_delays_only_its_own_group(self):
        self.log.silent_appends = 1
        async with running(self.tail, self.appender):
            delayed = asyncio.create_task(
                self.appender.append(build_claim(), build_deadline_ms())
            )
            while not self.log.appends:
                await asyncio.sleep(0.001)
            result = await self.appender.append(
                build_claim(), build_deadline_ms()
            )
            self.assertEqual(result.offset, 0)
            self.assertFalse(delayed.done())
            self.assertFalse(await self.appender.flush(clock.time_now_ms()))
            delayed.cancel()

    async def test_background_append_is_retried_until_it_succeeds(self):
        self.log.lose_answers = 1
        self.log.down = True
        async with running(self.tail, self.appender):
            self.appender.append_in_background(
                build_claim(), build_deadline_ms()
            )
            while self.log.appends < 2:
                await asyncio.sleep(0.001)
            self.log.down = False
            self.assertTrue(
                await self.tail.wait_applied(0, build_deadline_ms())
            )


class AppendAndConfirmTest(unittest.IsolatedAsyncioTestCase):
    """Appends without a tail are confirmed by reading the stream."""

    def setUp(self):
        self.log = memory_log.MemoryLog()

    async def confirm(self, milliseconds=TIMEOUT_MS):
        return await appender.append_and_confirm(
            self.log,
            STREAM,
            build_claim(),
            'x',
            build_deadline_ms(milliseconds),
        )

    async def test_lost_response_is_resolved_to_the_first_copy(self):
        await self.log.append(STREAM, [log_service.NewRecord('w', b'{}')])
        self.log.lose_answers = 1
        self.assertEqual(await self.confirm(), 1)
        self.assertEqual(len(self.log.list_entries(STREAM)), 2)

    async def test_delayed_first_copy_does_not_displace_the_second(self):
        self.log.hold_appends = 1
        self.assertEqual(await self.confirm(), 0)
        self.log.release()
        self.assertEqual(len(self.log.list_entries(STREAM)), 2)

    async def test_error_tells_whether_the_record_may_appear(self):
        self.log.hold_appends = 1000
        with self.assertRaises(log_service.AppendLostError):
            await self.confirm(100)
        self.log.down = True
        with self.assertRaises(log_service.LogUnavailableError):
            await self.confirm(100)


class ReadStreamTest(unittest.IsolatedAsyncioTestCase):
    """A stream with expired records and no checkpoint has no state."""

    async def test_read_stops_at_the_end_of_the_stream(self):
        log = memory_log.MemoryLog()
        for supersedes in range(-1, 5):
            await appender.append_and_confirm(
                log,
                STREAM,
                build_claim(supersedes),
                f'{supersedes}',
                build_deadline_ms(),
            )
        result = await tails.read_stream(log, trainer_fold)
        self.assertEqual(result.state.find_trainer('t').claim, 5)
        log.truncate(STREAM, 3)
        result = await tails.read_stream(log, trainer_fold)
        self.assertIsNone(result.state)
