"""Tests of batches of accounts, and of all output of gateways with accounts.

They guard against a batch that another account can read or end, and a key
that shows up in any log line, metric or response.
"""

import asyncio
import tempfile
from unittest import mock

from auburnroad_core.http import client
from auburnroad_gateway.accounts import registry
from auburnroad_gateway.process import accounts_test
from auburnroad_gateway.telemetry import events
from auburnroad_standins import plain_adapter

KEYS = [key for keys in accounts_test.ACCOUNTS.values() for key in keys]


class BatchAccessTest(accounts_test.AccountsTestCase):
    """Batches of an account at two gateways."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.publish(accounts_test.ACCOUNTS)
        self.one = await self.start('one')
        self.two = await self.start('two')

    async def call(self, subject, batch_id='b', verb='read', **headers):
        return await self.send(
            subject, '/', batch=batch_id, verb=verb, **headers
        )

    async def test_batch_is_read_with_any_key_of_its_account_anywhere(self):
        response = await self.submit(self.one, key='secret-a1')
        self.assertEqual(202, response.status)
        results = await self.read_all(self.two, key='secret-a2')
        self.assertEqual(['0\n1\n2\n3'] * 3, [entry[2] for entry in results])

    async def test_batch_of_another_account_can_not_be_read_or_ended(self):
        await self.submit(self.one, key='secret-a1')
        for subject in (self.one, self.two):
            for verb in ('read', 'read body', 'end'):
                for headers, status in (
                    ({'key': 'secret-b'}, 404),
                    ({'key': 'never'}, 401),
                    ({}, 401),
                ):
                    response = await self.call(subject, verb=verb, **headers)
                    self.assertEqual(status, response.status)
                    missing = await self.call(
                        subject, 'missing', verb, **headers
                    )
                    self.assertEqual(missing.body, response.body)
        await self.read_all(self.one, key='secret-a1')

    async def test_id_of_another_account_is_404_at_any_gateway(self):
        await self.submit(self.one, key='secret-a1')
        for subject in (self.one, self.two):
            response = await self.submit(subject, key='secret-b')
            self.assertEqual(404, response.status)
            response = await self.submit(subject, '/pp/')
            self.assertEqual(404, response.status)
            response = await self.submit(subject, key='secret-a2')
            self.assertEqual(202, response.status)

    async def test_accounts_that_submit_an_id_at_once_get_one_202(self):
        """Neither gateway has read the batch that the other one accepts."""
        for number in range(20):
            responses = await asyncio.gather(
                self.submit(self.one, '/p/', f'b{number}', key='secret-a1'),
                self.submit(self.two, '/p/', f'b{number}', key='secret-b'),
            )
            statuses = sorted(response.status for response in responses)
            self.assertEqual([202, 404], statuses)

    async def test_removal_of_the_account_ends_no_batch(self):
        self.failures = 1000
        await self.submit(self.one, key='secret-a1')
        async with asyncio.timeout(accounts_test.TIMEOUT_SECONDS):
            while not self.seen:
                await asyncio.sleep(0.01)
        self.publish({'b': ['secret-b']})
        await self.wait_for_revision(self.one)
        await self.wait_for_revision(self.two)
        self.seen.clear()
        self.failures = 0
        async with asyncio.timeout(accounts_test.TIMEOUT_SECONDS):
            while len(self.seen) < 3:
                await asyncio.sleep(0.01)
        self.assertEqual({(None, 'a')}, set(self.list_identities()))
        response = await self.call(self.one, key='secret-a1')
        self.assertEqual(401, response.status)
        self.publish({'a': ['secret-new']})
        await self.read_all(self.two, key='secret-new')


class OutputTest(accounts_test.AccountsTestCase):
    """All log lines, metrics and responses of a run with many refusals."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        file = self.enterContext(tempfile.TemporaryFile())
        self.file = file
        for name, value in (
            ('_descriptor', file.fileno()),
            ('_opened', True),
            ('_tokens', events.BURST_LINES),
        ):
            self.enterContext(mock.patch.object(events.LOG, name, value))
        self.publish(accounts_test.ACCOUNTS)
        self.subject = await self.start(strict_revocation=True)
        self.responses = []

    async def send(self, subject, target, body=b'', **headers):
        try:
            response = await super().send(subject, target, body, **headers)
        except client.BrokenError:
            # A stream of which no replica generates the rest.
            return None
        self.responses.append(response)
        return response

    async def send_all(self, *keys):
        for key in keys:
            for path in ('/q/x', '/fast/x', '/public/x', '/stream/x'):
                await self.send(self.subject, path, key=key)
            await self.send(self.subject, '/p/', b'no batch', key=key)
            await self.submit(self.subject, '/p/', f'b{len(key)}', key=key)
            for batch_id in ('b', 'missing'):
                await self.send(
                    self.subject, '/', batch=batch_id, verb='read', key=key
                )

    async def play_faults(self):
        await self.submit(self.subject, key='secret-a1')
        await self.send_all(*KEYS, 'secret-never')
        self.failures = 20
        await self.send_all('secret-b')
        self.failures = 0
        for value in (
            b'{"accounts": [{"name": "a", "keys": ["secret-x", 5]}]}',
            b'{"accounts": [{"name": "a", "keys": ["secret-x"',
        ):
            topic = plain_adapter.PlainAdapter.operator_topic
            self.log.put(topic, 'configuration', value)
        self.publish({'a': ['secret-x'], 'b': ['secret-x']})
        await self.send_all('secret-x')
        self.publish({'b': ['secret-b', 'secret-new']})
        await self.wait_for_revision(self.subject)
        await self.send_all('secret-new', *KEYS)
        self.log.down = True
        operator_tail = self.subject._tails.operators
        async with asyncio.timeout(accounts_test.TIMEOUT_SECONDS):
            # An answer that was on its way would count as a read.
            while not operator_tail.failing:
                await asyncio.sleep(0.01)
        operator_tail.complete_at = float('-inf')
        await self.send_all('secret-later', 'secret-b')

    async def test_no_output_contains_a_key(self):
        await self.play_faults()
        page = await self.send(self.subject, '/metrics', endpoint='metrics')
        self.file.seek(0)
        lines = self.file.read()
        for event in (
            b'"key_refused"',
            b'"key_unchecked"',
            b'"operator_record_invalid"',
            b'"request_failed"',
            b'"stream_broken"',
        ):
            self.assertIn(event, lines)
        self.assertIn(registry.fingerprint('secret-never').encode(), lines)
        self.assertIn(b'auburnroad_access_total', page.body)
        statuses = {response.status for response in self.responses}
        self.assertLessEqual({200, 202, 400, 401, 404, 503}, statuses)
        for response in self.responses:
            self.assertNotIn(b'secret', response.body)
            self.assertNotIn('secret', str(response.headers))
        self.assertNotIn(b'secret', lines)
