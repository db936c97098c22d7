"""Tests that a soak whose own event loop is blocked is noticed.

Its callers got no answer while the soak itself did not run, and the gateways
were blamed.
"""

import asyncio
import time
import unittest

from auburnroad_e2e.soak import stalls


class LoopTraceTest(unittest.IsolatedAsyncioTestCase):
    """A trace of wake-ups at given times, or of a running loop."""

    def setUp(self):
        self.trace = stalls.LoopTrace()

    def wake_up(self, *times):
        for now in times:
            self.trace.note_wake_up(now)

    def test_loop_that_runs_has_no_stall(self):
        self.wake_up(10.0, 10.05, 10.3, 10.7)
        self.assertAlmostEqual(0.4, self.trace.largest_gap)
        self.assertFalse(self.trace.leave_out(0.0, 100.0))

    def test_first_wake_up_ends_no_gap(self):
        self.wake_up(10.0)
        self.assertEqual(0.0, self.trace.largest_gap)

    def test_stall_covers_the_time_between_two_wake_ups_only(self):
        self.wake_up(10.0, 12.0, 12.05)
        self.assertEqual([stalls.Stall(10.0, 12.0)], self.trace.stalls)
        self.assertTrue(self.trace.leave_out(9.0, 10.1))
        self.assertTrue(self.trace.leave_out(10.5, 10.6))
        self.assertTrue(self.trace.leave_out(11.9, 13.0))
        self.assertFalse(self.trace.leave_out(8.0, 10.0))
        self.assertFalse(self.trace.leave_out(12.0, 13.0))

    def test_description_names_gap_and_stalls(self):
        self.wake_up(10.0, 12.0)
        text = self.trace.describe(7.0)
        self.assertIn('largest gap 2.00 s', text)
        self.assertIn('2.00 s at 3.0 s', text)

    def test_judgments_that_are_left_out_are_counted(self):
        """A run that judged next to nothing is not to look like a good one."""
        self.wake_up(10.0, 12.0)
        for start in (9.0, 10.5, 12.5):
            self.trace.leave_out(start, start + 2.0)
        self.assertIn('2 judgments left out', self.trace.describe(0.0))

    async def test_blocked_loop_is_a_stall(self):
        task = asyncio.create_task(self.trace.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)
        time.sleep(stalls.STALL_SECONDS)
        while self.trace.largest_gap < stalls.STALL_SECONDS:
            await asyncio.sleep(stalls.TIMER_SECONDS)
        self.assertTrue(self.trace.stalls)
