"""Tests of the caller against an entry with scripted responses."""

import pathlib
import re
import tempfile
import unittest

import msgspec

from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_standins import caller
from auburnroad_standins import record_file
from auburnroad_standins import text

UUID7 = r'[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}'


class BuildKeyTest(unittest.TestCase):
    """Idempotency keys are UUIDs of version 7."""

    def test_key_contains_its_time_and_is_unique(self):
        key = caller.build_key(0x0123456789AB)
        self.assertTrue(re.fullmatch(UUID7, key), key)
        self.assertTrue(key.startswith('01234567-89ab-7'))
        self.assertNotEqual(key, caller.build_key(0x0123456789AB))


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Checks of responses, and retries of refused requests."""

    async def asyncSetUp(self):
        self.keys = []
        self.first = None
        self.cut = False
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
        self.keys.append(request.headers.get('idempotency-key'))
        if self.first is not None:
            response, self.first = self.first, None
            return response
        if request.path == '/v1/completions':
            return self.complete(msgspec.json.decode(request.body))
        path = request.path.removeprefix('/services/s')
        return messages.build_json_response(
            200, {'method': request.method, 'path': path}
        )

    def complete(self, body):
        expected = text.expected_text(
            'm', body['prompt'], 0, body['max_tokens']
        )
        choice = {'text': expected, 'finish_reason': 'length'}
        value = msgspec.json.encode({'choices': [choice]})
        if not body['stream']:
            return messages.Response(200, {}, value)
        events = messages.build_server_sent_event(value)
        if not self.cut:
            events += messages.build_server_sent_event(b'[DONE]')
        return messages.Response(200, {}, events)

    async def call(self, kind):
        options = caller.Options(
            name='c',
            entries=(self.address,),
            books_file=self.books,
            model='m',
            service='s',
            kinds=(kind,),
            rate=1000.0,
            count=1,
        )
        await caller.Caller(options).run()
        events = record_file.read_records(self.books)
        answered = [e for e in events if e['event'] == 'answered']
        return answered[0]['tries']

    async def test_correct_response_of_each_kind_is_accepted(self):
        for kind in ('completion', 'stream', 'get', 'post'):
            with self.subTest(kind):
                tries = await self.call(kind)
                self.assertTrue(tries[0]['whole'] and tries[0]['right'])

    async def test_truncated_stream_is_incomplete(self):
        self.cut = True
        tries = await self.call('stream')
        self.assertEqual((True, False), (tries[0]['began'], tries[0]['whole']))

    async def test_refused_call_is_retried_with_the_same_key(self):
        self.first = messages.build_json_response(
            503,
            {'error': {'code': 'log_unavailable'}},
            {'auburnroad-outcome': 'not-run', 'retry-after': '0'},
        )
        tries = await self.call('post')
        self.assertEqual(['not-run', ''], [t['outcome'] for t in tries])
        self.assertEqual(1, len(set(self.keys)))
        self.assertTrue(re.fullmatch(UUID7, self.keys[0]))
