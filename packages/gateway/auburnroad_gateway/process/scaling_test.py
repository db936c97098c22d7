"""Tests of complete gateways that order replicas and share slots.

Guards against components that work alone but are not connected: orders that
never reach the platform's API, orders of two gateways, and requests that pass
by the fair queue.
"""

import asyncio
import unittest

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import settings
from auburnroad_gateway.process import gateway
from auburnroad_gateway.process import gateway_test
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter

TIMEOUT_SECONDS = 20
SLOTS = 2
ROUTE = configuration.Route(
    'plain',
    'h',
    '/q/',
    configuration.RouteKind.ONCE,
    (configuration.Backend('s'),),
    target_latency_ms=60_000,
)


class Adapter(gateway_test.Adapter):
    """Adapter whose orders are JSON lists of all arguments."""

    def build_scale_call(self, *arguments):
        return messages.Request(
            'POST', '/', {}, msgspec.json.encode(arguments)
        )


class ScalingTest(unittest.IsolatedAsyncioTestCase):
    """Gateways, a log, a platform's API that starts replicas, a replica.

    Attributes:
      orders: Number, holder and token of each order.
      failures: Number of the next orders that are answered with 503.
      running: Number of requests that the replica runs.
      most: Highest such number.
    """

    async def asyncSetUp(self):
        self.orders = []
        self.failures = 0
        self.running = self.most = 0
        self.log = partition_log.PartitionLog()
        self.api = await self.serve(self.take_order)
        self.replica = await self.serve(self.answer)
        self.client = client.HttpClient()
        self.addCleanup(self.client.close)

    async def serve(self, handler):
        http_server = server.HttpServer(handler)
        host, port = await http_server.start('127.0.0.1', 0)
        self.addAsyncCleanup(http_server.close)
        return f'{host}:{port}'

    async def take_order(self, request):
        if self.failures:
            self.failures -= 1
            return messages.Response(503)
        service, domain, count, holder, fence = msgspec.json.decode(
            request.body
        )
        self.assertEqual(('s', 'a'), (service, domain))
        self.orders.append((count, holder, fence))
        for number in range(count):
            self.register(number)
        return messages.Response(200)

    async def answer(self, request):
        self.running += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(0.05)
        self.running -= 1
        headers = {'signed': '1', 'id': request.headers.get('id', '')}
        return messages.Response(200, headers, b'ok')

    def publish(self, scaling=None, accounts=None):
        self.log.put(
            plain_adapter.PlainAdapter.operator_topic,
            'configuration',
            msgspec.json.encode(
                configuration.Configuration(
                    1,
                    # No account has a key, so that callers have none.
                    (msgspec.structs.replace(ROUTE, public=True),),
                    {'s': configuration.Service('s', scaling=scaling)},
                    accounts=accounts,
                )
            ),
        )

    def register(self, number):
        entry = {
            'id': f'r{number}',
            'service': 's',
            'address': self.replica,
            'failure_domain': 'a',
            'slots': SLOTS,
            'state': 'ready',
            'started_ms': 1,
        }
        self.log.put(
            plain_adapter.PlainAdapter.replica_topic,
            f'r{number}',
            msgspec.json.encode(entry),
        )

    async def start(self, name):
        own = msgspec.structs.replace(
            gateway_test.build_settings(name),
            cloud=settings.Cloud(self.api, (settings.AUTOSCALE,)),
        )
        subject = gateway.Gateway(own, Adapter(self.log))
        await subject.start()
        self.addAsyncCleanup(subject.close)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not subject.is_ready:
                await asyncio.sleep(0.01)
        return subject

    async def wait_for_orders(self, count):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.orders) < count:
                await asyncio.sleep(0.01)

    async def test_nothing_is_decided_by_old_registrations_or_batches(self):
        """One late partition of the log let orders follow what was before."""
        self.publish()
        subject = await self.start('one')
        is_current = subject._scaler._is_current
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not is_current():
                await asyncio.sleep(0.01)
        for late in (subject._tails.replicas, *subject._journal._tails):
            complete_at, late.complete_at = late.complete_at, -60.0
            self.assertFalse(is_current())
            late.complete_at = complete_at
        self.assertTrue(is_current())

    async def test_one_holder_orders_the_minimum_once(self):
        self.failures = 2
        self.publish(configuration.Scaling(2, 4, 100))
        self.register(0)
        for name in ('one', 'two'):
            await self.start(name)
        await self.wait_for_orders(1)
        # The next decisions find what was ordered.
        await asyncio.sleep(2.5)
        self.assertEqual([2], [order[0] for order in self.orders])
        self.assertIn(self.orders[0][1], ('one', 'two'))

    async def test_lost_replica_is_ordered_by_the_next_holder(self):
        self.publish(configuration.Scaling(2, 4, 100))
        self.register(0)
        hosts = {name: await self.start(name) for name in ('one', 'two')}
        await self.wait_for_orders(1)
        _, holder, token = self.orders[0]
        await hosts[holder].close()
        self.log.put(plain_adapter.PlainAdapter.replica_topic, 'r1', b'')
        await self.wait_for_orders(2)
        count, successor, next_token = self.orders[1]
        self.assertEqual(2, count)
        self.assertNotEqual(holder, successor)
        self.assertGreater(next_token, token)

    async def test_service_without_bounds_is_never_ordered(self):
        self.publish()
        self.register(0)
        await self.start('one')
        await asyncio.sleep(2.5)
        self.assertEqual([], self.orders)

    async def test_requests_beyond_the_slots_wait_with_accounts(self):
        self.publish(accounts=())
        self.register(0)
        subject = await self.start('one')
        statuses = await self.send_all(subject, 6)
        self.assertEqual([200] * 6, statuses)
        self.assertEqual(SLOTS, self.most)

    async def test_requests_do_not_wait_without_accounts(self):
        self.publish()
        self.register(0)
        subject = await self.start('one')
        await self.send_all(subject, 6)
        self.assertGreater(self.most, SLOTS)

    async def send_all(self, subject, count):
        responses = await asyncio.gather(
            *(
                self.client.fetch(
                    subject.addresses['callers'],
                    messages.Request(
                        'POST',
                        '/q/x',
                        {'host': 'h', 'id': f'q{number}'},
                        b'%d' % number,
                    ),
                    TIMEOUT_SECONDS,
                )
                for number in range(count)
            )
        )
        return [response.status for response in responses]
