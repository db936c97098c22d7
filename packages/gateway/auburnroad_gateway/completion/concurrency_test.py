"""Tests of the limit on concurrent calls to a service.

Guards against a burst of reward calls that fills the replicas which callers
use, and against more calls to a service that fails.
"""

import asyncio
import unittest

from auburnroad_gateway.completion import concurrency

CEILING = 4


class ConcurrencyLimitTest(unittest.IsolatedAsyncioTestCase):
    """A burst of calls, more than are allowed at a time."""

    def setUp(self):
        self.subject = concurrency.ConcurrencyLimit(lambda: CEILING)
        self.granted = []

    async def acquire(self, due_ms):
        await self.subject.acquire(due_ms)
        self.granted.append(due_ms)

    async def start(self, dues):
        tasks = [asyncio.create_task(self.acquire(due)) for due in dues]
        await self.settle()
        return tasks

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_no_more_calls_than_the_ceiling_are_sent(self):
        await self.start(range(10))
        self.assertEqual(CEILING, self.subject.in_flight)

    async def test_call_that_is_due_first_gets_the_next_place(self):
        await self.start([1, 1, 1, 1, 9, 5, 7])
        self.subject.release(True)
        await self.settle()
        self.assertEqual([1, 1, 1, 1, 5], self.granted)

    async def test_failed_calls_halve_the_limit_down_to_one(self):
        await self.start(range(20))
        limits = []
        for _ in range(4):
            self.subject.release(False)
            limits.append(self.subject.limit)
        self.assertEqual([2.0, 1.0, 1.0, 1.0], limits)

    async def test_limit_grows_back_to_the_ceiling_after_successes(self):
        await self.start(range(100))
        for _ in range(4):
            self.subject.release(False)
        for _ in range(30):
            await self.settle()
            self.subject.release(True)
        self.assertEqual(CEILING, self.subject.limit)

    async def test_cancelled_call_gives_its_place_to_another(self):
        tasks = await self.start(range(6))
        tasks[5].cancel()
        self.subject.release(True)
        await self.settle()
        self.assertEqual([0, 1, 2, 3, 4], self.granted)
        self.subject.release(True)
        await self.settle()
        self.assertEqual(CEILING - 1, self.subject.in_flight)

    async def test_call_cancelled_after_its_grant_frees_the_place(self):
        tasks = await self.start(range(5))
        self.subject.release(True)
        tasks[4].cancel()
        await self.settle()
        self.assertEqual(CEILING - 1, self.subject.in_flight)
