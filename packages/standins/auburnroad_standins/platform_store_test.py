"""Tests of the log service stand-in through the platform's client."""

import asyncio
import unittest

from auburnroad_core.http import client
from auburnroad_gateway.log import service
from auburnroad_platform import log_client
from auburnroad_standins import platform_store


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls of a single host, and the errors that its client raises."""

    async def asyncSetUp(self):
        self.store = platform_store.PlatformStore()
        self.http = client.HttpClient()
        address = await self.store.listen('host', '127.0.0.1')
        self.log = log_client.PlatformLog(address, self.http)

    async def asyncTearDown(self):
        self.http.close()
        await self.store.close()

    async def test_records_are_read_in_order(self):
        await self.log.append('t', 1, [b'a', b'b'])
        found = await self.log.read('t', 1, 0, 0)
        self.assertEqual((2, [b'a', b'b']), (found.end, found.records))

    async def test_repeated_append_of_a_producer_has_no_effect(self):
        producer = service.Producer('p', 1, 0)
        for _ in range(2):
            self.assertEqual(
                0, await self.log.append('t', 0, [b'a'], producer)
            )
        self.assertEqual(1, (await self.log.read('t', 0, 0, 0)).end)

    async def test_append_at_wrong_end_raises_a_conflict(self):
        with self.assertRaises(service.LogConflictError):
            await self.log.append('t', 0, [b'a'], expected_end=3)

    async def test_call_of_a_refused_host_is_refused(self):
        self.store.refused.add('host')
        with self.assertRaises(service.LogRefusedError):
            await self.log.append('t', 0, [b'a'])

    async def test_refused_reads_of_a_topic_leave_other_calls_alone(self):
        self.store.topic_faults['host', 't'] = platform_store.TopicFault(
            refused=True, reads_only=True
        )
        await self.log.append('t', 0, [b'a'])
        await self.log.read('u', 0, 0, 0)
        with self.assertRaises(service.LogRefusedError):
            await self.log.read('t', 0, 0, 0)

    async def test_answer_that_is_held_back_tells_what_was_so_before(self):
        self.store.topic_faults[platform_store.ALL_HOSTS, 't'] = (
            platform_store.TopicFault(hold_seconds=0.1)
        )
        read = asyncio.create_task(self.log.read('t', 0, 0, 1))
        while self.store.log.calls != ['read', 'answer']:
            await asyncio.sleep(0)
        # The answer is built in the next turn of the event loop.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.store.log.write('t', 0, [b'a'])
        self.assertEqual([], (await read).records)

    async def test_waiting_read_stays_when_another_partition_is_written(self):
        """Waiting reads of all partitions came back with each record."""
        read = asyncio.create_task(self.log.read('t', 0, 0, 1000))
        while not self.store.log.calls:
            await asyncio.sleep(0)
        for partition in (1, 0):
            await self.log.append('t', partition, [b'a'])
        self.assertEqual([b'a'], (await read).records)

    async def test_append_without_response_is_stored_and_raises_lost_error(
        self,
    ):
        self.store.log.lose_answers = 1
        with self.assertRaises(service.LogLostError):
            await self.log.append('t', 0, [b'a'])
        self.assertEqual(1, (await self.log.read('t', 0, 0, 0)).end)

    async def test_newest_records_are_kept_when_history_is_deleted(self):
        topic = f'{service.KEYED_PREFIX}t'
        for value in (b'1', b'2'):
            await self.log.append(topic, 0, [service.encode_keyed('k', value)])
        self.store.forget_history()
        with self.assertRaises(service.LogTrimmedError):
            await self.log.read(topic, 0, 0, 0)
        newest = await self.log.read_newest(topic)
        self.assertEqual([b'2'], [entry.value for entry in newest.records])
