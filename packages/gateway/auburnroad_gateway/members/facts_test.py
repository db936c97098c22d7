"""Tests of facts that gateways share, through a log in memory."""

import asyncio
import contextlib
import unittest

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import facts
from auburnroad_standins import partition_log

TIMEOUT_SECONDS = 20
CRASH = facts.FactKind.CRASH
ANSWER = facts.FactKind.ANSWER


def build_fact(key, kind=CRASH, left_ms=60_000):
    return facts.Fact(kind, key, 'v', clock.time_now_ms() + left_ms)


class Member:
    """Facts of one gateway, with their tail."""

    def __init__(self, host, log):
        self.heard = []
        self.facts = facts.SharedFacts(host, log)
        for kind in facts.FactKind:
            self.facts.on_fact(kind, lambda fact: self.heard.append(fact.key))
        self.tail = tail.KeyedTail(log, facts.TOPIC, self.facts.apply, 0.0)
        self.tasks = [
            asyncio.create_task(self.tail.run()),
            asyncio.create_task(self.facts.run(self.tail)),
        ]

    async def hear(self, key):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while key not in self.heard:
                await asyncio.sleep(0.01)

    async def close(self):
        for task in self.tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


class LateLog:
    """A log that carries out the first append later, without an answer."""

    def __init__(self, log):
        self._log = log
        self._late = None

    async def append(self, topic, partition, records):
        if self._late is None:
            self._late = (topic, partition, records)
            raise service.LogLostError('no answer')
        return await self._log.append(topic, partition, records)

    def carry_out(self):
        self._log.write(*self._late)


class SharedFactsTest(unittest.IsolatedAsyncioTestCase):
    """Gateways 'a' and 'b' on one log."""

    def setUp(self):
        self.log = partition_log.PartitionLog()

    def start(self, host):
        member = Member(host, self.log)
        self.addAsyncCleanup(member.close)
        return member

    def list_keys(self):
        return [
            service.decode_keyed(record)[0]
            for record in self.log.list_records(facts.TOPIC)
        ]

    async def test_fact_is_known_at_once_where_it_is_shared(self):
        one = self.start('a')
        one.facts.share(build_fact('f'))
        self.assertEqual(['f'], one.heard)

    async def test_fact_reaches_other_gateways(self):
        one, two = self.start('a'), self.start('b')
        one.facts.share(build_fact('f'))
        await two.hear('f')

    async def test_fact_reaches_a_gateway_that_starts_later(self):
        one = self.start('a')
        one.facts.share(build_fact('f'))
        await self.start('b').hear('f')

    async def test_facts_learned_together_share_a_record(self):
        one, two = self.start('a'), self.start('b')
        for number in range(5):
            one.facts.share(build_fact(f'f{number}'))
        await two.hear('f4')
        self.assertEqual(['crash/a/0'], self.list_keys())

    async def test_fact_is_written_after_an_outage_of_the_log(self):
        one, two = self.start('a'), self.start('b')
        self.log.down = True
        one.facts.share(build_fact('f'))
        await asyncio.sleep(0.1)
        self.log.down = False
        await two.hear('f')

    async def test_malformed_record_does_not_keep_others_from_being_read(self):
        one = self.start('a')
        for key, value in (
            ('crash/b/0', b'\x91' * 3000 + b'\x90'),
            ('crash/a/x', b'\x90'),
            ('odd', b'\xff'),
        ):
            self.log.put(facts.TOPIC, key, value)
        self.start('b').facts.share(build_fact('f'))
        await one.hear('f')

    async def test_fact_is_ignored_after_its_deadline(self):
        one = self.start('a')
        one.facts.share(build_fact('old', left_ms=0))
        one.facts.share(build_fact('new'))
        self.assertEqual(['new'], one.heard)

    async def test_restarted_gateway_keeps_the_newest_facts_of_its_host(self):
        """A restart that begins at the first key overwrites what is new."""
        one = self.start('a')
        for number in range(3):
            one.facts.share(build_fact(f'f{number}'))
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while len(self.list_keys()) <= number:
                    await asyncio.sleep(0.01)
        await one.close()
        again = self.start('a')
        again.facts.share(build_fact('next'))
        await self.start('b').hear('next')
        self.assertEqual('crash/a/3', self.list_keys()[-1])

    async def test_late_copy_of_a_record_does_not_change_the_oldest(self):
        """The records after it, the newest ones, were overwritten next."""
        one = self.start('a')
        for number in range(3):
            one.facts._queues[CRASH].append(build_fact(f'f{number}'))
            await one.facts._write_group(CRASH)
        self.log.write(facts.TOPIC, 0, self.log.list_records(facts.TOPIC)[:1])
        for slot in (3, 4):
            await one.tail.wait_until_loaded()
            await one.tail.catch_up()
            one.facts._queues[CRASH].append(build_fact('next'))
            await one.facts._write_group(CRASH)
            self.assertEqual(f'crash/a/{slot}', self.list_keys()[-1])
            await one.close()
            one = self.start('a')

    async def test_append_that_is_carried_out_late_replaces_no_newer_facts(
        self,
    ):
        """Gateways that started later did not know what was in the log."""
        log = LateLog(self.log)
        one = facts.SharedFacts('a', log)
        for key in ('f1', 'f2'):
            one._queues[CRASH].append(build_fact(key))
            await one._write_group(CRASH)
        log.carry_out()
        later = self.start('b')
        await later.tail.wait_until_loaded()
        self.assertLessEqual({'f1', 'f2'}, set(later.heard))

    async def test_topic_is_bounded(self):
        one = self.start('a')
        for number in range(facts.SLOTS[CRASH] + 2):
            one.facts._queues[CRASH].append(build_fact(f'f{number}'))
            await one.facts._write_group(CRASH)
        one.facts.share(build_fact('f', ANSWER))
        await self.start('b').hear('f')
        slots = facts.SLOTS[CRASH]
        self.assertEqual(slots + 1, len(set(self.list_keys())))
        self.assertEqual('crash/a/1', self.list_keys()[slots + 1])

    async def test_queue_is_bounded_while_the_log_is_down(self):
        self.log.down = True
        one = self.start('a')
        for number in range(facts.MAX_QUEUED + 10):
            one.facts.share(build_fact(f'f{number}'))
        self.assertEqual(facts.MAX_QUEUED, len(one.facts._queues[CRASH]))

    async def test_record_of_another_version_is_ignored(self):
        one = self.start('a')
        for key, value in (
            ('crash/a/x', b'\x91'),
            ('other/b/1', b'\xc0'),
            ('crash', b'\x91\xa1x'),
        ):
            one.facts.apply(service.KeyedRecord(key, value, 0))
        self.assertEqual([], one.heard)
