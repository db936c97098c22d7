"""Tests that the log is reached through peers when it turns us away."""

import unittest

from auburnroad_gateway.log import detour
from auburnroad_gateway.log import service
from auburnroad_standins import partition_log


class DetourLogTest(unittest.IsolatedAsyncioTestCase):
    """One direct way and one peer that reaches the same records."""

    def setUp(self):
        self.direct = partition_log.PartitionLog()
        self.peer = partition_log.PartitionLog()
        self.peers = ['peer']
        self.subject = detour.DetourLog(
            self.direct, lambda: self.peers, lambda address: self.peer
        )

    async def append(self, producer=None):
        return await self.subject.append('t', 0, [b'a'], producer)

    async def test_a_refused_call_goes_through_a_peer(self):
        self.direct.down = True
        await self.append()
        self.assertEqual([b'a'], self.peer.list_records('t'))

    async def test_a_silent_way_gets_a_companion(self):
        self.direct.silent = True
        await self.append(service.Producer('me', 1, 0))
        self.assertEqual([b'a'], self.peer.list_records('t'))

    async def test_the_detour_goes_first_for_a_while(self):
        self.direct.down = True
        await self.append(service.Producer('me', 1, 0))
        calls = len(self.direct.calls)
        await self.append(service.Producer('me', 1, 1))
        self.assertEqual(calls, len(self.direct.calls))

    async def test_what_must_not_be_repeated_is_sent_once(self):
        self.direct.lose_answers = 1
        with self.assertRaises(service.LogLostError):
            await self.append()
        self.assertEqual([], self.peer.calls)

    async def test_a_lost_try_is_told_whatever_the_other_way_says(self):
        self.direct.lose_answers = 1
        self.peer.down = True
        with self.assertRaises(service.LogLostError):
            await self.append(service.Producer('me', 1, 0))

    async def test_a_refusal_everywhere_is_a_refusal(self):
        self.direct.down = self.peer.down = True
        with self.assertRaises(service.LogRefusedError):
            await self.append(service.Producer('me', 1, 0))

    async def test_a_peer_that_is_turned_away_too_is_passed_over(self):
        second = partition_log.PartitionLog()
        self.peers = ['peer', 'second']
        ways = {'peer': self.peer, 'second': second}
        subject = detour.DetourLog(
            self.direct, lambda: self.peers, ways.__getitem__
        )
        self.direct.down = self.peer.down = True
        producer = service.Producer('me', 1, 0)
        await subject.append('t', 0, [b'a'], producer)
        self.assertEqual([b'a'], second.list_records('t'))
        self.assertTrue(subject.on_detour)

    async def test_without_peers_only_the_direct_way_is_left(self):
        self.peers = []
        self.direct.down = True
        with self.assertRaises(service.LogRefusedError):
            await self.append()
