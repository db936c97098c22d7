"""Tests who is taken to live, and who takes work over."""

import asyncio
import unittest

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.members import membership
from auburnroad_gateway.model import settings

STEP_SECONDS = 0.2


def build_settings(name='own'):
    return settings.Settings(
        name, '127.0.0.1', 'a', '127.0.0.1:1', '127.0.0.1:2', 3, 4, 'log:5'
    )


class Log:
    """A log that takes each heartbeat after a while."""

    on_detour = False

    def __init__(self, seconds):
        self._seconds = seconds

    async def append(self, topic, partition, records):
        await asyncio.sleep(self._seconds)


class RunBeatsTest(unittest.IsolatedAsyncioTestCase):
    """A gateway acts only while nobody can take it for dead."""

    async def test_it_is_confirmed_for_less_than_others_wait(self):
        for seconds in (0.0, 0.2):
            subject = membership.Membership(build_settings(), Log(seconds))
            before = clock.time_boot_seconds()
            task = asyncio.create_task(subject.run_beats())
            while not subject.confirmed_until:
                await asyncio.sleep(0.01)
            task.cancel()
            left = subject.confirmed_until - before
            self.assertLess(left, membership.DEAD_SECONDS)
            self.assertGreater(left, membership.BEAT_SECONDS)

    async def test_a_slow_log_gets_rarer_heartbeats(self):
        fast = membership.find_patience(membership.BEAT_SECONDS)
        slow = membership.find_patience(membership.BEAT_MOST_SECONDS)
        self.assertEqual(membership.DEAD_SECONDS, fast)
        self.assertEqual(3 * membership.BEAT_MOST_SECONDS, slow)


class MembershipTest(unittest.TestCase):
    """One gateway that watches another one."""

    def setUp(self):
        self.subject = membership.Membership(build_settings(), None)
        self.now = 100.0

    def see(self, name, incarnation, started_ms=0, leaving=False, cores=1.0):
        beat = membership.Beat(
            incarnation,
            f'{name}:1',
            leaving,
            'a',
            started_ms,
            cores=cores,
        )
        self.subject.apply(
            service.KeyedRecord(name, msgspec.msgpack.encode(beat), 0)
        )
        for member in self.subject._members.values():
            if member.name == name:
                member.seen_at = self.now

    def pass_time(self, seconds, readable=True):
        read_at = self.now
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            if readable:
                read_at = self.now
            self.subject.check(self.now, read_at)

    def test_a_silent_member_is_given_up(self):
        self.see('other', 'o1')
        self.pass_time(membership.DEAD_SECONDS + 2 * STEP_SECONDS)
        self.assertFalse(self.subject.is_alive('o1'))

    def test_nobody_dies_while_the_log_is_away(self):
        self.see('other', 'o1')
        self.pass_time(60, readable=False)
        self.assertTrue(self.subject.is_alive('o1'))

    def test_nobody_dies_in_a_pause_of_this_process(self):
        self.see('other', 'o1')
        self.pass_time(0.4)
        self.now += 30
        self.subject.check(self.now, self.now)
        self.assertTrue(self.subject.is_alive('o1'))

    def test_a_slow_log_makes_nobody_look_dead(self):
        """Our own heartbeat is on its way for long, so theirs may be too."""
        self.see('other', 'o1')
        self.subject._sent_at = self.now
        self.pass_time(membership.DEAD_SECONDS + 2 * STEP_SECONDS)
        self.assertTrue(self.subject.is_alive('o1'))

    def test_a_restarted_member_is_another_one(self):
        self.see('other', 'o1')
        self.see('other', 'o2')
        self.assertFalse(self.subject.is_alive('o1'))
        self.assertTrue(self.subject.is_alive('o2'))

    def test_nobody_is_chosen_before_others_can_have_been_seen(self):
        self.assertEqual('', self.subject.choose('work'))
        self.pass_time(membership.SETTLE_SECONDS + 2 * STEP_SECONDS)
        self.assertEqual(self.subject.incarnation, self.subject.choose('work'))

    def test_work_goes_to_the_youngest_that_stays(self):
        self.pass_time(membership.SETTLE_SECONDS + 2 * STEP_SECONDS)
        future = 10**13
        self.see('other', 'o1', future)
        self.see('third', 'o2', future * 2, leaving=True)
        self.assertEqual('o1', self.subject.choose('work'))

    def test_work_goes_to_a_weak_host_only_if_there_is_no_other(self):
        self.pass_time(membership.SETTLE_SECONDS + 2 * STEP_SECONDS)
        future = 10**13
        self.see('weak', 'o1', future * 2, cores=0.4)
        self.see('strong', 'o2', future, cores=2.15)
        self.assertEqual('o2', self.subject.choose('work'))
        self.see('strong', 'o2', future, leaving=True, cores=2.15)
        self.assertEqual(self.subject.incarnation, self.subject.choose('work'))

    def test_bytes_of_another_writer_are_no_member(self):
        self.subject.apply(service.KeyedRecord('x', b'{"a": 1}', 0))
        self.assertEqual([], self.subject.list_peers())
