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
LONG_MS = 30_000


def build_claim(supersedes=-1, owner='e1'):
    return records.Claim('t', owner, 'i', supersedes)


def soon(milliseconds=LONG_MS):
    return clock.time_now_ms() + milliseconds


@contextlib.asynccontextmanager
async def running(*subjects):
    tasks = [asyncio.create_task(subject.run()) for subject in subjects]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class AppenderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = memory_log.MemoryLog()
        self.tail = tails.Tail(self.log, trainer_fold)
        self.subject = appender.Appender(self.log, self.tail)

    async def test_records_that_wait_together_go_in_one_append(self):
        async with running(self.tail, self.subject):
            results = await asyncio.gather(
                *(
                    self.subject.append(build_claim(), soon())
                    for _ in range(20)
                )
            )
        self.assertEqual(self.log.appends, 1)
        verdicts = [result.verdict for result in results]
        self.assertEqual(verdicts.count(verdict.Verdict.EFFECTIVE), 1)
        self.assertEqual(verdicts.count(verdict.Verdict.CONFLICT), 19)

    async def test_lost_answer_is_found_by_reading_back(self):
        self.log.lose_answers = 2
        async with running(self.tail, self.subject):
            result = await self.subject.append(build_claim(), soon())
        self.assertEqual(result.offset, 0)
        self.assertEqual(result.verdict, verdict.Verdict.EFFECTIVE)

    async def test_first_copy_counts_when_a_second_was_answered(self):
        self.log.lose_answers = 1
        async with running(self.subject):
            waiting = asyncio.create_task(
                self.subject.append(build_claim(), soon())
            )
            # The tail reads nothing until both copies are in the log.
            while len(self.log.list_entries(STREAM)) < 2:
                await asyncio.sleep(0.001)
            async with running(self.tail):
                result = await waiting
        self.assertEqual(result.offset, 0)
        self.assertEqual(result.verdict, verdict.Verdict.EFFECTIVE)

    async def test_outage_leaves_no_doubt_and_a_held_append_does(self):
        async with running(self.tail, self.subject):
            self.log.down = True
            result = await self.subject.append(build_claim(), soon(100))
            self.assertEqual(result, appender.NotAppended(False))
            self.log.down = False
            self.log.hold_appends = 1000
            result = await self.subject.append(build_claim(), soon(300))
            self.assertEqual(result, appender.NotAppended(True))
            self.log.release()
            await self.tail.wait_applied(0, soon())
        self.assertEqual(self.tail.state.find_trainer('t').claim, 0)

    async def test_outage_is_waited_out_until_the_deadline(self):
        self.log.down = True
        async with running(self.tail, self.subject):
            waiting = asyncio.create_task(
                self.subject.append(build_claim(), soon())
            )
            while self.log.appends < 2:
                await asyncio.sleep(0.001)
            self.assertFalse(self.tail.up)
            self.log.down = False
            result = await waiting
        self.assertEqual(result.verdict, verdict.Verdict.EFFECTIVE)
        self.assertEqual(len(self.log.list_entries(STREAM)), 1)

    async def test_silent_connection_stops_only_its_own_group(self):
        self.log.silent_appends = 1
        async with running(self.tail, self.subject):
            stopped = asyncio.create_task(
                self.subject.append(build_claim(), soon())
            )
            while not self.log.appends:
                await asyncio.sleep(0.001)
            result = await self.subject.append(build_claim(), soon())
            self.assertEqual(result.offset, 0)
            self.assertFalse(stopped.done())
            self.assertFalse(await self.subject.flush(clock.time_now_ms()))
            stopped.cancel()

    async def test_record_that_nobody_waits_for_is_appended(self):
        self.log.lose_answers = 1
        self.log.down = True
        async with running(self.tail, self.subject):
            self.subject.append_later(build_claim(), soon())
            while self.log.appends < 2:
                await asyncio.sleep(0.001)
            self.log.down = False
            self.assertTrue(await self.tail.wait_applied(0, soon()))


class AppendAndConfirmTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = memory_log.MemoryLog()

    async def confirm(self, milliseconds=LONG_MS):
        return await appender.append_and_confirm(
            self.log, STREAM, build_claim(), 'x', soon(milliseconds)
        )

    async def test_lost_answers_are_resolved_to_the_first_copy(self):
        await self.log.append(STREAM, [log_service.NewRecord('w', b'{}')])
        self.log.lose_answers = 1
        self.assertEqual(await self.confirm(), 1)
        self.assertEqual(len(self.log.list_entries(STREAM)), 2)

    async def test_late_first_copy_leaves_the_second_in_force(self):
        self.log.hold_appends = 1
        self.assertEqual(await self.confirm(), 0)
        self.log.release()
        self.assertEqual(len(self.log.list_entries(STREAM)), 2)

    async def test_outage_says_whether_the_record_may_appear(self):
        self.log.hold_appends = 1000
        with self.assertRaises(log_service.AppendLostError):
            await self.confirm(100)
        self.log.down = True
        with self.assertRaises(log_service.LogUnavailableError):
            await self.confirm(100)


class ReadStreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_reads_to_the_end_once(self):
        log = memory_log.MemoryLog()
        for supersedes in range(-1, 5):
            await appender.append_and_confirm(
                log, STREAM, build_claim(supersedes), f'{supersedes}', soon()
            )
        result = await tails.read_stream(log, trainer_fold)
        self.assertEqual(result.state.find_trainer('t').claim, 5)
        log.truncate(STREAM, 3)
        result = await tails.read_stream(log, trainer_fold)
        self.assertIsNone(result.state)
