"""Tests that the soak of the duties sees wrong reports.

Guards against a soak that holds since it compares nothing.
"""

import asyncio
import time
import types
import unittest

from auburnroad_e2e.soak import duties
from auburnroad_e2e.soak import world as worlds
from auburnroad_standins import platform_replica


class FindWrongCountsTest(unittest.IsolatedAsyncioTestCase):
    """Books with one request of account 'alpha' in window 100."""

    def setUp(self):
        self.offset = time.time() - asyncio.new_event_loop().time()
        self.world = types.SimpleNamespace(
            books=platform_replica.Books(), disturbances=[]
        )
        self.api = types.SimpleNamespace(
            reports={100: {'alpha': 1}, 101: {}, 102: {}}
        )
        self.callers = types.SimpleNamespace(sent={})
        self.run_at('u0', 200.5, 200.6)

    def run_at(self, request_id, sent_at, ran_at):
        self.callers.sent[request_id] = ('alpha', sent_at)
        self.world.books.runs.append(
            platform_replica.Run(request_id, 'p0', ran_at - self.offset)
        )

    async def find(self):
        return list(
            duties.find_wrong_counts(self.world, self.api, self.callers, 102)
        )

    async def test_right_counts_are_right(self):
        self.assertEqual([], await self.find())

    async def test_lost_and_doubled_counts_are_seen(self):
        for counts in ({}, {'alpha': 2}):
            self.api.reports[100] = counts
            (found,) = await self.find()
            self.assertIn('1 to 1 run', found)

    async def test_request_between_two_windows_may_count_in_either(self):
        self.run_at('u1', 201.99, 202.01)
        self.assertEqual([], await self.find())
        self.api.reports[101] = {'alpha': 1}
        self.assertEqual([], await self.find())

    async def test_second_run_of_a_request_adds_nothing(self):
        self.run_at('u0', 200.5, 202.5)
        self.assertEqual([], await self.find())

    async def test_window_of_a_killed_gateway_is_excused(self):
        self.api.reports[100] = {}
        self.world.disturbances.append(
            worlds.Disturbance(
                'gateway-killed',
                'g0',
                201.0 - self.offset,
                203.0 - self.offset,
            )
        )
        self.assertEqual([], await self.find())

    async def test_window_without_a_report_is_seen(self):
        del self.api.reports[101]
        found = list(duties.find_missing(self.api, 102))
        self.assertEqual(['window 101 was not reported'], found)
