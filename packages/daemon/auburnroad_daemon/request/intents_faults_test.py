"""Randomized test of idempotency keys with a failing log service.

The check uses only the runs that the target counted and the outcomes that the
callers received, not the state of the entries.
"""

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

KEY_COUNT = 8
CALLER_COUNT = 24
REQUESTS_PER_CALLER = 4
ACQUIRE_TIMEOUT_MS = 400
SEEDS = range(5)


class Target:
    """A target that counts runs by key and answers only some requests."""

    def __init__(self, randomizer):
        self.runs = collections.Counter()
        self._random = randomizer

    def run(self, key):
        """Run a request, refuse it, or fail before or after running it."""
        behavior = self._random.choice(
            ['run', 'run', 'not-run', 'lost', 'died']
        )
        if behavior in ('run', 'lost'):
            self.runs[key] += 1
        outcomes = {'run': types.Outcome.RUN, 'not-run': types.Outcome.NOT_RUN}
        return outcomes.get(behavior, types.Outcome.UNKNOWN)


class Callers:
    """Callers that retry keys at any entry, also during an earlier request."""

    def __init__(self, entries, target, randomizer):
        self.reported = collections.defaultdict(set)
        self._entries = entries
        self._target = target
        self._random = randomizer

    async def call(self, key):
        for _ in range(REQUESTS_PER_CALLER):
            entry = self._random.choice(self._entries)
            timeout_seconds = self._random.choice([0.01, 0.1, 1.0])
            try:
                async with asyncio.timeout(timeout_seconds):
                    outcome = await self._send(entry, key)
            except TimeoutError:
                outcome = 'broken'
            self.reported[key].add(outcome)
            await asyncio.sleep(self._random.uniform(0, 0.1))

    async def _send(self, entry, key):
        admission = await entry.acquire(key, milliseconds=ACQUIRE_TIMEOUT_MS)
        if not isinstance(admission, intents.Held):
            return admission.outcome
        outcome = self._target.run(key)
        # The caller may time out while the entry records the outcome.
        await entry.gate.settle(admission, outcome, 0)
        return outcome


async def inject_faults(log, randomizer):
    """Inject log faults, alone or combined, until the task is cancelled."""
    while True:
        await asyncio.sleep(randomizer.uniform(0.0, 0.1))
        fault = randomizer.choice(['down', 'lose', 'hold', 'release', 'none'])
        log.down = fault == 'down'
        log.lose_answers = 3 if fault == 'lose' else log.lose_answers
        log.hold_appends = 2 if fault == 'hold' else log.hold_appends
        if fault == 'release':
            log.release()


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a second run of a request, and against wrong outcomes.

    After outages, lost answers and delayed appends an entry may not know
    whether its Intent was appended. A key reported only as not run must not
    have been run, and must be free afterwards.
    """

    async def test_request_is_run_at_most_once_under_log_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.check(random.Random(seed))

    async def check(self, randomizer):
        log = memory_log.MemoryLog()
        entries = [intents_test.Entry(log, f'e{n}') for n in range(3)]
        target = Target(randomizer)
        callers = Callers(entries, target, randomizer)
        request_keys = [
            keys.build_key(clock.time_now_ms()) for _ in range(KEY_COUNT)
        ]
        async with contextlib.AsyncExitStack() as stack:
            for entry in entries:
                await stack.enter_async_context(entry.running())
            faults = asyncio.create_task(inject_faults(log, randomizer))
            await asyncio.gather(
                *(
                    callers.call(request_keys[n % KEY_COUNT])
                    for n in range(CALLER_COUNT)
                )
            )
            faults.cancel()
            log.down = False
            log.release()
            await self.check_free_keys(entries, callers, target, request_keys)
        self.assertLessEqual(max(target.runs.values(), default=0), 1)
        for key, reported in callers.reported.items():
            if reported == {types.Outcome.NOT_RUN}:
                self.assertEqual(target.runs[key], 0)

    async def check_free_keys(self, entries, callers, target, request_keys):
        """Check that keys reported only as not run can be acquired."""
        for key in request_keys:
            if callers.reported[key] != {types.Outcome.NOT_RUN}:
                continue
            admission = await entries[0].acquire(key)
            self.assertIsInstance(admission, intents.Held)
