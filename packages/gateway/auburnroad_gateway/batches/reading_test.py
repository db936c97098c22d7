"""Tests that all gateways answer reads consistently or with 503."""

import asyncio
import json
import unittest

from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import reading
from auburnroad_gateway.batches import records
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call
from auburnroad_gateway.model import settings
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter

PARTITION = records.find_partition('b')


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    """A gateway without running tails, which reads the log on demand."""

    def setUp(self):
        self.log = partition_log.PartitionLog()
        self.journal = journal.Journal(self.log, 'me', settings.LogLimits())
        self.subject = reading.Reader(
            plain_adapter.PlainAdapter(), self.journal
        )

    def submit(self):
        self.log.write(records.TOPIC, PARTITION, fold_test.encode_submission())

    def write_result(self):
        record = records.Results('b', [fold_test.build_result(1, 'text')])
        self.log.write(records.TOPIC, PARTITION, [records.encode(record)])

    async def call(self, verb, **fields):
        return await self.subject.handle(call.BatchCall(verb, 'b', **fields))

    async def read(self, position=0):
        return await self.call(call.BatchVerb.READ, position=position)

    async def test_unknown_batch_is_404_or_503_if_log_is_unavailable(self):
        self.assertEqual(404, (await self.read()).status)
        self.log.down = True
        self.assertEqual(503, (await self.read()).status)

    async def test_batch_accepted_by_another_gateway_is_found(self):
        self.submit()
        self.assertEqual(200, (await self.read()).status)

    async def test_results_returned_by_another_gateway_are_found(self):
        """After a gateway starts, it may fold a batch before its results."""
        self.submit()
        for record in self.log.list_records(records.TOPIC, PARTITION):
            self.journal.fold.apply(0, record)
        self.write_result()
        # The submission is folded a second time and has no effect.
        page = json.loads((await self.read()).body)
        self.assertEqual([3, 1, [['i1', 'succeeded', 'text', [1], '']]], page)

    async def test_read_of_an_empty_outdated_state_is_503(self):
        self.submit()
        await self.journal.catch_up('b')
        self.journal._tails[PARTITION].complete_at = float('-inf')
        self.log.down = True
        self.assertEqual(503, (await self.read()).status)

    async def test_folded_results_are_read_while_log_is_unavailable(self):
        self.submit()
        self.write_result()
        await self.journal.catch_up('b')
        self.log.down = True
        self.assertEqual(200, (await self.read()).status)

    async def test_separately_stored_texts_are_read_on_demand(self):
        """The number of gateways exceeds MAX_INLINE_GATEWAYS."""
        self.submit()
        writer = journal.Journal(
            self.log,
            'other',
            settings.LogLimits(),
            lambda: journal.MAX_INLINE_GATEWAYS + 1,
        )
        tasks = [
            asyncio.create_task(work())
            for work in writer.list_background_tasks()
        ]
        for index in range(3):
            writer.add_result('b', fold_test.build_result(index, f't{index}'))
        async with asyncio.timeout(10):
            while not writer.is_idle:
                await asyncio.sleep(0.001)
        page = json.loads((await self.read()).body)
        self.assertEqual(['t0', 't1', 't2'], [row[2] for row in page[2]])
        plain = self.log.list_records(records.TOPIC, PARTITION)
        self.assertNotIn(records.pack_text('t1'), b''.join(plain))
        self.log.down = True
        self.assertEqual(200, (await self.read()).status)
        for task in tasks:
            task.cancel()

    async def test_read_of_an_unreadable_text_is_503(self):
        self.submit()
        place = batch.RecordLocation(PARTITION, 0, 10)
        result = batch.ItemResult(0, batch.Outcome.SUCCEEDED, b'', [1], place)
        record = records.Results('b', [result])
        self.log.write(records.TOPIC, PARTITION, [records.encode(record)])
        self.assertEqual(503, (await self.read()).status)

    async def test_bodies_are_returned_unchanged(self):
        self.submit()
        response = await self.call(call.BatchVerb.READ_BODY, item_id='i2')
        self.assertEqual(b'body', response.body)
        response = await self.call(call.BatchVerb.READ_BODY, item_id='no')
        self.assertEqual(404, response.status)

    async def test_end_is_confirmed_once_it_is_in_the_log(self):
        self.submit()
        tasks = [
            asyncio.create_task(work())
            for work in self.journal.list_background_tasks()
        ]
        for _ in range(2):
            self.assertEqual(200, (await self.call(call.BatchVerb.END)).status)
        await self.journal.catch_up('b')
        self.assertTrue(self.journal.fold.batches['b'].ended)
        for task in tasks:
            task.cancel()
