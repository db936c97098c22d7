"""Tests that all gateways together keep a replica's rate limit.

Requests of every kind arrive at many gateways while one or all replicas of
their service limit their rate. The time of permits is the test's: none becomes
available unless a test moves the clock or grants it.
"""

import time
import unittest
from unittest import mock

from auburnroad_core.http import messages
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import rate_limit
from auburnroad_gateway.directory import rate_limit_test
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.forwarding import requests_test
from auburnroad_gateway.forwarding import streams
from auburnroad_gateway.log import service
from auburnroad_gateway.members import permits
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_standins import crash_watches
from auburnroad_standins import permit_group
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas
from auburnroad_standins import stream_memories

NAMES = tuple(f'g{number}' for number in range(6))
LOW_LIMIT = '0.001'
SLOTS = 2
STEP_SECONDS = 0.1
PRESS_SECONDS = 12.0
# The users' bound: from so long after the limit was first named.
CONTACT_SECONDS = 3.0


class GatewayStub:
    """A gateway's view of the replicas, and its forwarding."""

    def __init__(self, name, group, http_client):
        adapter = plain_adapter.PlainAdapter()
        self.replicas = directory.Directory(adapter)
        for replica_id in ('one', 'two'):
            value = (
                '{"id":"%s","service":"s","address":"%s:1",'
                '"failure_domain":"a","slots":%d,"state":"ready"}'
            ) % (replica_id, replica_id, SLOTS)
            self.replicas.apply(
                service.KeyedRecord(replica_id, value.encode(), 0)
            )
        self.permits = group.permits[name]
        self.forwarder = requests.Forwarder(
            adapter,
            http_client,
            self.replicas,
            'a',
            self.permits,
            crash_watches.build_crash_watch(),
        )
        self.streams = streams.StreamForwarder(
            adapter,
            http_client,
            self.forwarder,
            crash_watches.build_crash_watch(),
            stream_memories.build_stream_releases(),
            stream_memories.build_replica_tail(self.replicas),
        )

    def find(self, replica_id):
        return next(
            target
            for target in self.replicas.list_all('s')
            if target.id == replica_id
        )

    async def forward(self, kind=configuration.RouteKind.IDEMPOTENT):
        pending = requests.PendingRequest(
            messages.Request('POST', '/x', {'host': 'h'}),
            call.CallHead('q'),
            requests_test.build_route(kind, target_latency_ms=60_000),
            time.monotonic(),
        )
        if kind is configuration.RouteKind.STREAM:
            return await self.streams.forward(pending)
        return await self.forwarder.forward(pending)


class PermitsTest(unittest.IsolatedAsyncioTestCase):
    """Six gateways and two replicas."""

    def setUp(self):
        self.now = 0.0
        clock = mock.Mock(spec_set=('monotonic',))
        clock.monotonic = lambda: self.now
        self.enterContext(mock.patch.object(permits, 'time', clock))
        self.client = scripted_replicas.ScriptedClient()
        self.group = permit_group.PermitGroup(*NAMES)
        self.gateways = [
            GatewayStub(name, self.group, self.client) for name in NAMES
        ]
        self.limit('one', LOW_LIMIT)
        self.limit('two', LOW_LIMIT)

    def restart(self, name):
        self.group.restart(name)
        self.gateways[NAMES.index(name)] = GatewayStub(
            name, self.group, self.client
        )

    def limit(self, replica_id, per_second):
        async def answer(request):
            headers = {} if per_second is None else {'limit': per_second}
            return scripted_replicas.answer(**headers)

        self.client.handle(f'{replica_id}:1', answer)

    def grant(self, *replica_ids):
        """Make one permit available for each replica."""
        limiter = self.group.permits[self.group.granting]._limiter
        for replica_id in replica_ids:
            want = rate_limit.Want(replica_id, float(LOW_LIMIT))
            limiter.grant_each([want], self.now)
            limiter._buckets[replica_id].tokens = 1.0

    async def tell_all(self):
        """Let each gateway get an answer of each replica."""
        for gateway in self.gateways:
            for replica_id in ('one', 'two'):
                gateway.find(replica_id).note_rate_limit(float(LOW_LIMIT))

    async def press(self, find_gateways):
        """Send from each gateway in each step; return times by replica."""
        times = {'one:1': [], 'two:1': []}
        while self.now < PRESS_SECONDS:
            for gateway in find_gateways():
                sent = len(self.client.requests)
                await gateway.forward()
                for address, _ in self.client.requests[sent:]:
                    times[address].append(self.now)
            self.now += STEP_SECONDS
        return {
            address: [at for at in sent if at >= CONTACT_SECONDS]
            for address, sent in times.items()
        }

    def assert_kept(self, times, per_second):
        for address, sent in times.items():
            self.assertLessEqual(
                rate_limit_test.count_most(sent),
                rate_limit_test.find_allowed(per_second),
                address,
            )

    async def test_all_gateways_together_keep_the_limit(self):
        """Each gateway alone sent what all of them together were allowed."""
        self.limit('one', '1.0')
        self.limit('two', '1.0')
        times = await self.press(lambda: self.gateways)
        self.assert_kept(times, 1.0)
        allowed = PRESS_SECONDS - CONTACT_SECONDS
        self.assertGreater(len(times['one:1']), 0.8 * allowed)

    async def test_limit_holds_while_granting_gateways_are_lost_in_turn(self):
        """What had been granted was forgotten with each of them."""
        self.limit('one', '1.0')
        self.limit('two', '1.0')

        def lose_one():
            step = round(self.now / STEP_SECONDS)
            self.group.granting = NAMES[step // 10 % len(NAMES)]
            if step % 10 == 0:
                self.restart(self.group.granting)
            return self.gateways

        self.assert_kept(await self.press(lose_one), 1.0)

    async def test_first_answers_tell_each_gateway_the_limit(self):
        for _ in range(20):
            for gateway in self.gateways:
                await gateway.forward()
        self.assertEqual(len(NAMES), self.client.count('one:1'))
        self.assertEqual(len(NAMES), self.client.count('two:1'))

    async def test_every_kind_of_request_needs_a_permit(self):
        await self.tell_all()
        for kind in (
            configuration.RouteKind.IDEMPOTENT,
            configuration.RouteKind.ONCE,
            configuration.RouteKind.STREAM,
        ):
            with self.subTest(kind=kind):
                response = await self.gateways[1].forward(kind)
                self.assertEqual(503, response.status)
                self.assertEqual([], self.client.requests)

    async def test_permit_lets_one_request_through(self):
        await self.tell_all()
        self.grant('one')
        statuses = [(await g.forward()).status for g in self.gateways]
        self.assertEqual([200, *[503] * 5], statuses)
        self.assertEqual(1, self.client.count('one:1'))

    async def test_replica_without_limit_is_used_without_a_permit(self):
        self.limit('two', None)
        await self.tell_all()
        for gateway in self.gateways:
            gateway.find('two').note_rate_limit(None)
            self.assertEqual(200, (await gateway.forward()).status)
        self.assertEqual(0, self.client.count('one:1'))
        self.assertEqual(0, self.group.calls)

    async def test_limited_replica_is_used_while_the_others_are_busy(self):
        self.limit('two', None)
        await self.tell_all()
        gateway = self.gateways[1]
        gateway.find('two').note_rate_limit(None)
        gateway.find('two').in_flight = SLOTS
        self.grant('one')
        self.assertEqual(200, (await gateway.forward()).status)
        self.assertEqual(1, self.client.count('one:1'))
        self.assertEqual(200, (await gateway.forward()).status)
        self.assertEqual(1, self.client.count('two:1'))

    async def test_limit_ends_with_an_answer_that_names_none(self):
        self.limit('one', None)
        await self.tell_all()
        self.grant('one')
        gateway = self.gateways[1]
        await gateway.forward()
        calls = self.group.calls
        self.assertEqual(200, (await gateway.forward()).status)
        self.assertEqual(calls, self.group.calls)

    async def test_refusal_tells_when_to_return(self):
        await self.tell_all()
        response = await self.gateways[1].forward()
        self.assertEqual(
            rate_limit.MAX_RETRY_SECONDS,
            float(response.headers['retry-after']),
        )

    async def test_gateway_that_is_down_grants_nothing(self):
        await self.tell_all()
        self.grant('one')
        self.group.down.add(self.group.granting)
        response = await self.gateways[1].forward()
        self.assertEqual(503, response.status)
        self.assertEqual(
            permits.RETRY_SECONDS, float(response.headers['retry-after'])
        )
        self.assertEqual([], self.client.requests)

    async def test_gateway_that_was_started_again_grants_nothing_at_first(
        self,
    ):
        """A limit was forgotten with the process that had granted permits."""
        await self.tell_all()
        self.restart(self.group.granting)
        for gateway in self.gateways[1:]:
            self.assertEqual(503, (await gateway.forward()).status)
        self.assertEqual([], self.client.requests)

    async def test_only_the_chosen_gateway_grants(self):
        """Two gateways granted while their views of the members differed."""
        await self.tell_all()
        self.grant('one')
        stale = self.group.permits[NAMES[0]]
        request = messages.Request('POST', permits.PATH, {}, b'')
        self.assertEqual(400, (await stale.serve(request)).status)
        self.group.granting = NAMES[2]
        response = await self.gateways[1].forward()
        self.assertEqual(503, response.status)

    async def test_last_choice_stays_while_nobody_is_chosen(self):
        """Nobody is chosen while the log service is unavailable."""
        await self.tell_all()
        await self.gateways[1].forward()
        self.grant('one')
        self.group.granting = ''
        self.assertEqual(200, (await self.gateways[1].forward()).status)

    async def test_refill_gets_permits_of_another_gateway(self):
        await self.tell_all()
        self.grant('one')
        gateway = self.gateways[1]
        granted = []
        targets = [gateway.find('one'), gateway.find('two')]
        gateway.permits.refill('s', targets, lambda: granted.append(1))
        await gateway.permits._calls['s']
        now = self.now
        self.assertEqual([1], granted)
        self.assertEqual(
            [True, False], [target.may_send(now) for target in targets]
        )
        targets[0].use_permit()
        self.assertFalse(targets[0].may_send(now))
