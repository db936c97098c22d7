"""Tests of the memory of streams, which all gateways share."""

import asyncio
import unittest
from unittest import mock

from auburnroad_gateway.forwarding import stream_releases
from auburnroad_gateway.log import service
from auburnroad_gateway.members import facts
from auburnroad_gateway.model import registration
from auburnroad_standins import partition_log

RELEASE = registration.Release('s', 'v1')
TIMEOUT_SECONDS = 20


class StreamReleasesTest(unittest.IsolatedAsyncioTestCase):
    """A memory whose log is scripted."""

    def setUp(self):
        self.refreshed = 0
        self.error = None
        self.facts = facts.SharedFacts('host', partition_log.PartitionLog())
        self.memory = stream_releases.StreamReleases(self.facts, self.refresh)

    async def refresh(self):
        self.refreshed += 1
        await asyncio.sleep(0.01)
        if self.error is not None:
            raise self.error

    async def fetch(self, request_id='q'):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.memory.fetch(request_id)

    async def test_shared_release_is_known_without_a_read(self):
        self.memory.share('q', RELEASE)
        self.assertEqual(RELEASE, await self.fetch())
        self.assertEqual(0, self.refreshed)

    async def test_release_that_is_shared_meanwhile_is_found(self):
        """The gateway that began the stream writes some moments later."""
        waiting = asyncio.create_task(self.fetch())
        await asyncio.sleep(0.03)
        self.memory.share('q', RELEASE)
        self.assertEqual(RELEASE, await waiting)

    async def test_unknown_stream_is_given_up_after_a_while(self):
        with mock.patch.object(stream_releases, 'FETCH_SECONDS', 0.1):
            self.assertIsNone(await self.fetch())

    async def test_unknown_stream_is_given_up_at_once_if_reads_fail(self):
        self.error = service.LogRefusedError('down')
        self.assertIsNone(await self.fetch())
        self.assertEqual(1, self.refreshed)

    async def test_callers_that_come_together_share_reads(self):
        self.error = service.LogRefusedError('down')
        await asyncio.gather(*(self.fetch(f'q{n}') for n in range(50)))
        self.assertEqual(1, self.refreshed)

    async def test_memory_is_bounded(self):
        for number in range(stream_releases.MAX_STREAMS + 1):
            self.memory.share(f'q{number}', RELEASE)
        self.assertIsNone(self.memory.find('q0'))
        self.assertEqual(RELEASE, self.memory.find('q1'))

    async def test_fact_of_another_version_of_gateways_is_ignored(self):
        self.facts.share(facts.Fact(facts.FactKind.STREAM, 'q', '7', 10**15))
        self.assertIsNone(self.memory.find('q'))
