"""Readers that are paused, late or new end in one state, whatever expires."""

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
ACTS = 60
LONG_MS = 30_000


class Reader:
    """A tail with its appender; the tail can be paused."""

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

    def go_on(self):
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
            readers[0].go_on()
            for _ in range(ACTS):
                await self.act(log, readers, randomizer)
            log.down = False
            log.release()
            for reader in readers:
                reader.go_on()
            for reader in readers:
                await self.settle(reader)
            await self.expire_surely(log, readers[0])
            end = max(reader.tail.applied for reader in readers)
            for reader in readers:
                deadline_ms = clock.time_now_ms() + LONG_MS
                await reader.tail.wait_applied(end, deadline_ms)
            states = [reader.tail.state for reader in readers]
            fresh = await tails.read_stream(log, trainer_fold)
        self.assertGreater(fresh.first_offset, 0)
        for state in states:
            self.assertEqual(state, fresh.state)

    async def expire_surely(self, log, reader):
        """Expire records in runs too in which no checkpoint got through."""
        deadline_ms = clock.time_now_ms() + LONG_MS
        for record in (
            records.Claim('t3', 'e', 'i', -1),
            trainer_fold.build_checkpoint(reader.tail.state, 1, 0),
        ):
            await reader.appender.append(record, deadline_ms)
        self.expire(log)

    async def settle(self, reader):
        deadline_ms = clock.time_now_ms() + LONG_MS
        self.assertTrue(await reader.tail.wait_up(deadline_ms))
        self.assertTrue(await reader.appender.flush(deadline_ms))

    async def act(self, log, readers, randomizer):
        """One act of the daemons, the log service or its keeper."""
        reader = randomizer.choice(readers)
        act = randomizer.choice(
            ['claim', 'claim', 'checkpoint', 'expire', 'pause', 'fault']
        )
        if act == 'pause' and reader is not readers[0]:
            await reader.pause()
        elif act == 'expire':
            self.expire(log)
        elif act == 'fault':
            log.down = randomizer.random() < 0.3
            log.lose_answers = randomizer.choice([0, 2])
            log.hold_appends = randomizer.choice([0, 1])
            log.release()
        elif act in ('claim', 'checkpoint'):
            reader.go_on()
            self.append(reader, act, randomizer)
        await asyncio.sleep(randomizer.uniform(0, 0.01))

    def append(self, reader, act, randomizer):
        state = reader.tail.state
        if state is None or state.applied < 0 and act == 'checkpoint':
            return
        # A paused daemon that wakes up writes from an old state.
        record = trainer_fold.build_checkpoint(state, 1, 0)
        if act == 'claim':
            name = randomizer.choice(['t1', 't2'])
            claim = state.find_trainer(name).claim
            record = records.Claim(name, 'e', 'i', claim)
        deadline_ms = clock.time_now_ms() + LONG_MS
        reader.appender.append_later(record, deadline_ms)

    def expire(self, log):
        """Expire all that the newest checkpoint stands for."""
        state = None
        for entry in log.list_entries(STREAM):
            state, _ = trainer_fold.fold(state or trainer_fold.State(), entry)
        if state is not None and state.checkpoint_covers >= 0:
            log.truncate(STREAM, state.checkpoint_covers + 1)
