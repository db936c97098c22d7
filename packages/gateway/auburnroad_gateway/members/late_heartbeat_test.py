"""Tests of heartbeats that take effect late or without an answer."""

import asyncio
import unittest
from unittest import mock

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test
from auburnroad_standins import partition_log

LATER_HEARTBEATS = 50


class LateHeartbeatTest(unittest.TestCase):
    """One gateway that monitors a host."""

    def test_late_heartbeat_of_before_a_restart_does_not_end_a_member(self):
        """The restarted holder of a duty was replaced although it ran."""
        subject = membership.Membership(membership_test.build_settings(), None)
        for incarnation in ('o1', 'o2', 'o1'):
            heartbeat = membership.Heartbeat(incarnation, 'other:1', False)
            subject.apply(
                service.KeyedRecord(
                    'other', msgspec.msgpack.encode(heartbeat), 0
                )
            )
        self.assertTrue(subject.is_alive('o2'))
        self.assertFalse(subject.is_alive('o1'))

    def test_late_heartbeat_hides_a_running_member_only_for_a_time(self):
        """A gateway that had not known the former one ignored it for good."""
        subject = membership.Membership(membership_test.build_settings(), None)
        now = 100.0
        self.enterContext(
            mock.patch.object(clock, 'read_boot_clock_seconds', lambda: now)
        )
        for incarnation in ('o2', 'o1', *['o2'] * LATER_HEARTBEATS):
            heartbeat = membership.Heartbeat(incarnation, 'other:1', False)
            subject.apply(
                service.KeyedRecord(
                    'other', msgspec.msgpack.encode(heartbeat), 0
                )
            )
            now += membership.CHECK_INTERVAL_SECONDS
            subject.check(now, now, now)
        self.assertTrue(subject.is_alive('o2'))


class ForgetfulLog:
    """Answers only the first append, and carries out all.

    Attributes:
      taken_at: Times of the appends in seconds of the boot clock.
    """

    on_detour = False

    def __init__(self):
        self.taken_at = []

    async def append(self, topic, partition, records):
        self.taken_at.append(clock.read_boot_clock_seconds())
        if len(self.taken_at) > 1:
            raise service.LogLostError('no answer')


class UnansweredHeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that has just claimed a duty."""

    async def test_unanswered_heartbeat_shortens_the_presumed_alive_time(self):
        """Others had read that it sends five a second from now on."""
        log = ForgetfulLog()
        subject = membership.Membership(membership_test.build_settings(), log)
        task = asyncio.create_task(subject.run_heartbeats())
        for holds, count in ((False, 1), (True, 2)):
            subject.holds_duty = holds
            while len(log.taken_at) < count:
                await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        dead_at = log.taken_at[1] + membership.find_dead_timeout(
            membership.HOLDER_HEARTBEAT_SECONDS
        )
        self.assertLess(subject.presumed_alive_until, dead_at)


class LateReadLog(partition_log.PartitionLog):
    """A log whose reads are answered late, by what they found before.

    Attributes:
      now: Seconds of the boot clock.
      delay: Seconds until a read is answered.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.delay = 0.0

    def beat(self, name):
        """Record a heartbeat of the holder of a duty."""
        heartbeat = membership.Heartbeat(name, 'h:1', False, interval_ms=200)
        self.put(membership.TOPIC, name, msgspec.msgpack.encode(heartbeat))

    async def read(self, *arguments):
        found = await super().read(*arguments)
        self.now += self.delay
        return found


class LateReadTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that watches two members, and reads them late once."""

    async def test_silence_ends_with_what_has_been_read(self):
        """A live holder was replaced; its heartbeats lay in the log."""
        log = LateReadLog()
        self.enterContext(
            mock.patch.object(
                clock, 'read_boot_clock_seconds', lambda: log.now
            )
        )
        self.enterContext(
            mock.patch.object(membership, 'CHECK_INTERVAL_SECONDS', 0.0)
        )
        subject = membership.Membership(membership_test.build_settings(), None)
        members = tail.KeyedTail(log, membership.TOPIC, subject.apply, 0.0)
        checks = asyncio.create_task(subject.run_checks(members))
        for name in ('o1', 'o2'):
            log.beat(name)
        await members.catch_up()
        await asyncio.sleep(0.01)
        log.beat('o2')
        log.delay = 1.1
        await members.catch_up()
        log.beat('o1')
        await asyncio.sleep(0.01)
        self.assertTrue(subject.is_alive('o1'))
        checks.cancel()
