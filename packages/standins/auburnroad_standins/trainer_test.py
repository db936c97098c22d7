"""Tests of the trainer against an entry with scripted responses."""

import pathlib
import tempfile
import unittest

import msgspec

from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_standins import record_file
from auburnroad_standins import text
from auburnroad_standins import trainer
from auburnroad_standins import trainer_options


def refuse(status, code):
    return messages.build_json_response(
        status, {'error': {'code': code}}, {'retry-after': '0'}
    )


class TrainerTest(unittest.IsolatedAsyncioTestCase):
    """Handling of documented refusals, failed entries and restarts."""

    async def asyncSetUp(self):
        self.refusals = []
        self.submitted = {}
        self.calls = []
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.books = str(pathlib.Path(directory.name) / 'books')
        self.server = server.HttpServer(self.handle)
        host, port = await self.server.start('127.0.0.1', 0)
        self.address = f'{host}:{port}'
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request):
        if request.path == '/health/ready':
            return messages.build_json_response(200, {})
        path = request.path.removeprefix('/v1/trainers/t/')
        self.calls.append(f'{request.method} {path}')
        if request.method == 'POST':
            return messages.build_json_response(200, {'generation': 1})
        if path.endswith('/groups'):
            body = msgspec.json.decode(request.body)
            self.submitted[int(path.split('/')[1])] = body
        if request.method == 'GET':
            if self.refusals:
                return refuse(*self.refusals.pop(0))
            return self.build_step(int(path.split('/')[1]))
        return messages.build_json_response(200, {})

    def build_step(self, step):
        body = self.submitted[step]
        groups = []
        for group in body['groups']:
            expected = text.expected_text('m', group['prompt'], 0, 24)
            sample = {
                'index': 0,
                'text': expected,
                'spans': [[1, 0, 24]],
                'attempt': 1,
                'replica': 'e',
                'request_id': 'r',
            }
            groups.append(
                {'name': group['name'], 'step': step, 'samples': [sample]}
            )
        return messages.build_json_response(
            200,
            {
                'generation': body['generation'],
                'groups': groups,
            },
        )

    async def run_trainer(self, entries=None, steps=2):
        options = trainer_options.Options(
            name='t',
            model='m',
            entries=tuple(entries or [self.address]),
            weight_store=self.address,
            books_file=self.books,
            steps=steps,
            train_ms=0,
        )
        await trainer.Trainer(options).run()
        return record_file.read_records(self.books)

    async def test_next_step_is_submitted_before_a_step_is_fetched(self):
        events = await self.run_trainer()
        taken = [e for e in events if e['event'] == 'taken']
        self.assertEqual([1, 2], [e['step'] for e in taken])
        self.assertTrue(all(s['text_right'] for s in taken[0]['samples']))
        ahead = self.calls.index('PUT steps/2/groups')
        self.assertLess(ahead, self.calls.index('GET steps/1'))

    async def test_unknown_step_is_submitted_again(self):
        self.refusals = [(404, 'unknown_step'), (503, 'step_not_ready')]
        await self.run_trainer(steps=1)
        self.assertEqual(2, self.calls.count('PUT steps/1/groups'))

    async def test_lost_step_is_voided_and_uses_the_new_generation(self):
        self.refusals = [(409, 'sealed_contents_lost')]
        await self.run_trainer(steps=1)
        self.assertEqual(1, self.calls.count('POST steps/1/void'))
        self.assertEqual(1, self.submitted[1]['generation'])

    async def test_broken_connection_is_retried_at_another_entry(self):
        async def close_connection(request):
            if request.path == '/health/ready':
                return messages.build_json_response(200, {})
            raise ConnectionResetError

        broken = server.HttpServer(close_connection)
        host, port = await broken.start('127.0.0.1', 0)
        self.addAsyncCleanup(broken.close)
        entry = f'{host}:{port}'
        events = await self.run_trainer([entry, self.address])
        failed = [e for e in events if e['event'] == 'failed']
        self.assertEqual(
            [(entry, 'BrokenError')], [(e['entry'], e['kind']) for e in failed]
        )

    async def test_restarted_trainer_continues_after_its_last_step(self):
        await self.run_trainer(steps=2)
        self.calls.clear()
        await self.run_trainer(steps=1)
        self.assertIn('GET steps/3', self.calls)
        self.assertNotIn('GET steps/2', self.calls)
