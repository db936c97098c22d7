"""Entries, callers and a failing log, judged by the targets' books alone."""

import asyncio
import collections
import contextlib
import random
import unittest

from auburnroad_core import clock
from auburnroad_core.log import keys
from auburnroad_core import types
from auburnroad_daemon.request import intents
from auburnroad_daemon.request import intents_test
from auburnroad_e2e import memory_log

KEYS = 8
CALLERS = 24
TRIES = 4
TRY_MS = 400
SEEDS = range(5)


class Target:
    """Counts what it ran, and answers only some of it."""

    def __init__(self, randomizer):
        self.runs = collections.Counter()
        self._random = randomizer

    def run(self, key):
        """Run a request, or refuse it, or die before or after it."""
        fate = self._random.choice(['run', 'run', 'not-run', 'lost', 'died'])
        if fate in ('run', 'lost'):
            self.runs[key] += 1
        outcomes = {'run': types.Outcome.RUN, 'not-run': types.Outcome.NOT_RUN}
        return outcomes.get(fate, types.Outcome.UNKNOWN)


class Callers:
    """Repeat their keys at any entry, also while an earlier try hangs."""

    def __init__(self, entries, target, randomizer):
        self.claims = collections.defaultdict(set)
        self._entries = entries
        self._target = target
        self._random = randomizer

    async def call(self, key):
        for _ in range(TRIES):
            entry = self._random.choice(self._entries)
            patience_seconds = self._random.choice([0.01, 0.1, 1.0])
            try:
                async with asyncio.timeout(patience_seconds):
                    claim = await self._try(entry, key)
            except TimeoutError:
                claim = 'broken'
            self.claims[key].add(claim)
            await asyncio.sleep(self._random.uniform(0, 0.1))

    async def _try(self, entry, key):
        admission = await entry.acquire(key, milliseconds=TRY_MS)
        if not isinstance(admission, intents.Held):
            return admission.outcome
        outcome = self._target.run(key)
        # The caller may go away while the entry settles.
        await entry.gate.settle(admission, outcome, 0)
        return outcome


async def disturb(log, randomizer):
    """Command faults, alone and together, until cancelled."""
    while True:
        await asyncio.sleep(randomizer.uniform(0.0, 0.1))
        fault = randomizer.choice(['down', 'lose', 'hold', 'release', 'none'])
        log.down = fault == 'down'
        log.lose_answers = 3 if fault == 'lose' else log.lose_answers
        log.hold_appends = 2 if fault == 'hold' else log.hold_appends
        if fault == 'release':
            log.release()


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_key_runs_twice_whatever_the_log_does(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.check(random.Random(seed))

    async def check(self, randomizer):
        log = memory_log.MemoryLog()
        entries = [intents_test.Entry(log, f'e{n}') for n in range(3)]
        target = Target(randomizer)
        callers = Callers(entries, target, randomizer)
        names = [keys.build_key(clock.time_now_ms()) for _ in range(KEYS)]
        async with contextlib.AsyncExitStack() as stack:
            for entry in entries:
                await stack.enter_async_context(entry.running())
            trouble = asyncio.create_task(disturb(log, randomizer))
            await asyncio.gather(
                *(callers.call(names[n % KEYS]) for n in range(CALLERS))
            )
            trouble.cancel()
            log.down = False
            log.release()
            await self.check_free_keys(entries, callers, target, names)
        self.assertLessEqual(max(target.runs.values(), default=0), 1)
        for key, claims in callers.claims.items():
            if claims == {types.Outcome.NOT_RUN}:
                self.assertEqual(target.runs[key], 0)

    async def check_free_keys(self, entries, callers, target, names):
        """After the trouble, a key that was never run can still be."""
        for key in names:
            if callers.claims[key] != {types.Outcome.NOT_RUN}:
                continue
            admission = await entries[0].acquire(key)
            self.assertIsInstance(admission, intents.Held)
