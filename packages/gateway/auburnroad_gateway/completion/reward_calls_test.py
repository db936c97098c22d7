"""Tests that a reward call is repeated until its service returns a score.

Guards against a score that is given up while its service is full, slow or
without a route, and against a call that is repeated for ever.
"""

import asyncio
import unittest
from unittest import mock

from auburnroad_core.http import client
from auburnroad_gateway.completion import reward_calls
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.log import service
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_standins import crash_watches
from auburnroad_standins import permit_group
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

REWARD = call.RewardCall('k', 'h', '/r/1', b'text?')
MAX_FAILURES = 3
TIMEOUT_SECONDS = 10


class RewardCallerTest(unittest.IsolatedAsyncioTestCase):
    """Two replicas of the reward service, with two slots each."""

    def setUp(self):
        self.enterContext(
            mock.patch.object(reward_calls, 'RETRY_MIN_SECONDS', 0.001)
        )
        adapter = plain_adapter.PlainAdapter()
        self.client = scripted_replicas.ScriptedClient()
        self.replicas = directory.Directory(adapter)
        for name in ('one', 'two'):
            value = (
                '{"id":"%s","service":"s","address":"%s:1",'
                '"failure_domain":"a","slots":2,"state":"ready"}'
            ) % (name, name)
            self.replicas.apply(service.KeyedRecord(name, value.encode(), 0))
            self.client.handle(f'{name}:1', self.answer)
        self.answers = []
        self.holder = holder.ConfigurationHolder(adapter)
        self.put_route()
        self.subject = reward_calls.RewardCaller(
            adapter,
            requests.Forwarder(
                adapter,
                self.client,
                self.replicas,
                'a',
                permit_group.PermitGroup('own').permits['own'],
                crash_watches.build_crash_watch(),
            ),
            self.holder,
            self.replicas,
        )

    def put_route(self):
        route = configuration.Route(
            'rewards',
            'h',
            '/r/',
            configuration.RouteKind.IDEMPOTENT,
            (configuration.Backend('s'),),
            max_attempts=2,
        )
        self.holder.current = configuration.Configuration(1, (route,), {})

    async def answer(self, request):
        if self.answers:
            answer = self.answers.pop(0)
            if isinstance(answer, Exception):
                raise answer
            return answer
        return scripted_replicas.answer(200, b'', signed='mark')

    async def test_call_waits_for_a_permit_of_a_limited_replica(self):
        for target in self.replicas.list_all('s'):
            target.note_rate_limit(0.001)
        waiting = asyncio.create_task(self.fetch())
        await asyncio.sleep(0.01)
        self.assertEqual([], self.client.requests)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    async def fetch(self):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.subject.fetch_score(REWARD, 0, MAX_FAILURES)

    async def test_signature_of_the_answer_is_the_score(self):
        self.assertEqual('mark', await self.fetch())
        ((_, sent),) = self.client.requests
        self.assertEqual(
            ('POST', '/r/1', b'text?', 'k'),
            (sent.method, sent.target, sent.body, sent.headers['id']),
        )
        self.assertLessEqual(
            int(sent.headers['patience']), reward_calls.CALL_TIMEOUT_MS
        )

    async def test_refused_and_broken_calls_are_repeated(self):
        self.answers = [
            scripted_replicas.refuse(),
            scripted_replicas.refuse(),
            client.BrokenError('reset'),
            client.BrokenError('reset'),
            scripted_replicas.answer(404, b''),
            scripted_replicas.answer(502, b''),
        ]
        self.assertEqual('mark', await self.fetch())

    async def test_unsigned_success_is_no_score(self):
        self.answers = [
            scripted_replicas.Reply(200, {}, scripted_replicas.iterate([b'']))
        ]
        self.assertEqual('mark', await self.fetch())

    async def test_call_fails_after_the_allowed_answers_with_500(self):
        self.answers = [scripted_replicas.answer(500, b'') for _ in range(20)]
        with self.assertRaises(reward_calls.RewardFailedError):
            await self.fetch()
        self.assertGreaterEqual(len(self.client.requests), MAX_FAILURES)
        self.assertLess(len(self.client.requests), 3 * MAX_FAILURES)

    async def test_call_waits_for_its_route(self):
        current, self.holder.current = self.holder.current, None
        waiting = asyncio.create_task(self.fetch())
        await asyncio.sleep(0.01)
        self.assertEqual([], self.client.requests)
        self.holder.current = current
        self.assertEqual('mark', await waiting)

    async def test_cancelled_calls_leave_the_limit_as_it_is(self):
        """A trainer that ends its step says nothing about the service."""
        reached = asyncio.Event()

        async def hang(request):
            reached.set()
            await asyncio.Event().wait()

        for name in ('one', 'two'):
            self.client.handle(f'{name}:1', hang)
        waiting = asyncio.create_task(self.fetch())
        await reached.wait()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.client.requests.clear()
        calls = [asyncio.create_task(self.fetch()) for _ in range(4)]
        await asyncio.sleep(0.01)
        self.assertEqual(2, len(self.client.requests))
        for task in calls:
            task.cancel()

    async def test_burst_of_calls_uses_a_share_of_the_slots(self):
        """Skiers' requests share the replicas with the end of a group."""
        release = asyncio.Event()

        async def hold(request):
            await release.wait()
            return scripted_replicas.answer(200, b'', signed='mark')

        for name in ('one', 'two'):
            self.client.handle(f'{name}:1', hold)
        calls = [asyncio.create_task(self.fetch()) for _ in range(12)]
        await asyncio.sleep(0.01)
        self.assertEqual(2, len(self.client.requests))
        self.assertEqual(1, self.client.count('one:1'))
        release.set()
        self.assertEqual(['mark'] * 12, await asyncio.gather(*calls))
