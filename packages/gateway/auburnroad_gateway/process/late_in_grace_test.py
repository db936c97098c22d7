"""Tests of requests that reach a gateway during its planned stop."""

import asyncio
import time
import unittest
from unittest import mock

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import settings
from auburnroad_gateway.process import gateway
from auburnroad_gateway.process import gateway_test
from auburnroad_gateway.process import stopping
from auburnroad_standins import partition_log

LONG_MS = 60_000
# Kind and timeout in milliseconds of the route that is named by its prefix.
ROUTES = {
    '/once/': (configuration.RouteKind.ONCE, LONG_MS),
    '/stream/': (configuration.RouteKind.STREAM, 500),
}
CONFIGURATION = configuration.Configuration(
    1,
    tuple(
        configuration.Route(
            prefix,
            'h',
            prefix,
            kind,
            (configuration.Backend('s'),),
            timeout_ms=timeout_ms,
            max_attempts=2,
        )
        for prefix, (kind, timeout_ms) in ROUTES.items()
    ),
    {'s': configuration.Service('s')},
)


class LateInGraceTest(unittest.IsolatedAsyncioTestCase):
    """What is accepted is answered before the process ends."""

    async def asyncSetUp(self):
        self.runs = 0
        self.finish = asyncio.Event()
        self.finish.set()
        replica = server.HttpServer(self.answer)
        host, port = await replica.start('127.0.0.1', 0)
        self.addAsyncCleanup(replica.close)
        entry = {
            'id': 'r',
            'service': 's',
            'address': f'{host}:{port}',
            'failure_domain': 'a',
            'slots': 4,
            'state': 'ready',
        }
        log = partition_log.PartitionLog()
        adapter = gateway_test.Adapter(log)
        log.put(
            adapter.operator_topic, 'c', msgspec.json.encode(CONFIGURATION)
        )
        log.put(adapter.replica_topic, 'r', msgspec.json.encode(entry))
        self.subject = gateway.Gateway(
            gateway_test.build_settings('one'), adapter
        )
        await self.subject.start()
        self.addAsyncCleanup(self.subject.close)
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while not self.subject.is_ready:
                await asyncio.sleep(0.01)

    async def answer(self, request):
        self.runs += 1
        await self.finish.wait()
        return messages.Response(200, {'signed': '1'})

    async def stop_late(self):
        """Stop, and let balancers know; a connection is kept open."""
        host, _, port = self.subject.addresses['callers'].rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while not self.subject._caller_server.connections:
                await asyncio.sleep(0)
        self.subject.stop()
        await asyncio.sleep(0)
        self.subject._unready_until = time.monotonic()

    async def send(self, path, **headers):
        http_client = client.HttpClient()
        self.addCleanup(http_client.close)
        return await http_client.fetch(
            self.subject.addresses['callers'],
            messages.Request('POST', path, {'host': 'h', **headers}),
            gateway_test.TIMEOUT_SECONDS,
        )

    async def test_stream_that_may_outlast_stop_is_refused_and_not_run(self):
        """It was accepted by its route's timeout, which ends no stream."""
        await self.stop_late()
        for headers in ({}, {'patience': str(LONG_MS)}):
            with self.subTest(headers=headers):
                response = await self.send('/stream/x', **headers)
                self.assertEqual(503, response.status)
                self.assertEqual('close', response.headers['connection'])
        self.assertEqual(0, self.runs)

    async def test_stream_that_begins_while_callers_arrive_is_served(self):
        self.subject.stop()
        response = await self.send('/stream/x', patience=str(LONG_MS))
        self.assertEqual(200, response.status)

    async def test_request_whose_deadline_comes_before_the_end_is_served(self):
        """It was refused because of its route's timeout."""
        await self.stop_late()
        for path in ('/once/x', '/stream/x'):
            with self.subTest(path=path):
                response = await self.send(path, patience='500')
                self.assertEqual(200, response.status)

    async def test_request_that_a_replica_still_runs_at_the_end_gets_504(self):
        """Its connection was closed without an answer."""
        self.finish.clear()
        sending = asyncio.create_task(self.send('/once/x'))
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while not self.runs:
                await asyncio.sleep(0.01)
        self.subject.apply_settings(
            msgspec.structs.replace(
                self.subject._settings, bounds=settings.Bounds(grace_s=1.0)
            )
        )
        self.subject.stop()
        await self.subject.wait_closed()
        await self.subject.close()
        self.assertEqual(504, (await sending).status)
        self.assertEqual(1, self.runs)

    async def test_nothing_is_accepted_once_a_stop_is_over_early(self):
        """A request that came just then was passed on, and cut off."""
        with mock.patch.object(stopping, 'UNREADY_SECONDS', 0.0):
            self.subject.stop()
            await self.subject.wait_closed()
        self.assertTrue(
            self.subject._may_outlast_stop(
                stopping.RequestEnd(time.monotonic(), time.monotonic())
            )
        )


class StopTimesTest(unittest.TestCase):
    """Times of stops of any grace period."""

    def test_requests_in_flight_have_until_the_last_sixth_of_the_grace(self):
        """With fixed margins, a short grace period left no time at all."""
        for grace_seconds in (0.5, 1.0, 2.0, 3.0, 8.0, 30.0):
            times = stopping.build_times(grace_seconds, 0.0)
            end = times.drained_at
            with self.subTest(grace_seconds=grace_seconds):
                self.assertGreaterEqual(end, 5 / 6 * grace_seconds)
                self.assertLess(end, grace_seconds)
                self.assertGreater(times.response_deadline_at, 0.0)
