"""Tests of failover to peers when the log service is unreachable directly.

The log service refuses the calls of one host or does not respond, or its
responses are lost, while a peer gateway can still reach the log service.
"""

import unittest

from auburnroad_gateway.log import detour
from auburnroad_gateway.log import service
from auburnroad_standins import partition_log


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
