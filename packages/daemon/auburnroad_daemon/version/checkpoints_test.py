"""Tests of when checkpoints are due and of the state that they preserve.

Without a checkpoint in time, records expire and a new reader of the stream
can no longer build the folded state.
"""

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
    """A checkpoint is due before the previous checkpoint expires."""

    def setUp(self):
        self.state = trainer_fold.State(
            applied=20,
            checkpoint=10,
            checkpoint_ms=100_000,
            checkpoint_covers=9,
        )

    def test_empty_state_needs_no_plan(self):
        self.assertIsNone(update(None, None, 0))
        self.assertIsNone(update(None, trainer_fold.State(), 0))

    def test_first_checkpoint_is_delayed(self):
        self.state.checkpoint = -1
        plan = update(None, self.state, 100_000)
        self.assertEqual(plan.due_ms, 100_000 + RETENTION_MS * 3 // 16)

    def test_next_checkpoint_is_due_before_half_of_retention(self):
        plan = update(None, self.state, 100_500)
        self.assertEqual(plan.due_ms, 100_000 + 20_000 + 5_000)
        # A different jitter keeps the plan; another entry's checkpoint
        # replaces it.
        self.assertIs(update(plan, self.state, 101_000, jitter=0.9), plan)
        self.state.checkpoint = 21
        self.state.checkpoint_ms = 120_000
        later = update(plan, self.state, 120_500)
        self.assertEqual(later.due_ms, 120_000 + 25_000)

    def test_checkpoint_time_in_future_is_capped(self):
        self.state.checkpoint_ms = 10**12
        plan = update(None, self.state, 100_500)
        self.assertLess(plan.due_ms, 100_500 + RETENTION_MS // 2)

    def test_truncated_checkpoint_is_replaced_within_one_second(self):
        plan = update(None, self.state, 100_500, first_offset=11)
        self.assertTrue(plan.missing)
        self.assertLess(
            plan.due_ms, 100_500 + checkpoints.MAX_MISSING_JITTER_MS
        )


class CheckpointerTest(unittest.IsolatedAsyncioTestCase):
    """The log is truncated and a new reader starts from a checkpoint."""

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

    async def test_new_reader_of_truncated_log_has_state(self):
        log = memory_log.MemoryLog()
        deadline_ms = clock.time_now_ms() + 30_000
        async with self.running(log) as (tail, appender):
            await appender.append(
                records.Claim('t', 'e1', 'i', -1), deadline_ms
            )
            log.truncate(STREAM, 1)
            new_tail = tails.Tail(log, trainer_fold)
            task = asyncio.create_task(new_tail.run())
            self.assertTrue(await new_tail.wait_up_to_date(deadline_ms))
            task.cancel()
            self.assertEqual(new_tail.state, tail.state)
            self.assertEqual(new_tail.state.find_trainer('t').owner, 'e1')
