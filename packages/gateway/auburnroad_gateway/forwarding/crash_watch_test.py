"""Tests of what counts as the end of a replica under a request."""

import asyncio
import time
import unittest

import msgspec

from auburnroad_core.http import listener
from auburnroad_gateway.directory import replica
from auburnroad_gateway.forwarding import crash_records
from auburnroad_gateway.forwarding import crash_watch
from auburnroad_gateway.log import service
from auburnroad_gateway.members import facts
from auburnroad_gateway.model import registration
from auburnroad_standins import partition_log


def build_replica(replica_id='r', started_ms=1):
    return replica.Replica(
        registration.Registration(
            replica_id,
            's',
            f'{replica_id}:1',
            'a',
            4,
            registration.ReplicaState.READY,
            started_ms,
        )
    )


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    """Runs that broke off at replicas that listen, or have ended."""

    def setUp(self):
        self.probed = []
        self.found = [listener.Listener.ENDED]
        self.facts = facts.SharedFacts('host', partition_log.PartitionLog())
        self.watch = crash_watch.CrashWatch(self.facts, self.find_listener)

    async def find_listener(self, address, timeout_seconds):
        self.probed.append(address)
        return self.found.pop(0) if len(self.found) > 1 else self.found[0]

    async def settle(self):
        while self.watch.probing:
            await asyncio.sleep(0.01)

    @property
    def shared(self):
        return [
            (fact.kind.value, fact.key, fact.value)
            for queue in self.facts._queues.values()
            for fact in queue
        ]

    async def test_replica_that_refuses_connections_has_crashed(self):
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([('crash', 'f', 'r/1')], self.shared)

    async def test_replica_that_closes_its_listener_late_has_crashed(self):
        self.found = [listener.Listener.LISTENING, listener.Listener.ENDED]
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([('crash', 'f', 'r/1')], self.shared)

    async def test_replica_that_listens_has_not_crashed(self):
        """A connection that is reset ends a run, too."""
        self.found = [listener.Listener.LISTENING]
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([], self.shared)

    async def test_unreachable_replica_has_not_crashed(self):
        self.found = [listener.Listener.UNREACHABLE]
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([], self.shared)

    async def test_runs_that_break_together_share_a_probe(self):
        target = build_replica()
        self.watch.note_broken('f', target)
        self.watch.note_broken('g', target)
        await self.settle()
        self.assertEqual(
            [('crash', 'f', 'r/1'), ('crash', 'g', 'r/1')], self.shared
        )
        self.assertEqual(['r:1'], self.probed)

    async def test_request_waits_for_a_probe_until_its_deadline_only(self):
        """The gateway has to respond by then; a probe may hang for 0.4 s."""
        hanging = asyncio.Event()

        async def hang(address, timeout_seconds):
            await hanging.wait()
            return listener.Listener.LISTENING

        self.watch = crash_watch.CrashWatch(self.facts, hang)
        self.watch.note_broken('f', build_replica())
        await self.watch.wait_until_probed('f', time.monotonic() + 0.01)
        self.assertTrue(self.watch.is_held('f'))
        hanging.set()
        await self.settle()

    async def test_request_without_fingerprint_causes_no_probe(self):
        self.watch.note_broken('', build_replica())
        await self.settle()
        self.assertEqual([], self.probed)

    async def test_request_under_which_three_replicas_ended_is_suspected(self):
        for name in 'abc':
            self.watch.note_broken('f', build_replica(name))
        await self.settle()
        self.assertIs(
            crash_records.Verdict.SUSPECT, self.watch.find_verdict('f')
        )
        self.assertGreater(self.watch.find_retry_seconds('f'), 0.0)

    async def test_starts_of_one_replica_count_each(self):
        for started_ms in range(3):
            self.watch.note_broken('f', build_replica('r', started_ms))
        await self.settle()
        self.assertEqual(3, len(self.shared))

    async def test_crash_under_an_answered_request_is_not_shared(self):
        self.watch.note_answer('f')
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([], self.shared)

    async def test_crash_that_others_report_is_answered_by_an_answer(self):
        """Only the gateway that has answered a request knows it harmless."""
        self.watch.note_answer('f')
        self.report_crash('f')
        self.assertEqual([('answer', 'f', '')], self.shared)

    async def test_reports_of_starts_of_one_name_count_each(self):
        """A replica may restart before its new registration is read."""
        until_ms = 10**15
        for seconds in (0, 2, 4):
            self.report_crash('f', until_ms + 1000 * seconds)
        self.assertIs(
            crash_records.Verdict.SUSPECT, self.watch.find_verdict('f')
        )

    async def test_report_that_is_read_again_counts_once(self):
        """A gateway reads its own reports from the log, too."""
        for _ in range(3):
            self.report_crash('f')
        self.assertIs(crash_records.Verdict.FREE, self.watch.find_verdict('f'))

    def report_crash(self, fingerprint, until_ms=10**15):
        """Report a crash as another gateway does."""
        fact = facts.Fact(facts.FactKind.CRASH, fingerprint, 'r/1', until_ms)
        record = service.KeyedRecord(
            'crash/other/0', msgspec.msgpack.encode([fact]), 0
        )
        self.facts.apply(record)

    async def test_answer_after_a_crash_is_shared_once(self):
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.watch.note_answer('f')
        self.watch.note_answer('f')
        self.watch.note_answer('other')
        self.assertEqual(
            [('crash', 'f', 'r/1'), ('answer', 'f', '')], self.shared
        )
