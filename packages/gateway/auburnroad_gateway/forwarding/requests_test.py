"""Tests of retries and hedging with one faulty replica.

One replica of a service is slow, unreachable, full or broken while another is
idle. The caller must still get a response in time, and a request that must
not run twice must be sent only once if its outcome is unknown.
"""

import asyncio
import time
import unittest

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.log import service
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_standins import crash_watches
from auburnroad_standins import permit_group
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas


def build_route(kind=configuration.RouteKind.IDEMPOTENT, **fields):
    values = {
        'timeout_ms': 5000,
        'target_latency_ms': 40,
        'max_attempts': 2,
        **fields,
    }
    return configuration.Route(
        'r', 'h', '/', kind, (configuration.Backend('s'),), **values
    )


async def hang(request):
    await asyncio.Event().wait()


class ForwarderTestCase(unittest.IsolatedAsyncioTestCase):
    """Two replicas, of which 'near' is tried first.

    'near' is in the gateway's failure domain, 'far' is not.
    """

    def setUp(self):
        self.adapter = plain_adapter.PlainAdapter()
        self.client = scripted_replicas.ScriptedClient()
        self.replicas = directory.Directory(self.adapter)
        for name in ('near', 'far'):
            value = (
                '{"id":"%s","service":"s","address":"%s:1",'
                '"failure_domain":"%s","slots":2,"state":"ready"}'
            ) % (name, name, name)
            self.replicas.apply(service.KeyedRecord(name, value.encode(), 0))
        self.forwarder = requests.Forwarder(
            self.adapter,
            self.client,
            self.replicas,
            'near',
            permit_group.PermitGroup('own').permits['own'],
            crash_watches.build_crash_watch(),
        )
        self.client.handle('far:1', self.answer)

    async def answer(self, request):
        return scripted_replicas.answer()

    async def forward(self, route=None, patience_ms=None, **headers):
        pending = requests.PendingRequest(
            messages.Request('POST', '/x', {'host': 'h', **headers}, b'body'),
            call.CallHead('q', patience_ms),
            route or build_route(),
            time.monotonic(),
        )
        return await self.forwarder.forward(pending)

    def register(self, name, service_name, state='ready'):
        value = (
            '{"id":"%s","service":"%s","address":"%s:1",'
            '"failure_domain":"near","slots":2,"state":"%s"}'
        ) % (name, service_name, name, state)
        self.replicas.apply(service.KeyedRecord(name, value.encode(), 0))
        self.client.handle(f'{name}:1', self.answer)

    def fail_near(self, error):
        async def fail(request):
            raise error

        self.client.handle('near:1', fail)


class ForwarderTest(ForwarderTestCase):
    """A route of one service."""

    async def test_silent_replica_causes_hedged_attempt(self):
        self.client.handle('near:1', hang)
        response = await self.forward()
        self.assertEqual(200, response.status)

    async def test_run_once_request_is_not_retried_if_outcome_is_unknown(self):
        self.fail_near(client.BrokenError('reset'))
        route = build_route(configuration.RouteKind.ONCE)
        response = await self.forward(route)
        self.assertEqual(502, response.status)
        self.assertEqual(0, self.client.count('far:1'))

    async def test_run_once_request_is_retried_after_refusal(self):
        async def refuse(request):
            return scripted_replicas.refuse()

        self.client.handle('near:1', refuse)
        route = build_route(configuration.RouteKind.ONCE, max_attempts=1)
        self.assertEqual(200, (await self.forward(route)).status)

    async def test_run_once_request_is_retried_after_failed_connect(self):
        route = build_route(configuration.RouteKind.ONCE, max_attempts=1)
        self.assertEqual(200, (await self.forward(route)).status)

    def list_avoided(self):
        now = time.monotonic()
        return sorted(
            target.id
            for target in self.replicas.list_all('s')
            if target.avoid_until > now
        )

    def answer_all(self, status, **headers):
        async def refuse(request):
            return scripted_replicas.answer(status, **headers)

        for name in ('near', 'far'):
            self.client.handle(f'{name}:1', refuse)

    async def test_replica_with_other_weights_is_not_avoided(self):
        """A request a second kept all replicas from the items of batches."""
        self.answer_all(421, **{'not-run': '1'})
        response = await self.forward(**{'wants-version': '1'})
        self.assertEqual(503, response.status)
        self.assertEqual([], self.list_avoided())

    async def test_replica_at_the_address_of_another_one_is_avoided(self):
        self.answer_all(421, **{'not-run': '1'})
        await self.forward()
        self.assertEqual(['far', 'near'], self.list_avoided())

    async def test_replica_that_refuses_a_malformed_request_is_not_avoided(
        self,
    ):
        self.answer_all(400, **{'not-run': '1'})
        await self.forward()
        self.assertEqual([], self.list_avoided())

    async def test_unsigned_success_is_not_forwarded(self):
        async def forge(request):
            return scripted_replicas.Reply(
                200, {}, scripted_replicas.iterate([b'forged'])
            )

        self.client.handle('near:1', forge)
        self.assertEqual(b'ok', (await self.forward()).body)

    async def test_possible_runs_are_limited_by_max_attempts(self):
        self.fail_near(client.BrokenError('reset'))
        response = await self.forward(build_route(max_attempts=1))
        self.assertEqual(502, response.status)

    async def test_error_response_of_replica_is_forwarded(self):
        async def fail(request):
            return scripted_replicas.answer(500, b'broken')

        self.client.handle('near:1', fail)
        self.client.handle('far:1', fail)
        response = await self.forward()
        self.assertEqual((500, b'broken'), (response.status, response.body))

    async def test_route_timeout_is_answered_with_504(self):
        self.client.handle('near:1', hang)
        self.client.handle('far:1', hang)
        response = await self.forward(build_route(timeout_ms=60))
        self.assertEqual(504, response.status)

    async def test_refusal_by_all_replicas_returns_503_with_retry_after(self):
        async def refuse(request):
            return scripted_replicas.refuse()

        self.client.handle('near:1', refuse)
        self.client.handle('far:1', refuse)
        response = await self.forward()
        self.assertEqual(503, response.status)
        self.assertIn('retry-after', response.headers)

    async def test_leaving_replica_gets_no_further_request(self):
        """The answer is returned; a registration may not say so yet."""

        async def leave(request):
            return scripted_replicas.answer(200, b'last', leaving='1')

        self.client.handle('near:1', leave)
        self.assertEqual(b'last', (await self.forward()).body)
        self.assertEqual(b'ok', (await self.forward()).body)
        self.assertEqual(1, self.client.count('near:1'))

    async def test_refusal_of_a_leaving_replica_is_believed(self):
        async def refuse(request):
            return scripted_replicas.refuse(leaving='1')

        self.client.handle('near:1', refuse)
        await self.forward()
        (ready,) = self.replicas.list_ready('s')
        self.assertEqual('far', ready.id)

    async def test_answer_of_another_replica_at_the_address_is_no_leave(self):
        async def misdirect(request):
            return scripted_replicas.Reply(
                421,
                {'not-run': '1', 'leaving': '1'},
                scripted_replicas.iterate([b'']),
            )

        self.client.handle('near:1', misdirect)
        await self.forward()
        self.assertEqual(2, len(self.replicas.list_ready('s')))

    async def test_requests_that_arrive_together_are_spread(self):
        """The answers of a burst show the load of its replica too late."""
        self.client.handle('near:1', hang)
        self.client.handle('far:1', hang)
        route = build_route(target_latency_ms=60_000)
        burst = [asyncio.create_task(self.forward(route)) for _ in range(4)]
        while len(self.client.requests) < 4:
            await asyncio.sleep(0)
        self.assertEqual(2, self.client.count('far:1'))
        for task in burst:
            task.cancel()
        await asyncio.gather(*burst, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertEqual(
            [0, 0],
            [target.in_flight for target in self.replicas.list_all('s')],
        )

    async def test_attempt_carries_remaining_time_and_replica_id(self):
        await self.forward(patience_ms=700)
        _, sent = self.client.requests[-1]
        self.assertLessEqual(int(sent.headers['patience']), 700)
        self.assertEqual('far', sent.headers['replica'])


class SplitRouteTest(ForwarderTestCase):
    """A route of two services; 's' gets almost all requests by its weight."""

    def build_split_route(self, *services):
        return msgspec.structs.replace(
            build_route(),
            backends=tuple(
                configuration.Backend(name, weight)
                for name, weight in services
            ),
        )

    async def test_request_goes_to_the_other_service_if_its_own_is_lost(self):
        """It was refused while the replicas of the other service were idle."""
        self.register('other', 'o')
        self.replicas.apply(service.KeyedRecord('near', b'', 1))
        self.replicas.apply(service.KeyedRecord('far', b'', 2))
        route = self.build_split_route(('s', 1e9), ('o', 1e-9))
        self.assertEqual(200, (await self.forward(route)).status)
        self.assertEqual(1, self.client.count('other:1'))

    async def test_request_goes_on_at_the_other_service_after_failures(self):
        self.register('other', 'o')
        for name in ('near', 'far'):
            self.client.handle(f'{name}:1', self.fail)
        route = self.build_split_route(('s', 1e9), ('o', 1e-9))
        self.assertEqual(200, (await self.forward(route)).status)

    async def fail(self, request):
        raise client.ConnectError('refused')

    async def test_service_without_weight_gets_no_request(self):
        self.register('other', 'o')
        route = self.build_split_route(('o', 0.0), ('s', 1.0))
        self.client.handle('near:1', self.answer)
        for _ in range(20):
            self.assertEqual(200, (await self.forward(route)).status)
        self.assertEqual(0, self.client.count('other:1'))
