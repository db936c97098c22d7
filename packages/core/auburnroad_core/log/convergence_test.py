"""Tests that all readers of a stream converge to one state.

Readers may be paused or start late, and records expire meanwhile, so that a
reader has to continue from a checkpoint.
"""

import asyncio
import contextlib
import random
import unittest

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import records
from auburnroad_core.log import tail as tails
from auburnroad_core.log import trainer_fold
from auburnroad_e2e import memory_log

STREAM = trainer_fold.STREAM
SEEDS = range(4)
ACTIONS = 60
TIMEOUT_MS = 30_000


class Reader:
    """A tail with its appender; the tail can be paused and resumed."""

    def __init__(self, log):
        self.tail = tails.Tail(log, trainer_fold)
        self.appender = appenders.Appender(log, self.tail, 1, 1)
        self._task = None

    @property
    def paused(self):
        return self._task is None

    async def pause(self):
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def resume(self):
        if self._task is None:
            self._task = asyncio.create_task(self.tail.run())

    @contextlib.asynccontextmanager
    async def running(self):
        sending = asyncio.create_task(self.appender.run())
        try:
            yield
        finally:
            await self.pause()
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)


class ConvergenceTest(unittest.IsolatedAsyncioTestCase):
    """Random pauses, faults and expiries leave all readers in one state."""

    async def test_all_readers_end_in_one_state(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.check(random.Random(seed))

    async def check(self, randomizer):
        log = memory_log.MemoryLog()
        readers = [Reader(log) for _ in range(4)]
        async with contextlib.AsyncExitStack() as stack:
            for reader in readers:
                await stack.enter_async_context(reader.running())
            readers[0].resume()
            for _ in range(ACTIONS):
                await self.perform_action(log, readers, randomizer)
            log.down = False
            log.release()
            for reader in readers:
                reader.resume()
            for reader in readers:
                await self.wait_settled(reader)
            await self.force_expiry(log, readers[0])
            end = max(reader.tail.applied for reader in readers)
            for reader in readers:
                deadline_ms = clock.time_now_ms() + TIMEOUT_MS
                await reader.tail.wait_applied(end, deadline_ms)
            states = [reader.tail.state for reader in readers]
            fresh = await tails.read_stream(log, trainer_fold)
        self.assertGreater(fresh.first_offset, 0)
        for state in states:
            self.assertEqual(state, fresh.state)

    async def force_expiry(self, log, reader):
        """Append a checkpoint, so that records expire with every seed."""
        deadline_ms = clock.time_now_ms() + TIMEOUT_MS
        for record in (
            records.Claim('t3', 'e', 'i', -1),
            trainer_fold.build_checkpoint(reader.tail.state, 1, 0),
        ):
            await reader.appender.append(record, deadline_ms)
        self.expire(log)

    async def wait_settled(self, reader):
        deadline_ms = clock.time_now_ms() + TIMEOUT_MS
        self.assertTrue(await reader.tail.wait_up_to_date(deadline_ms))
        self.assertTrue(await reader.appender.flush(deadline_ms))

    async def perform_action(self, log, readers, randomizer):
        """Perform one random action of a daemon or the log service."""
        reader = randomizer.choice(readers)
        action = randomizer.choice(
            ['claim', 'claim', 'checkpoint', 'expire', 'pause', 'fault']
        )
        if action == 'pause' and reader is not readers[0]:
            await reader.pause()
        elif action == 'expire':
            self.expire(log)
        elif action == 'fault':
            log.down = randomizer.random() < 0.3
            log.lose_answers = randomizer.choice([0, 2])
            log.hold_appends = randomizer.choice([0, 1])
            log.release()
        elif action in ('claim', 'checkpoint'):
            reader.resume()
            self.append(reader, action, randomizer)
        await asyncio.sleep(randomizer.uniform(0, 0.01))

    def append(self, reader, action, randomizer):
        state = reader.tail.state
        if state is None or state.applied < 0 and action == 'checkpoint':
            return
        # The state may be stale, like the state of a paused daemon.
        record = trainer_fold.build_checkpoint(state, 1, 0)
        if action == 'claim':
            name = randomizer.choice(['t1', 't2'])
            claim = state.find_trainer(name).claim
            record = records.Claim(name, 'e', 'i', claim)
        deadline_ms = clock.time_now_ms() + TIMEOUT_MS
        reader.appender.append_in_background(record, deadline_ms)

    def expire(self, log):
        """Expire all records that the newest checkpoint covers."""
        state = None
        for entry in log.list_entries(STREAM):
            state, _ = trainer_fold.fold(state or trainer_fold.State(), entry)
        if state is not None and state.checkpoint_covers >= 0:
            log.truncate(STREAM, state.checkpoint_covers + 1)
