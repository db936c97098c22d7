"""Tests of complete gateways on loopback with one log and one replica.

They guard against requests that fail right after a start or during a planned
stop, and against gateways that return different results for a batch.
"""

import asyncio
import contextlib
import json
import time
import unittest
from unittest import mock

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import settings
from auburnroad_gateway.process import gateway
from auburnroad_gateway.process import run
from auburnroad_gateway.process import supervision
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

TIMEOUT_SECONDS = 20
CONFIGURATION = configuration.Configuration(
    1,
    (
        configuration.Route(
            'plain',
            'h',
            '/q/',
            configuration.RouteKind.IDEMPOTENT,
            (configuration.Backend('s'),),
            timeout_ms=1000,
            max_attempts=2,
        ),
        configuration.Route(
            'batch',
            'h',
            '/p/',
            configuration.RouteKind.BATCH,
            (configuration.Backend('s'),),
            max_attempts=2,
        ),
    ),
    {'s': configuration.Service('s', models=('m',))},
)


def build_settings(name: str) -> settings.Settings:
    """Build the settings of a gateway on free ports of loopback."""
    return settings.Settings(
        name,
        '127.0.0.1',
        'a',
        '127.0.0.1:0',
        '127.0.0.1:0',
        0,
        0,
        'unused',
        bounds=settings.Bounds(grace_s=4.0),
    )


class Adapter(plain_adapter.PlainAdapter):
    """Plain adapter with a given log; decodes batch calls from headers."""

    def __init__(self, log):
        self._log = log

    def open_log(self):
        return self._log

    def decode_batch_call(self, request):
        if 'batch' not in request.headers:
            return None
        return call.BatchCall(
            call.BatchVerb(request.headers['verb']),
            request.headers['batch'],
            wait_ms=1000,
        )


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    """Gateways that share a log and a replica."""

    async def asyncSetUp(self):
        self.runs = 0
        self.log = partition_log.PartitionLog()
        self.replica = server.HttpServer(self.answer)
        host, port = await self.replica.start('127.0.0.1', 0)
        self.address = f'{host}:{port}'
        self.addAsyncCleanup(self.replica.close)
        self.client = client.HttpClient()
        self.addCleanup(self.client.close)

    async def answer(self, request):
        headers = {'signed': '1', 'id': request.headers.get('id', '')}
        self.runs += 1
        if not request.path.startswith('/p/'):
            return messages.Response(200, headers, b'ok')
        events = [scripted_replicas.build_event(n) for n in range(3)]
        return messages.Response(
            200, headers, chunks=scripted_replicas.iterate(events)
        )

    def publish(self):
        self.log.put(
            plain_adapter.PlainAdapter.operator_topic,
            'configuration',
            msgspec.json.encode(CONFIGURATION),
        )
        entry = {
            'id': 'r',
            'service': 's',
            'address': self.address,
            'failure_domain': 'a',
            'slots': 4,
            'state': 'ready',
            'versions': {'m': 1},
        }
        self.log.put(
            plain_adapter.PlainAdapter.replica_topic,
            'r',
            json.dumps(entry).encode(),
        )

    async def start(self, name):
        subject = gateway.Gateway(build_settings(name), Adapter(self.log))
        await subject.start()
        self.addAsyncCleanup(subject.close)
        return subject

    async def send(
        self, subject, target, body=b'', endpoint='callers', **headers
    ):
        request = messages.Request(
            'POST', target, {'host': 'h', **headers}, body
        )
        return await self.client.fetch(
            subject.addresses[endpoint], request, TIMEOUT_SECONDS
        )

    async def test_request_right_after_start_is_answered_with_200(self):
        self.publish()
        subject = await self.start('one')
        response = await self.send(subject, '/q/x', id='q')
        self.assertEqual((200, b'ok'), (response.status, response.body))

    async def test_unreadable_registration_does_not_keep_it_from_starting(
        self,
    ):
        """An entry of another writer stopped each gateway that started."""
        self.log.put(
            plain_adapter.PlainAdapter.replica_topic,
            'odd',
            b'{"other":' + b'[' * 3000 + b']' * 3000 + b'}',
        )
        self.publish()
        subject = await self.start('one')
        response = await self.send(subject, '/q/x', id='q')
        self.assertEqual((200, b'ok'), (response.status, response.body))

    async def test_request_without_configuration_is_refused_with_503(self):
        subject = await self.start('one')
        response = await self.send(subject, '/q/x')
        self.assertEqual(503, response.status)
        self.assertIn('retry-after', response.headers)
        ready = await self.send(subject, '/', endpoint='ready')
        self.assertEqual(503, ready.status)

    async def test_version_before_first_configuration_is_applied(self):
        """An exception ended the read of what operators had written."""
        self.log.put(plain_adapter.PlainAdapter.operator_topic, '#m', b'2')
        with mock.patch.object(
            supervision.events, 'write', autospec=True
        ) as write:
            subject = await self.start('one')
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while not subject._tails.operators.is_loaded:
                    await asyncio.sleep(0.01)
        written = [entry.args[0] for entry in write.call_args_list]
        self.assertNotIn('work_failed', written)
        self.publish()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not subject.is_ready:
                await asyncio.sleep(0.01)
        self.assertEqual(2, subject._configuration.announced_versions['m'])

    async def test_unknown_route_returns_404(self):
        self.publish()
        subject = await self.start('one')
        self.assertEqual(404, (await self.send(subject, '/no/')).status)

    async def test_batch_can_be_read_from_any_gateway(self):
        self.publish()
        one, two = await self.start('one'), await self.start('two')
        body = msgspec.msgpack.encode(fold_test.build_submission(items=3))
        response = await self.send(one, '/p/', body)
        self.assertEqual(202, response.status)
        results = []
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(results) < 3:
                page = await self.send(two, '/', batch='b', verb='read')
                _, _, results = json.loads(page.body)
        self.assertEqual(['0\n1\n2'] * 3, [entry[2] for entry in results])
        again = await self.send(one, '/', batch='b', verb='read')
        self.assertEqual(results, json.loads(again.body)[2])

    async def test_changed_log_address_is_applied(self):
        subject = await self.start('one')
        changed = msgspec.structs.replace(
            subject._settings, log_address='127.0.0.1:9'
        )
        reload_requested = asyncio.Event()
        reload_requested.set()
        task = asyncio.create_task(
            run.follow_settings(subject, lambda: changed, reload_requested)
        )
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while 'address 127.0.0.1:9' not in self.log.calls:
                await asyncio.sleep(0.01)
        task.cancel()

    async def test_metrics_are_served(self):
        subject = await self.start('one')
        page = await self.send(subject, '/metrics', endpoint='metrics')
        self.assertIn(b'auburnroad_requests_total', page.body)

    async def test_request_that_may_outlast_stop_is_refused_and_not_run(self):
        """Requests still arrive several seconds after the stop signal."""
        self.publish()
        subject = await self.start('one')
        await self.send(subject, '/q/x', id='q')
        runs = self.runs
        subject.stop()
        await asyncio.sleep(0)
        subject._response_deadline_at = time.monotonic() + 0.1
        response = await self.send(subject, '/q/x', id='q')
        self.assertEqual(503, response.status)
        self.assertIn('retry-after', response.headers)
        self.assertEqual(runs, self.runs)

    async def test_planned_stop_answers_request_and_closes_connection(self):
        self.publish()
        subject = await self.start('one')
        await self.send(subject, '/q/x', id='q')
        subject.stop()
        ready = await self.send(subject, '/', endpoint='ready')
        self.assertEqual(503, ready.status)
        response = await self.send(subject, '/q/x', id='q')
        self.assertEqual(200, response.status)
        self.assertEqual('close', response.headers['connection'])
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await subject.wait_closed()


class SuperviseTest(unittest.IsolatedAsyncioTestCase):
    """Background work that raises an exception."""

    async def test_failed_work_is_restarted(self):
        runs = []

        async def fail():
            runs.append(1)
            raise KeyError('x')

        task = asyncio.create_task(supervision.supervise(fail))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(runs) < 2:
                await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
