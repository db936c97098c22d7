"""Tests of heartbeats that take effect late or without an answer."""

import asyncio
import unittest

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test


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
