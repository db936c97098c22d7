"""Tests of what counts as the end of a replica under a request."""

import asyncio
import unittest

from auburnroad_core.http import listener
from auburnroad_gateway.directory import replica
from auburnroad_gateway.forwarding import crash_watch
from auburnroad_gateway.model import registration


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
        self.crashes = []
        self.probed = []
        self.found = [listener.Listener.ENDED]
        self.watch = crash_watch.CrashWatch(
            lambda fingerprint, target: self.crashes.append(
                (fingerprint, target.id)
            ),
            self.find_listener,
        )

    async def find_listener(self, address, timeout_seconds):
        self.probed.append(address)
        return self.found.pop(0) if len(self.found) > 1 else self.found[0]

    async def settle(self):
        while self.watch.probing:
            await asyncio.sleep(0.01)

    async def test_replica_that_refuses_connections_has_crashed(self):
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([('f', 'r')], self.crashes)

    async def test_replica_that_closes_its_listener_late_has_crashed(self):
        self.found = [listener.Listener.LISTENING, listener.Listener.ENDED]
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([('f', 'r')], self.crashes)

    async def test_replica_that_listens_has_not_crashed(self):
        """A connection that is reset ends a run, too."""
        self.found = [listener.Listener.LISTENING]
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([], self.crashes)

    async def test_unreachable_replica_has_not_crashed(self):
        self.found = [listener.Listener.UNREACHABLE]
        self.watch.note_broken('f', build_replica())
        await self.settle()
        self.assertEqual([], self.crashes)

    async def test_runs_that_break_together_share_a_probe(self):
        target = build_replica()
        self.watch.note_broken('f', target)
        self.watch.note_broken('g', target)
        await self.settle()
        self.assertEqual([('f', 'r'), ('g', 'r')], self.crashes)
        self.assertEqual(['r:1'], self.probed)

    async def test_request_without_fingerprint_causes_no_probe(self):
        self.watch.note_broken('', build_replica())
        await self.settle()
        self.assertEqual([], self.probed)
