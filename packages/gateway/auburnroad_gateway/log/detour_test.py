"""Tests of failover to peers when the log service is unreachable directly.

The log service refuses the calls of one host or does not respond, or its
responses are lost, while a peer gateway can still reach the log service.
"""

import asyncio
import unittest
from unittest import mock

from auburnroad_gateway.log import detour
from auburnroad_gateway.log import service
from auburnroad_standins import partition_log

TIMEOUT_SECONDS = 20


class DetourLogTest(unittest.IsolatedAsyncioTestCase):
    """A direct path and a peer; each has its own records."""

    def setUp(self):
        self.direct = partition_log.PartitionLog()
        self.peer = partition_log.PartitionLog()
        self.peers = ['peer']
        self.subject = detour.DetourLog(
            self.direct, lambda: self.peers, lambda address: self.peer
        )

    async def append(self, producer=None):
        return await self.subject.append('t', 0, [b'a'], producer)

    async def test_refused_call_is_retried_through_peer(self):
        self.direct.down = True
        await self.append()
        self.assertEqual([b'a'], self.peer.list_records('t'))

    async def test_silent_direct_path_causes_hedged_call(self):
        self.direct.silent = True
        await self.append(service.Producer('me', 1, 0))
        self.assertEqual([b'a'], self.peer.list_records('t'))

    async def test_peer_is_tried_first_after_direct_failure(self):
        self.direct.down = True
        await self.append(service.Producer('me', 1, 0))
        calls = len(self.direct.calls)
        await self.append(service.Producer('me', 1, 1))
        self.assertEqual(calls, len(self.direct.calls))

    async def test_lost_append_without_producer_is_not_retried(self):
        self.direct.lose_answers = 1
        with self.assertRaises(service.LogLostError):
            await self.append()
        self.assertEqual([], self.peer.calls)

    async def test_lost_response_raises_lost_error_if_peer_refuses(self):
        self.direct.lose_answers = 1
        self.peer.down = True
        with self.assertRaises(service.LogLostError):
            await self.append(service.Producer('me', 1, 0))

    async def test_refusal_on_all_paths_raises_refused_error(self):
        self.direct.down = self.peer.down = True
        with self.assertRaises(service.LogRefusedError):
            await self.append(service.Producer('me', 1, 0))

    async def test_second_peer_is_tried_if_first_peer_refuses(self):
        second = partition_log.PartitionLog()
        self.peers = ['peer', 'second']
        logs = {'peer': self.peer, 'second': second}
        subject = detour.DetourLog(
            self.direct, lambda: self.peers, logs.__getitem__
        )
        self.direct.down = self.peer.down = True
        producer = service.Producer('me', 1, 0)
        await subject.append('t', 0, [b'a'], producer)
        self.assertEqual([b'a'], second.list_records('t'))
        self.assertTrue(subject.on_detour)

    async def test_without_peers_direct_error_is_raised(self):
        self.peers = []
        self.direct.down = True
        with self.assertRaises(service.LogRefusedError):
            await self.append()

    # Guards against a lost read that is tried through cut-off peers only.
    async def test_silent_direct_path_is_tried_again_in_each_round(self):
        self.direct.lost_topics.add('t')
        self.peer.lost_topics.add('t')
        reading = asyncio.create_task(self.subject.read('t', 0, 0, 1))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while self.direct.calls.count('read') < 1 + detour.FURTHER_ROUNDS:
                self.assertFalse(reading.done())
                await asyncio.sleep(0.001)
        reading.cancel()

    # Guards against a refusing service that gets each call several times.
    async def test_path_that_refuses_is_not_tried_again(self):
        self.direct.down = self.peer.down = True
        with self.assertRaises(service.LogRefusedError):
            await self.subject.read('t', 0, 0, 1)
        self.assertEqual(['read'], self.direct.calls)
        self.assertLessEqual(len(self.peer.calls), detour.FURTHER_ROUNDS)

    # Guards against a path that shows a partition as it was.
    async def test_answer_from_the_past_does_not_count(self):
        self.peer.write('t', 0, [b'a', b'b'])
        found = await self.subject.read('t', 0, 2, 1)
        self.assertEqual(2, found.end)
        self.assertIn('read', self.direct.calls)

    # Guards against a slow log service that is stopped by hedged reads.
    async def test_reads_without_an_answer_on_any_path_come_more_slowly(self):
        self.direct.lost_topics.add('t')
        self.peer.lost_topics.add('t')
        self.enterContext(mock.patch.object(detour, 'LAST_ROUND_SECONDS', 0))
        delays = []
        for _ in range(4):
            delays.append(self.subject._list_waiting_rounds(1)[1].seconds)
            with self.assertRaises(service.LogLostError):
                await self.subject.read('t', 0, 0, 1)
        self.assertEqual(
            [1, 2, detour.MAX_BACKOFF, detour.MAX_BACKOFF],
            [round(delay / delays[0]) for delay in delays],
        )
        self.direct.lost_topics.clear()
        await self.subject.read('t', 0, 0, 1)
        rounds = self.subject._list_waiting_rounds(1)
        self.assertLess(rounds[1].seconds, delays[2])
