"""Tests what the right of a holder to act rests on.

Guards against acts by old records, at the moment of the first byte.
"""

import asyncio
import unittest
from unittest import mock

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.weights import duty
from auburnroad_gateway.weights import duty_test
from auburnroad_gateway.weights import late_claim_test
from auburnroad_standins import partition_log


class LateLog(partition_log.PartitionLog):
    """A log whose reads are answered late, by what they found before.

    Attributes:
      now: Seconds of the boot clock.
      delay: Seconds until a read is answered.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.delay = 0.0

    async def read(self, *arguments):
        found = await super().read(*arguments)
        self.now += self.delay
        return found


class SlowLog(partition_log.PartitionLog):
    """A log that takes a time for each read.

    Attributes:
      reads: Number of reads that have begun.
      delay: Seconds until a read is answered.
    """

    def __init__(self):
        super().__init__()
        self.reads = 0
        self.delay = 0.0

    async def read(self, *arguments):
        self.reads += 1
        await asyncio.sleep(self.delay)
        return await super().read(*arguments)


class SlowReadTest(unittest.IsolatedAsyncioTestCase):
    """A holder that reads its duty slowly, and whose last read is old."""

    async def asyncSetUp(self):
        self.log = SlowLog()
        self.host = late_claim_test.Host('one', self.log)
        await self.host.claim()
        self.host.tail.complete_at -= 60.0

    async def test_read_of_half_a_second_gives_the_right_to_act(self):
        """A slow log ended all orders, though its answers were fresh."""
        self.log.delay = 0.5
        self.assertTrue(await self.host.lease.renew('s'))

    async def test_waiting_orders_share_a_read_that_fails(self):
        """Each order waited for the failures of those before it."""
        self.log.delay = 60.0
        before = self.log.reads
        await asyncio.gather(*(self.host.lease.renew('s') for _ in range(4)))
        self.assertEqual(before + 1, self.log.reads)


class HolderLeaseTest(unittest.IsolatedAsyncioTestCase):
    """A holder whose heartbeats are confirmed all along."""

    async def asyncSetUp(self):
        self.log = LateLog()
        self.enterContext(
            mock.patch.object(
                clock, 'read_boot_clock_seconds', lambda: self.log.now
            )
        )
        self.host = late_claim_test.Host('one', self.log)
        await self.host.claim()
        self.wait = self.host.duties.find_takeover_wait('s')

    def begin(self, fence=1):
        return self.host.lease.begin('s', fence)

    async def test_act_begins_within_half_of_the_next_holders_wait(self):
        """The rest is for what is on its way by then."""
        self.log.now += 0.5 * self.wait - 0.01
        self.assertTrue(self.begin())
        self.log.now += 0.02
        self.assertFalse(self.begin())

    async def test_act_with_another_fence_does_not_begin(self):
        self.assertFalse(self.begin(2))

    async def test_right_is_counted_from_when_a_read_was_sent(self):
        """Another gateway may claim the duty while the answer is late."""
        self.log.now += self.wait
        self.log.delay = 0.6 * self.wait
        await self.host.tail.catch_up()
        self.assertFalse(self.begin())

    async def test_orders_count_beyond_the_record_that_the_wait_is_over(self):
        self.assertTrue(self.begin())
        ordered_at = self.log.now
        own = duty.DutyRecord(
            self.host.members.incarnation, settled=True, fence=1
        )
        self.log.put(duty.TOPIC, 's', msgspec.msgpack.encode(own))
        self.log.now += 0.1
        await self.host.tail.catch_up()
        self.assertEqual(
            ordered_at, self.host.duties._duties['s'].last_order_at
        )

    async def test_claim_that_has_to_wait_does_not_say_it_has_waited(self):
        """A host that was started again meanwhile would act at once."""
        self.log.put(duty.TOPIC, 'x', duty_test.build_holder('dead'))
        await self.host.tail.catch_up()
        await self.host.duties.claim_if_vacant('x', self.host.tail)
        await self.host.tail.catch_up()
        self.assertEqual(3, self.host.duties.find_fence('x'))
        self.assertFalse(self.host.duties._duties['x'].settled)
