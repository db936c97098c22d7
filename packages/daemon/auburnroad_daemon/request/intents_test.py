import asyncio
import contextlib
import unittest
import uuid

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import intent_fold
from auburnroad_core.log import keys
from auburnroad_core.log import tail as tails
from auburnroad_core import types
from auburnroad_daemon.request import intents
from auburnroad_e2e import memory_log

LIFE_MS = 3_600_000
LONG_MS = 30_000
NOT_RUN = types.Outcome.NOT_RUN
RUN = types.Outcome.RUN
UNKNOWN = types.Outcome.UNKNOWN


def soon(milliseconds=LONG_MS):
    return clock.time_now_ms() + milliseconds


class Entry:
    """The part of an entry that gives out keys."""

    def __init__(self, log, name):
        self.tail = tails.Tail(log, intent_fold)
        self.appender = appenders.Appender(log, self.tail, group_ms=1)
        self.gate = intents.IntentGate(self.appender, self.tail, name)
        self.gate.key_life_ms = LIFE_MS

    @contextlib.asynccontextmanager
    async def running(self):
        tasks = [
            asyncio.create_task(subject.run())
            for subject in (self.tail, self.appender)
        ]
        await self.tail.wait_up(soon())
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def acquire(self, key, digest='d', milliseconds=LONG_MS):
        return await self.gate.acquire(key, digest, soon(milliseconds))


class CheckKeyTest(unittest.TestCase):
    def test_key_tells_its_age(self):
        now_ms = 10 * LIFE_MS
        cases = {
            now_ms: None,
            now_ms - LIFE_MS: None,
            now_ms - LIFE_MS - 1: 'key_expired',
            now_ms + intent_fold.FUTURE_MARGIN_MS + 1: 'key_from_future',
        }
        for made_ms, code in cases.items():
            refused = intents.check_key(
                keys.build_key(made_ms), now_ms, LIFE_MS
            )
            self.assertEqual(getattr(refused, 'code', None), code)

    def test_expired_key_is_not_said_to_be_not_run(self):
        refused = intents.check_key(keys.build_key(0), 10 * LIFE_MS, LIFE_MS)
        self.assertEqual(refused.outcome, UNKNOWN)

    def test_other_texts_are_refused(self):
        refused = intents.check_key(str(uuid.uuid4()), 0, LIFE_MS)
        self.assertEqual((refused.status, refused.code), (400, 'bad_key'))


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = memory_log.MemoryLog()
        self.first = Entry(self.log, 'e1')
        self.second = Entry(self.log, 'e2')
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        for entry in (self.first, self.second):
            await self.stack.enter_async_context(entry.running())
        self.key = keys.build_key(clock.time_now_ms())

    async def test_one_of_two_entries_holds_a_key(self):
        admissions = await asyncio.gather(
            self.first.acquire(self.key), self.second.acquire(self.key)
        )
        held = [a for a in admissions if isinstance(a, intents.Held)]
        self.assertEqual(len(held), 1)
        self.assertIn(intents.Taken(UNKNOWN, 0), admissions)

    async def test_requests_without_a_key_get_one_each(self):
        held = await asyncio.gather(*(self.first.acquire('') for _ in 'abc'))
        self.assertEqual(len({one.key for one in held}), 3)

    async def test_repetition_is_told_what_became_of_the_first(self):
        held = await self.first.acquire(self.key)
        waiting = asyncio.create_task(self.second.acquire(self.key.upper()))
        await self.first.gate.settle(held, RUN, 201)
        self.assertEqual(await waiting, intents.Taken(RUN, 201))

    async def test_key_of_a_refused_request_is_free_at_once(self):
        held = await self.first.acquire(self.key)
        await self.first.gate.settle(held, NOT_RUN, 0)
        await self.second.tail.wait_applied(self.first.tail.applied, soon())
        again = await self.second.acquire(self.key)
        self.assertIsInstance(again, intents.Held)

    async def test_key_of_another_request_is_refused(self):
        await self.first.acquire(self.key)
        refused = await self.second.acquire(self.key, 'other')
        self.assertEqual(refused.code, 'key_reused')

    async def test_outage_refuses_at_once_as_not_run(self):
        self.log.down = True
        while self.first.tail.up:
            await self.first.tail.wait_change(soon())
        appends = self.log.appends
        refused = await self.first.acquire(self.key)
        self.assertEqual(refused.outcome, NOT_RUN)
        self.assertEqual(refused.code, 'log_unavailable')
        self.assertGreater(refused.retry_at_ms, 0)
        self.assertEqual(self.log.appends, appends)

    async def test_abandoned_attempt_leaves_the_key_to_the_repetition(self):
        # The Intent is on its way while its entry gives up.
        self.log.hold_appends = 1000
        refused = await self.first.acquire(self.key, milliseconds=50)
        self.assertEqual(refused.outcome, NOT_RUN)
        for late in (False, True):
            with self.subTest(late=late):
                self.log.hold_appends = 0
                if late:
                    self.log.release()
                again = await self.second.acquire(self.key)
                self.assertIsInstance(again, intents.Held)
                await self.second.gate.settle(again, NOT_RUN, 0)

    async def test_cancelled_attempt_gives_the_key_free(self):
        self.log.lose_answers = 1
        waiting = asyncio.create_task(self.first.acquire(self.key))
        while not self.log.list_entries(intent_fold.STREAM):
            await asyncio.sleep(0)
        waiting.cancel()
        again = await self.second.acquire(self.key)
        self.assertIsInstance(again, intents.Held)

    async def test_key_below_the_floor_of_the_fold_is_unknown(self):
        self.first.gate.key_life_ms = 1
        self.second.gate.key_life_ms = LIFE_MS
        now_ms = clock.time_now_ms()
        await self.first.acquire(keys.build_key(now_ms + 30_000))
        refused = await self.second.acquire(
            keys.build_key(now_ms - 10 * intent_fold.FLOOR_STEP_MS)
        )
        self.assertEqual(refused.code, 'key_expired')
        self.assertEqual(refused.outcome, UNKNOWN)
