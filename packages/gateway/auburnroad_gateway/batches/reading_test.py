"""Tests that all gateways answer reads consistently or with 503."""

import asyncio
import json
import unittest
from unittest import mock

from auburnroad_core import clock
from auburnroad_gateway.accounts import control_test
from auburnroad_gateway.accounts import registry_test
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
        self.access = control_test.build_control(self.log)
        self.access.holder.current = registry_test.build_configuration(None)
        self.subject = reading.Reader(
            plain_adapter.PlainAdapter(), self.journal, self.access.subject
        )

    def submit(self, account=''):
        self.log.write(
            records.TOPIC,
            PARTITION,
            fold_test.encode_submission(account=account),
        )

    def write_result(self):
        record = records.Results('b', [fold_test.build_result(1, 'text')])
        self.log.write(records.TOPIC, PARTITION, [records.encode(record)])

    async def call(self, verb, key=None, **fields):
        return await self.subject.handle(
            call.BatchCall(verb, 'b', **fields), call.CallHead('q', key=key)
        )

    async def read(self, position=0, key=None):
        return await self.call(call.BatchVerb.READ, key, position=position)

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


class AccountsTest(ReaderTest):
    """The same tests in a deployment with accounts, for a public batch.

    The first tests of the base class submit a batch without an account, which
    may be called with any key or none.
    """

    def setUp(self):
        super().setUp()
        self.access.holder.current = registry_test.build_configuration(
            {'a': ['a1', 'a2'], 'b': ['b1']}
        )
        self.access.tail.complete_at = clock.read_boot_clock_seconds() + 3600

    def outdate(self):
        self.access.tail.complete_at = float('-inf')

    async def test_unknown_batch_is_404_or_503_if_log_is_unavailable(self):
        """Only a known key learns that a batch doesn't exist."""
        self.assertEqual(404, (await self.read(key='a1')).status)
        self.assertEqual(401, (await self.read(key='x')).status)
        self.assertEqual(401, (await self.read()).status)
        self.log.down = True
        for key in (None, 'a1', 'x'):
            self.assertEqual(503, (await self.read(key=key)).status)

    async def test_batch_is_called_with_any_key_of_its_account_only(self):
        self.submit('a')
        for verb, fields, done in (
            (call.BatchVerb.READ, {}, 200),
            (call.BatchVerb.READ_BODY, {'item_id': 'i1'}, 200),
            (call.BatchVerb.END, {}, 504),
        ):
            with mock.patch.object(reading, 'END_TIMEOUT_SECONDS', 0.01):
                for key, status in (
                    ('a1', done),
                    ('a2', done),
                    ('b1', 404),
                    ('x', 401),
                    (None, 401),
                ):
                    response = await self.call(verb, key, **fields)
                    self.assertEqual(status, response.status, (verb, key))

    async def test_foreign_batch_looks_as_if_it_did_not_exist(self):
        """Also while the log can't be read."""
        missing = [await self.read(key='b1')]
        self.log.down = True
        missing.append(await self.read(key='b1'))
        self.log.down = False
        self.submit('a')
        await self.journal.catch_up('b')
        foreign = [await self.read(key='b1')]
        self.log.down = True
        foreign.append(await self.read(key='b1'))
        self.assertEqual(missing, foreign)

    async def test_log_outage_hides_no_batch_from_its_account(self):
        self.submit('a')
        self.write_result()
        await self.journal.catch_up('b')
        self.outdate()
        self.log.down = True
        self.assertEqual(200, (await self.read(key='a1')).status)
        self.assertEqual(503, (await self.read(key='x')).status)
        self.assertEqual(503, (await self.read()).status)
        self.log.down = False
        self.assertEqual(401, (await self.read()).status)

    async def test_batch_outlives_the_keys_of_its_account(self):
        self.submit('a')
        self.access.holder.current = registry_test.build_configuration(
            {'a': ['a3']}
        )
        self.assertEqual(401, (await self.read(key='a1')).status)
        self.assertEqual(200, (await self.read(key='a3')).status)
        self.access.holder.current = registry_test.build_configuration(None)
        self.assertEqual(200, (await self.read()).status)
