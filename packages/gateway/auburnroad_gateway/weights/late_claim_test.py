"""Tests that a claim that takes effect late gives no right too soon.

The log service may carry out an append seconds after it was sent, and return
records late. Another host may have held the duty until then.
"""

import unittest
from unittest import mock

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.duties import lease
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.weights import duty
from auburnroad_gateway.weights import duty_test
from auburnroad_standins import partition_log

STEP_MS = 2000


class LateClaimTest(duty_test.DutiesTestCase):
    """A gateway whose host has claimed a duty before it was started again."""

    def hold(self, incarnation, **stated):
        """Record a claim that was decided some time ago."""
        record = duty.DutyRecord(incarnation, **stated)
        self.log.put(duty.TOPIC, 's', msgspec.msgpack.encode(record))

    def build_former(self):
        return membership.build_incarnation(
            membership_test.build_settings().name
        )

    async def test_claim_of_before_that_is_carried_out_late_is_waited_for(
        self,
    ):
        """The other holder acted until then, and the restarted one at once."""
        self.hold('other', settled=True)
        await self.tail.catch_up()
        self.hold(
            self.build_former(), act_not_before_ms=clock.time_now_ms() - 1000
        )
        await self.claim()
        self.assertFalse(self.may_act(1.0))
        self.assertTrue(self.may_act(duty_test.LEASE_MS / 1000))

    async def test_clock_that_is_set_ahead_does_not_shorten_the_wait(self):
        """What was left of the wait was taken from the wall clock."""
        ahead_ms = clock.time_now_ms() + STEP_MS
        self.hold(self.build_former(), act_not_before_ms=ahead_ms)
        with mock.patch.object(clock, 'time_now_ms', lambda: ahead_ms):
            await self.claim()
        self.assertFalse(self.may_act(1.0))

    async def test_restarted_holder_of_a_duty_at_the_platform_waits(self):
        """A late call of before had a lower fence than the first one after."""
        key = duty.USAGE_KEY
        record = duty.DutyRecord(self.build_former(), settled=True)
        self.log.put(duty.TOPIC, key, msgspec.msgpack.encode(record))
        await self.tail.catch_up()
        await self.subject.claim_if_vacant(key, self.tail)
        await self.tail.catch_up()
        self.members.presumed_alive_until = float('inf')
        now = clock.read_boot_clock_seconds()
        self.assertFalse(self.subject.is_holder(key, now + 2.5))
        self.assertTrue(
            self.subject.is_holder(key, now + duty_test.LEASE_MS / 1000)
        )

    async def test_release_counts_the_orders_of_before_a_restart(self):
        """The next holder ordered right after the process that had ended."""
        self.hold(self.build_former(), settled=True)
        await self.claim()
        await self.subject.release(self.tail)
        _, value = service.decode_keyed(self.log.list_records(duty.TOPIC)[-1])
        released = msgspec.msgpack.decode(value, type=duty.DutyRecord)
        self.assertEqual('', released.incarnation)
        self.assertLess(released.idle_ms, duty_test.LEASE_MS)

    async def test_holder_that_was_not_silent_is_waited_for_in_full(self):
        """It ordered until its stop began; silence was taken off the lease."""
        heartbeat = membership.Heartbeat('other', 'b:1', True)
        self.members.apply(
            service.KeyedRecord('b', msgspec.msgpack.encode(heartbeat), 0)
        )
        self.log.put(duty.TOPIC, 's', duty_test.build_holder('other'))
        await self.claim()
        self.assertEqual(2, self.subject.find_fence('s'))
        self.assertFalse(self.may_act(2.5))
        self.assertTrue(self.may_act(duty_test.LEASE_MS / 1000))


class LateRecordTest(duty_test.DutiesTestCase):
    """A gateway that has lost its duty to another one."""

    async def test_record_of_before_does_not_bring_the_duty_back(self):
        """A snapshot that was returned late made it the holder again."""
        await self.claim()
        (record,) = (await self.log.read_newest(duty.TOPIC)).records
        self.log.put(duty.TOPIC, 's', duty_test.build_holder('other'))
        await self.tail.catch_up()
        self.subject.apply(service.KeyedRecord('s', record.value, 0))
        self.assertEqual(2, self.subject.find_fence('s'))
        self.assertFalse(self.may_act(10.0))


class Host:
    """The duties of one gateway, and its right to act for them."""

    def __init__(self, name, log):
        self.members = membership.Membership(
            membership_test.build_settings(name), None
        )
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.members.presumed_alive_until = float('inf')
        self.duties = duty.Duties(self.members, log, duty_test.LEASE_MS)
        self.tail = tail.KeyedTail(log, duty.TOPIC, self.duties.apply, 0.0)
        self.tail._initial_read_done.set()
        self.lease = lease.HolderLease(self.duties, self.tail)

    async def claim(self):
        await self.tail.catch_up()
        await self.duties.claim_if_vacant('s', self.tail)
        await self.tail.catch_up()


class TwoHostsTest(unittest.IsolatedAsyncioTestCase):
    """A holder, and a host that was started again after it had claimed."""

    async def test_late_claim_does_not_let_two_hosts_act_at_once(self):
        """Their fences were 1 and 3, and the replica checks none."""
        log = partition_log.PartitionLog()
        one, two = Host('one', log), Host('two', log)
        await one.claim()
        await two.tail.catch_up()
        claim = duty.DutyRecord(
            membership.build_incarnation('two'), 0, clock.time_now_ms() - 1000
        )
        log.put(duty.TOPIC, 's', msgspec.msgpack.encode(claim))
        await two.claim()
        self.assertEqual(3, two.duties.find_fence('s'))
        self.assertTrue(one.lease.may_act('s'))
        self.assertFalse(two.lease.may_act('s'))
