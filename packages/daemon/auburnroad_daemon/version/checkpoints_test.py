import asyncio
import contextlib
import unittest

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import records
from auburnroad_core.log import tail as tails
from auburnroad_core.log import trainer_fold
from auburnroad_core.settings import deployment
from auburnroad_daemon.version import checkpoints
from auburnroad_e2e import memory_log

STREAM = trainer_fold.STREAM
RETENTION_MS = 80_000
LIMITS = deployment.Limits()


def update(plan, state, now_ms, first_offset=0, jitter=0.5):
    return checkpoints.update_plan(
        plan, state, first_offset, RETENTION_MS, now_ms, jitter
    )


class UpdatePlanTest(unittest.TestCase):
    def setUp(self):
        self.state = trainer_fold.State(
            applied=20,
            checkpoint=10,
            checkpoint_ms=100_000,
            checkpoint_covers=9,
        )

    def test_nothing_to_carry_needs_none(self):
        self.assertIsNone(update(None, None, 0))
        self.assertIsNone(update(None, trainer_fold.State(), 0))

    def test_first_one_leaves_a_young_log_alone(self):
        self.state.checkpoint = -1
        plan = update(None, self.state, 100_000)
        self.assertEqual(plan.due_ms, 100_000 + RETENTION_MS * 3 // 16)

    def test_next_one_is_due_long_before_the_last_expires(self):
        plan = update(None, self.state, 100_500)
        self.assertEqual(plan.due_ms, 100_000 + 20_000 + 5_000)
        # Another draw does not move it; another entry's checkpoint does.
        self.assertIs(update(plan, self.state, 101_000, jitter=0.9), plan)
        self.state.checkpoint = 21
        self.state.checkpoint_ms = 120_000
        later = update(plan, self.state, 120_500)
        self.assertEqual(later.due_ms, 120_000 + 25_000)

    def test_checkpoint_from_a_clock_ahead_is_not_trusted_for_long(self):
        self.state.checkpoint_ms = 10**12
        plan = update(None, self.state, 100_500)
        self.assertLess(plan.due_ms, 100_500 + RETENTION_MS // 2)

    def test_checkpoint_that_no_reader_can_use_is_replaced_at_once(self):
        plan = update(None, self.state, 100_500, first_offset=11)
        self.assertTrue(plan.missing)
        self.assertLess(
            plan.due_ms, 100_500 + checkpoints.MAX_MISSING_JITTER_MS
        )


class CheckpointerTest(unittest.IsolatedAsyncioTestCase):
    @contextlib.asynccontextmanager
    async def running(self, log):
        tail = tails.Tail(log, trainer_fold)
        appender = appenders.Appender(log, tail)
        subject = checkpoints.Checkpointer(tail, appender, lambda: LIMITS)
        tasks = [
            asyncio.create_task(work.run())
            for work in (tail, appender, subject)
        ]
        try:
            yield tail, appender
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def test_new_reader_of_a_truncated_log_has_the_state(self):
        log = memory_log.MemoryLog()
        deadline_ms = clock.time_now_ms() + 30_000
        async with self.running(log) as (tail, appender):
            await appender.append(
                records.Claim('t', 'e1', 'i', -1), deadline_ms
            )
            log.truncate(STREAM, 1)
            late = tails.Tail(log, trainer_fold)
            task = asyncio.create_task(late.run())
            self.assertTrue(await late.wait_up(deadline_ms))
            task.cancel()
            self.assertEqual(late.state, tail.state)
            self.assertEqual(late.state.find_trainer('t').owner, 'e1')
