"""Tests of checking and acquiring idempotency keys."""

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

KEY_LIFE_MS = 3_600_000
TIMEOUT_MS = 30_000
NOT_RUN = types.Outcome.NOT_RUN
RUN = types.Outcome.RUN
UNKNOWN = types.Outcome.UNKNOWN


def deadline_in(milliseconds=TIMEOUT_MS):
    return clock.time_now_ms() + milliseconds


class Entry:
    """The components of an entry that acquire keys, on a shared log."""

    def __init__(self, log, name):
        self.tail = tails.Tail(log, intent_fold)
        self.appender = appenders.Appender(log, self.tail, group_ms=1)
        self.gate = intents.IntentGate(self.appender, self.tail, name)
        self.gate.key_life_ms = KEY_LIFE_MS

    @contextlib.asynccontextmanager
    async def running(self):
        tasks = [
            asyncio.create_task(service.run())
            for service in (self.tail, self.appender)
        ]
        await self.tail.wait_up_to_date(deadline_in())
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def acquire(self, key, digest='d', milliseconds=TIMEOUT_MS):
        return await self.gate.acquire(key, digest, deadline_in(milliseconds))


class CheckKeyTest(unittest.TestCase):
    """Guards against accepting malformed, expired or future keys."""

    def test_expired_and_future_keys_are_refused(self):
        now_ms = 10 * KEY_LIFE_MS
        cases = {
            now_ms: None,
            now_ms - KEY_LIFE_MS: None,
            now_ms - KEY_LIFE_MS - 1: 'key_expired',
            now_ms + intent_fold.MAX_CLOCK_SKEW_MS + 1: 'key_from_future',
        }
        for key_ms, code in cases.items():
            refused = intents.check_key(
                keys.build_key(key_ms), now_ms, KEY_LIFE_MS
            )
            self.assertEqual(getattr(refused, 'code', None), code)

    def test_expired_key_has_unknown_outcome(self):
        refused = intents.check_key(
            keys.build_key(0), 10 * KEY_LIFE_MS, KEY_LIFE_MS
        )
        self.assertEqual(refused.outcome, UNKNOWN)

    def test_key_that_is_not_uuid7_is_refused(self):
        refused = intents.check_key(str(uuid.uuid4()), 0, KEY_LIFE_MS)
        self.assertEqual((refused.status, refused.code), (400, 'bad_key'))


class GateTest(unittest.IsolatedAsyncioTestCase):
    """Guards against two attempts that hold one key, and against lost keys.

    Two entries acquire keys through the same log, also during outages of the
    log service, lost answers and delayed appends.
    """

    async def asyncSetUp(self):
        self.log = memory_log.MemoryLog()
        self.first = Entry(self.log, 'e1')
        self.second = Entry(self.log, 'e2')
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        for entry in (self.first, self.second):
            await self.stack.enter_async_context(entry.running())
        self.key = keys.build_key(clock.time_now_ms())

    async def test_key_acquired_by_two_entries_is_held_by_one(self):
        admissions = await asyncio.gather(
            self.first.acquire(self.key), self.second.acquire(self.key)
        )
        held = [a for a in admissions if isinstance(a, intents.Held)]
        self.assertEqual(len(held), 1)
        self.assertIn(intents.Taken(UNKNOWN, 0), admissions)

    async def test_requests_without_key_get_distinct_keys(self):
        held = await asyncio.gather(*(self.first.acquire('') for _ in 'abc'))
        self.assertEqual(len({one.key for one in held}), 3)

    async def test_retry_receives_outcome_of_first_request(self):
        held = await self.first.acquire(self.key)
        waiting = asyncio.create_task(self.second.acquire(self.key.upper()))
        await self.first.gate.settle(held, RUN, 201)
        self.assertEqual(await waiting, intents.Taken(RUN, 201))

    async def test_key_of_request_not_run_is_free_after_settle(self):
        held = await self.first.acquire(self.key)
        await self.first.gate.settle(held, NOT_RUN, 0)
        await self.second.tail.wait_applied(
            self.first.tail.applied, deadline_in()
        )
        second_admission = await self.second.acquire(self.key)
        self.assertIsInstance(second_admission, intents.Held)

    async def test_key_with_different_digest_is_refused(self):
        await self.first.acquire(self.key)
        refused = await self.second.acquire(self.key, 'other')
        self.assertEqual(refused.code, 'key_reused')

    async def test_log_outage_refuses_immediately_as_not_run(self):
        self.log.down = True
        while self.first.tail.is_up_to_date:
            await self.first.tail.wait_change(deadline_in())
        appends = self.log.appends
        refused = await self.first.acquire(self.key)
        self.assertEqual(refused.outcome, NOT_RUN)
        self.assertEqual(refused.code, 'log_unavailable')
        self.assertGreater(refused.retry_at_ms, 0)
        self.assertEqual(self.log.appends, appends)

    async def test_key_of_timed_out_attempt_is_free_for_retry(self):
        # The append of the Intent is delayed until after the deadline.
        self.log.hold_appends = 1000
        refused = await self.first.acquire(self.key, milliseconds=50)
        self.assertEqual(refused.outcome, NOT_RUN)
        for late in (False, True):
            with self.subTest(late=late):
                self.log.hold_appends = 0
                if late:
                    self.log.release()
                second_admission = await self.second.acquire(self.key)
                self.assertIsInstance(second_admission, intents.Held)
                await self.second.gate.settle(second_admission, NOT_RUN, 0)

    async def test_cancelled_attempt_releases_the_key(self):
        self.log.lose_answers = 1
        waiting = asyncio.create_task(self.first.acquire(self.key))
        while not self.log.list_entries(intent_fold.STREAM):
            await asyncio.sleep(0)
        waiting.cancel()
        second_admission = await self.second.acquire(self.key)
        self.assertIsInstance(second_admission, intents.Held)

    async def test_key_older_than_retained_records_is_refused_as_unknown(self):
        self.first.gate.key_life_ms = 1
        self.second.gate.key_life_ms = KEY_LIFE_MS
        now_ms = clock.time_now_ms()
        await self.first.acquire(keys.build_key(now_ms + 30_000))
        refused = await self.second.acquire(
            keys.build_key(now_ms - 10 * intent_fold.FLOOR_STEP_MS)
        )
        self.assertEqual(refused.code, 'key_expired')
        self.assertEqual(refused.outcome, UNKNOWN)
