"""Tests that at most one gateway at a time sends orders for a service.

Guards against two holders of one duty: concurrent claims, a claim before the
previous holder's lease expires, and a holder whose heartbeats fail.
"""

import contextlib
import unittest
from unittest import mock

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.weights import duty
from auburnroad_standins import partition_log

LEASE_MS = 3000


def build_holder(incarnation, idle_ms=0):
    return msgspec.msgpack.encode(duty.DutyRecord(incarnation, idle_ms))


class DutiesTestCase(unittest.IsolatedAsyncioTestCase):
    """One gateway that tracks the duty for service 's'."""

    async def asyncSetUp(self):
        self.log = partition_log.PartitionLog()
        self.members = membership.Membership(
            membership_test.build_settings(), None
        )
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.subject = duty.Duties(self.members, self.log, LEASE_MS)
        self.tail = tail.KeyedTail(
            self.log, duty.TOPIC, self.subject.apply, 0.0
        )
        self.tail._initial_read_done.set()

    async def claim(self):
        await self.tail.catch_up()
        await self.subject.claim_if_vacant('s', self.tail)
        with contextlib.suppress(Exception):
            await self.tail.catch_up()

    def die(self, incarnation):
        """Let a gateway be known to send no heartbeats."""
        heartbeat = membership.Heartbeat(incarnation, 'd:1', False)
        self.members.apply(
            service.KeyedRecord('d', msgspec.msgpack.encode(heartbeat), 0)
        )
        self.members._members['d'].alive = False

    def may_act(self, seconds_later=0.0):
        now = clock.read_boot_clock_seconds() + seconds_later
        self.members.presumed_alive_until = now + 1
        return self.subject.is_holder('s', now)


class DutiesTest(DutiesTestCase):
    """The members are known."""

    async def test_holder_is_watched_closely_until_the_duty_is_released(self):
        await self.claim()
        self.assertTrue(self.members.holds_duty)
        await self.subject.release(self.tail)
        await self.tail.catch_up()
        self.assertFalse(self.members.holds_duty)

    async def test_runner_is_the_live_holder_or_else_the_next_claimant(
        self,
    ):
        self.assertEqual(
            self.members.incarnation, self.subject.choose_runner('s')
        )
        heartbeat = membership.Heartbeat('other', 'b:1', False)
        self.members.apply(
            service.KeyedRecord('b', msgspec.msgpack.encode(heartbeat), 0)
        )
        for holder, runner in (('other', 'other'), ('dead', None)):
            self.log.put(duty.TOPIC, 's', build_holder(holder))
            await self.tail.catch_up()
            self.assertEqual(
                runner or self.members.choose_member('s'),
                self.subject.choose_runner('s'),
            )

    async def test_service_without_a_duty_shares_the_holder_of_another(self):
        """Permits moved with each restart in turn, and none were granted."""
        heartbeat = membership.Heartbeat('other', 'b:1', False)
        self.members.apply(
            service.KeyedRecord('b', msgspec.msgpack.encode(heartbeat), 0)
        )
        plain = self.subject.choose_granting('plain')
        self.assertEqual(self.members.choose_member('plain'), plain)
        for holder in (self.members.incarnation, 'other'):
            self.log.put(duty.TOPIC, 's', build_holder(holder))
            await self.tail.catch_up()
            for name in ('s', 'plain'):
                self.assertEqual(holder, self.subject.choose_granting(name))

    async def test_duty_without_previous_holder_is_claimed_immediately(self):
        await self.claim()
        self.assertEqual(
            self.members.incarnation, self.subject.find_holder('s')
        )
        self.assertTrue(self.may_act())

    async def test_duty_of_a_live_holder_is_not_claimed(self):
        self.log.put(duty.TOPIC, 's', build_holder(self.members.incarnation))
        await self.claim()
        self.assertEqual(1, len(self.log.list_records(duty.TOPIC)))

    async def test_second_of_two_concurrent_claims_fails(self):
        await self.tail.catch_up()
        self.log.put(duty.TOPIC, 's', build_holder('faster'))
        await self.subject.claim_if_vacant('s', self.tail)
        await self.tail.catch_up()
        self.assertEqual(1, len(self.log.list_records(duty.TOPIC)))
        self.assertFalse(self.may_act())

    async def test_older_record_does_not_bring_a_former_holder_back(self):
        """An old snapshot gave a duty back to the holder before."""
        own = build_holder(self.members.incarnation)
        self.log.put(duty.TOPIC, 's', own)
        self.log.put(duty.TOPIC, 's', build_holder('other'))
        await self.tail.catch_up()
        self.subject.apply(service.KeyedRecord('s', own, 0))
        self.assertEqual(2, self.subject.find_fence('s'))
        self.assertFalse(self.may_act())

    async def test_new_holder_waits_until_the_previous_lease_expires(self):
        self.log.put(duty.TOPIC, 's', build_holder('dead'))
        await self.claim()
        self.assertFalse(self.may_act())
        self.assertTrue(self.may_act(LEASE_MS / 1000))

    async def test_release_after_idle_time_shortens_the_wait(self):
        self.log.put(duty.TOPIC, 's', build_holder('old'))
        self.log.put(duty.TOPIC, 's', build_holder('', 2900))
        await self.claim()
        self.assertFalse(self.may_act())
        self.assertTrue(self.may_act(0.2))

    async def test_snapshot_that_repeats_the_record_keeps_the_last_order(self):
        """Its release stated an idle time since the start of the host."""
        await self.claim()
        now = clock.read_boot_clock_seconds()
        self.subject.note_order('s', now)
        (record,) = (await self.log.read_newest(duty.TOPIC)).records
        self.subject.apply(record)
        self.assertEqual(now, self.subject._duties['s'].last_order_at)

    async def test_release_before_any_order_keeps_the_wait(self):
        """The idle time of the holder before it must not be forgotten."""
        self.log.put(duty.TOPIC, 's', build_holder('dead'))
        await self.claim()
        wait_until = self.subject._duties['s'].act_not_before
        await self.subject.release(self.tail)
        released = self.subject._duties['s']
        self.assertEqual('', released.holder)
        self.assertAlmostEqual(wait_until, released.act_not_before, delta=0.1)

    async def test_all_duties_are_released(self):
        """The first release moved the end that the second one stated."""
        for name in ('s', 't'):
            self.log.put(
                duty.TOPIC, name, build_holder(self.members.incarnation)
            )
        await self.tail.catch_up()
        await self.subject.release(self.tail)
        for name in ('s', 't'):
            self.assertEqual('', self.subject.find_holder(name))

    async def test_release_reads_nothing_for_duties_of_other_gateways(self):
        """In an outage of the log, each read would take time of the stop."""
        for name in ('s', 't'):
            self.log.put(duty.TOPIC, name, build_holder('other'))
        await self.tail.catch_up()
        with mock.patch.object(
            tail.KeyedTail, 'catch_up', autospec=True
        ) as catch_up:
            await self.subject.release(self.tail)
        catch_up.assert_not_called()

    async def test_duty_at_the_platform_waits_the_whole_lease(self):
        """A holder that lost the log may call until it counts as dead."""
        self.die('dead')
        for key in ('s', duty.USAGE_KEY):
            self.log.put(duty.TOPIC, key, build_holder('dead'))
        await self.tail.catch_up()
        for key in ('s', duty.USAGE_KEY):
            self.log.put(duty.TOPIC, key, build_holder('next'))
        await self.tail.catch_up()
        service, platform = (
            self.subject._duties[key].act_not_before
            for key in ('s', duty.USAGE_KEY)
        )
        # Both were claimed within one read; the difference is the silence.
        self.assertGreater(platform - service, 0.5)

    async def test_fencing_number_increases_with_each_holder(self):
        self.log.put(duty.TOPIC, 's', build_holder('dead'))
        await self.tail.catch_up()
        before = self.subject.find_fence('s')
        await self.claim()
        self.assertGreater(self.subject.find_fence('s'), before)

    async def test_holder_without_confirmed_heartbeat_may_not_act(self):
        await self.claim()
        now = clock.read_boot_clock_seconds()
        self.members.presumed_alive_until = now - 0.1
        self.assertFalse(self.subject.is_holder('s', now))


class ReturnedHolderTest(DutiesTestCase):
    """The host that held the duty is back, after a loss of all gateways.

    Guards against seconds without weight loads and without runs: the live
    members are known after a while only, and another host has to wait for the
    lease to expire.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.members._observing_since = 0.0
        self.former = membership.build_incarnation(
            membership_test.build_settings().name
        )

    def hold(self, incarnation, settled=True):
        """Let a gateway have claimed the duty some time ago."""
        claimed = duty.DutyRecord(incarnation, settled=settled)
        self.log.put(duty.TOPIC, 's', msgspec.msgpack.encode(claimed))

    async def test_same_host_goes_on_at_once(self):
        self.hold(self.former)
        await self.claim()
        self.assertEqual(
            self.members.incarnation, self.subject.find_holder('s')
        )
        self.assertTrue(self.may_act())

    async def test_own_heartbeat_of_before_is_no_live_holder(self):
        """The snapshot of members shows it until the first new heartbeat."""
        name = membership_test.build_settings().name
        heartbeat = membership.Heartbeat(self.former, 'a:1', False)
        self.members.apply(
            service.KeyedRecord(name, msgspec.msgpack.encode(heartbeat), 0)
        )
        await self.test_same_host_goes_on_at_once()

    async def test_wait_for_the_holder_before_outlives_a_restart(self):
        """Orders of two hosts must be a lease apart."""
        self.hold(self.former, settled=False)
        await self.claim()
        self.assertFalse(self.may_act(2.5))
        self.assertTrue(self.may_act(LEASE_MS / 1000))

    async def test_holder_records_the_end_of_its_wait_once(self):
        """By the wall clock, a step of it cut the wait of the next start."""
        self.hold(membership.build_incarnation('elsewhere'))
        await self.tail.catch_up()
        self.hold(self.members.incarnation, settled=False)
        await self.tail.catch_up()
        later = clock.read_boot_clock_seconds() + LEASE_MS / 1000
        for now, records in ((later - 1, 2), (later, 3), (later + 9, 3)):
            self.members.presumed_alive_until = now + 1
            with mock.patch.object(
                clock,
                'read_boot_clock_seconds',
                autospec=True,
                return_value=now,
            ):
                await self.claim()
            self.assertEqual(records, len(self.log.list_records(duty.TOPIC)))
        self.assertTrue(self.subject._duties['s'].settled)
        self.assertEqual(2, self.subject.find_fence('s'))
        self.assertTrue(self.may_act(LEASE_MS / 1000))

    async def test_another_host_waits_until_members_are_known(self):
        self.hold(membership.build_incarnation('elsewhere'))
        await self.claim()
        self.assertEqual(1, len(self.log.list_records(duty.TOPIC)))

    async def test_holder_that_states_nothing_is_waited_for(self):
        """Guards against a duty that an older gateway had claimed."""
        self.log.put(duty.TOPIC, 's', build_holder(self.former))
        await self.claim()
        self.assertFalse(self.may_act(1.0))
        self.assertTrue(self.may_act(LEASE_MS / 1000))
