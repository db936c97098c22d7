"""Tests of the responses and run counts of a plain service."""

import pathlib
import tempfile

from auburnroad_core.http import client
from auburnroad_standins import books
from auburnroad_standins import plain_service
from auburnroad_standins import testing


class PlainServiceTest(testing.StandinTestCase):
    async def test_response_echoes_the_call(self):
        address = await self.start('plain_service', name='p')
        headers = {'auburnroad-request-id': 'r'}
        response = await self.send(address, 'PUT', '/a/b?c=1', 'x', headers)
        self.assertEqual(response.headers['auburnroad-request-id'], 'r')
        self.assertEqual(
            response.body,
            b'{"method":"PUT","path":"/a/b?c=1","body":"\\"x\\"",'
            b'"request_id":"r","replica":"p"}',
        )

    async def test_run_without_response_is_counted_in_memory_and_file(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'books'
            address = await self.start('plain_service', books_file=str(path))
            await self.command(address, 'run_then_die', count=1)
            headers = {'idempotency-key': 'k', 'auburnroad-request-id': 'r'}
            with self.assertRaises(client.BrokenError):
                await self.send(address, 'POST', '/x', None, headers)
            await self.send(address, 'POST', '/x', None, headers)
            lines = books.read_lines(path, plain_service.PlainRun)
        self.assertEqual([line.key for line in lines], ['k', 'k'])
        found = await self.read_books(address)
        self.assertEqual(found['by_key'], {'k': 2})
        self.assertEqual(found['by_request_id'], {'r': 2})

    async def test_unknown_fault_is_refused(self):
        address = await self.start('plain_service')
        response = await self.send(address, 'POST', '/faults', {'fault': 'x'})
        self.assertEqual(response.status, 400)
        self.assertIn(b'run_then_die', response.body)
