"""Tests failure detection among gateways and the choice of a member.

Guards against declaring a live gateway dead during an outage of the log
service, a suspension of the process or slow appends, and against two gateways
that act at the same time.
"""

import asyncio
import unittest
from unittest import mock

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.members import membership
from auburnroad_gateway.model import settings

STEP_SECONDS = 0.2
# Of a member that holds no duty.
DEAD_TIMEOUT_SECONDS = 1.6


def build_settings(name='own'):
    return settings.Settings(
        name, '127.0.0.1', 'a', '127.0.0.1:1', '127.0.0.1:2', 3, 4, 'log:5'
    )


class SlowLog:
    """A log with a fixed append latency."""

    on_detour = False

    def __init__(self, seconds):
        self._seconds = seconds

    async def append(self, topic, partition, records):
        await asyncio.sleep(self._seconds)


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """A gateway acts only while no other gateway considers it dead."""

    async def test_presumed_alive_time_is_shorter_than_the_dead_timeout(
        self,
    ):
        for seconds in (0.0, 0.2):
            subject = membership.Membership(build_settings(), SlowLog(seconds))
            before = clock.read_boot_clock_seconds()
            task = asyncio.create_task(subject.run_heartbeats())
            while not subject.presumed_alive_until:
                await asyncio.sleep(0.01)
            task.cancel()
            left = subject.presumed_alive_until - before
            self.assertLess(left, DEAD_TIMEOUT_SECONDS)
            self.assertGreater(left, membership.HEARTBEAT_SECONDS)

    async def test_holder_of_a_duty_sends_heartbeats_more_often(self):
        """All runs of a service wait until the loss of its holder is seen."""
        log = mock.AsyncMock(on_detour=False)
        subject = membership.Membership(build_settings(), log)
        task = asyncio.create_task(subject.run_heartbeats())
        intervals = []
        for holds in (False, True, False):
            subject.holds_duty = holds
            sent = log.append.await_count
            while log.append.await_count == sent:
                await asyncio.sleep(0)
            (record,) = log.append.await_args.args[2]
            heartbeat = msgspec.msgpack.decode(
                service.decode_keyed(record)[1], type=membership.Heartbeat
            )
            intervals.append(heartbeat.interval_ms)
        task.cancel()
        self.assertEqual([500, 200, 500], intervals)

    async def test_dead_timeout_grows_with_the_heartbeat_interval(self):
        fast = membership.find_dead_timeout(membership.HEARTBEAT_SECONDS)
        slow = membership.find_dead_timeout(membership.HEARTBEAT_MAX_SECONDS)
        self.assertEqual(DEAD_TIMEOUT_SECONDS, fast)
        holder = membership.find_dead_timeout(
            membership.HOLDER_HEARTBEAT_SECONDS
        )
        self.assertEqual(1.0, holder)
        self.assertEqual(3 * membership.HEARTBEAT_MAX_SECONDS, slow)


class ChangesTest(unittest.TestCase):
    """All gateways of a large deployment start at once."""

    def test_changes_between_two_checks_are_one_log_line(self):
        subject = membership.Membership(build_settings(), None)
        for number in range(88):
            heartbeat = membership.Heartbeat(f'i{number}', 'h:1', False)
            subject.apply(
                service.KeyedRecord(
                    f'h{number:02}', msgspec.msgpack.encode(heartbeat), 0
                )
            )
        with mock.patch.object(
            membership.events, 'write', autospec=True
        ) as write:
            subject.check(100.0, 100.0, 100.0)
            subject.check(100.2, 100.2, 100.2)
        write.assert_called_once_with(
            'members_changed',
            count=88,
            leaving=0,
            members=[f'h{number:02}' for number in range(8)],
        )


class MembershipTest(unittest.TestCase):
    """One gateway that monitors other gateways."""

    def setUp(self):
        self.subject = membership.Membership(build_settings(), None)
        self.now = 100.0

    def apply_heartbeat(
        self, name, incarnation, started_ms=0, leaving=False, **fields
    ):
        heartbeat = membership.Heartbeat(
            incarnation,
            f'{name}:1',
            leaving,
            'a',
            started_ms,
            **fields,
        )
        self.subject.apply(
            service.KeyedRecord(name, msgspec.msgpack.encode(heartbeat), 0)
        )
        for member in self.subject._members.values():
            if member.name == name:
                member.seen_at = self.now

    def advance(self, seconds, readable=True):
        read_at = self.now
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            if readable:
                read_at = self.now
            self.subject.check(self.now, read_at, read_at)

    def test_member_without_heartbeats_is_declared_dead(self):
        self.apply_heartbeat('other', 'o1')
        self.advance(DEAD_TIMEOUT_SECONDS + 2 * STEP_SECONDS)
        self.assertFalse(self.subject.is_alive('o1'))

    def test_no_member_is_declared_dead_while_log_is_unreadable(self):
        self.apply_heartbeat('other', 'o1')
        self.advance(60, readable=False)
        self.assertTrue(self.subject.is_alive('o1'))

    def test_holder_is_not_declared_dead_when_an_outage_begins(self):
        """Its heartbeats are missing as soon as the log is.

        A read that started before the outage is noticed only when it times
        out, later than a holder's dead timeout.
        """
        self.apply_heartbeat('other', 'o1', interval_ms=200)
        self.advance(STEP_SECONDS)
        self.advance(1.4, readable=False)
        self.assertTrue(self.subject.is_alive('o1'))

    def test_silent_holder_is_declared_dead_sooner_than_others(self):
        self.apply_heartbeat('other', 'o1', interval_ms=200)
        self.apply_heartbeat('third', 'o2')
        self.advance(1.4)
        self.assertFalse(self.subject.is_alive('o1'))
        self.assertTrue(self.subject.is_alive('o2'))

    def test_no_member_is_declared_dead_after_own_suspension(self):
        self.apply_heartbeat('other', 'o1')
        self.advance(0.4)
        self.now += 30
        self.subject.check(self.now, self.now, self.now)
        self.assertTrue(self.subject.is_alive('o1'))

    def test_slow_appends_extend_the_dead_timeout(self):
        """Other members' appends may be as slow as this gateway's."""
        self.apply_heartbeat('other', 'o1')
        self.subject._sent_at = self.now
        self.advance(DEAD_TIMEOUT_SECONDS + 2 * STEP_SECONDS)
        self.assertTrue(self.subject.is_alive('o1'))

    def test_restarted_member_replaces_its_old_incarnation(self):
        self.apply_heartbeat('other', 'o1')
        self.apply_heartbeat('other', 'o2')
        self.assertFalse(self.subject.is_alive('o1'))
        self.assertTrue(self.subject.is_alive('o2'))

    def test_no_member_is_chosen_before_the_members_are_known(self):
        self.assertEqual('', self.subject.choose_member('work'))
        self.advance(membership.DISCOVERY_SECONDS + 2 * STEP_SECONDS)
        self.assertEqual(
            self.subject.incarnation, self.subject.choose_member('work')
        )

    def test_youngest_member_that_is_not_leaving_is_chosen(self):
        self.advance(membership.DISCOVERY_SECONDS + 2 * STEP_SECONDS)
        future = 10**13
        self.apply_heartbeat('other', 'o1', future)
        self.apply_heartbeat('third', 'o2', future * 2, leaving=True)
        self.assertEqual('o1', self.subject.choose_member('work'))

    def test_host_with_few_cores_is_not_chosen_beside_stronger_hosts(self):
        self.advance(membership.DISCOVERY_SECONDS + 2 * STEP_SECONDS)
        future = 10**13
        self.apply_heartbeat('weak', 'o1', future * 2, cores=0.4)
        self.apply_heartbeat('strong', 'o2', future, cores=2.15)
        self.assertEqual('o2', self.subject.choose_member('work'))
        self.apply_heartbeat('strong', 'o2', future, leaving=True, cores=2.15)
        self.assertEqual(
            self.subject.incarnation, self.subject.choose_member('work')
        )

    def test_address_of_a_member_is_found_by_its_incarnation(self):
        heartbeat = membership.Heartbeat('young', 'b:1', False)
        self.subject.apply(
            service.KeyedRecord('b', msgspec.msgpack.encode(heartbeat), 0)
        )
        self.assertEqual('b:1', self.subject.find_address('young'))
        self.assertEqual('', self.subject.find_address('gone'))

    def test_undecodable_heartbeat_adds_no_member(self):
        self.subject.apply(service.KeyedRecord('x', b'{"a": 1}', 0))
        self.assertEqual([], self.subject.list_peers())
