"""Tests that a gateway denies nothing by a configuration that may be outdated.

A status of 4xx is final to callers. A gateway whose reads of the operators'
topic are lost can't tell whether a newer configuration allows a request; what
it knows it goes on serving.
"""

import msgspec

from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.process import accounts_test
from auburnroad_standins import plain_adapter

TOPIC = plain_adapter.PlainAdapter.operator_topic
ACCOUNTS = accounts_test.ACCOUNTS
ADDED = accounts_test.build_route(
    'added',
    configuration.RouteKind.IDEMPOTENT,
    target_latency_ms=accounts_test.SLOW_MS,
)
ONCE = accounts_test.build_route(
    'once',
    configuration.RouteKind.ONCE,
    target_latency_ms=accounts_test.SLOW_MS,
)
SMALL_BYTES = 1000


class StaleConfigurationTest(accounts_test.AccountsTestCase):
    """The reads of the operators' topic are lost, for good or for a while."""

    async def start_outdated(self, accounts=None, **fields):
        """Start a gateway, and lose its reads from a long while ago on."""
        self.publish(accounts, (*accounts_test.ROUTES, ONCE), **fields)
        subject = await self.start()
        await subject._tails.operators.wait_until_loaded()
        self.log.lost_topics.add(TOPIC)
        subject._tails.operators.complete_at = float('-inf')
        return subject

    async def assert_refused(self, subject, target, body=b'', **headers):
        """Assert that callers are told to come again."""
        response = await self.send(subject, target, body, **headers)
        self.assertEqual(503, response.status)
        self.assertIn('retry-after', response.headers)

    # Guards against 404 for a route that has just been added (CONFIG).
    async def test_unknown_route_is_refused_and_not_denied(self):
        subject = await self.start_outdated()
        await self.assert_refused(subject, '/added/x')
        self.publish(None, (*accounts_test.ROUTES, ADDED))
        await self.assert_refused(subject, '/added/x')
        self.log.lost_topics.clear()
        response = await self.send(subject, '/added/x')
        self.assertEqual(200, response.status)
        response = await self.send(subject, '/never/x')
        self.assertEqual(404, response.status)

    # Guards against 404 by a gateway that knows a route's removal only.
    async def test_removed_route_that_came_back_is_not_denied(self):
        subject = await self.start_outdated()
        self.publish(None, accounts_test.ROUTES[1:])
        self.publish(None, accounts_test.ROUTES)
        self.assertEqual(200, (await self.send(subject, '/q/x')).status)
        self.log.lost_topics.clear()
        self.publish(None, accounts_test.ROUTES[1:])
        await self.wait_for_revision(subject)
        self.log.lost_topics.add(TOPIC)
        subject._tails.operators.complete_at = float('-inf')
        await self.assert_refused(subject, '/q/x')

    # Guards against an outage of the log that stops what is known.
    async def test_known_routes_are_served_on(self):
        subject = await self.start_outdated()
        for target in ('/q/x', '/public/x', '/stream/x'):
            response = await self.send(subject, target)
            self.assertEqual(200, response.status)
        response = await self.submit(subject)
        self.assertEqual(202, response.status)

    # Guards against 401 on a route that has just become public.
    async def test_request_without_a_key_is_refused_and_not_denied(self):
        subject = await self.start_outdated(ACCOUNTS)
        await self.assert_refused(subject, '/q/x')
        self.publish(None)
        self.log.lost_topics.clear()
        self.assertEqual(200, (await self.send(subject, '/q/x')).status)

    # Guards against 413 by a limit that has just been raised.
    async def test_large_body_is_refused_and_not_denied(self):
        small = configuration.CallerLimits(body_bytes=SMALL_BYTES)
        subject = await self.start_outdated(limits=small)
        body = bytes(2 * SMALL_BYTES)
        await self.assert_refused(subject, '/q/x', body)
        self.log.lost_topics.clear()
        response = await self.send(subject, '/q/x', body)
        self.assertEqual(413, response.status)
        self.log.lost_topics.add(TOPIC)
        subject._tails.operators.complete_at = float('-inf')
        self.publish(None)
        self.log.lost_topics.clear()
        response = await self.send(subject, '/q/x', body)
        self.assertEqual(200, response.status)

    # Guards against 431 by a limit that has just been raised.
    async def test_large_head_is_refused_and_not_denied(self):
        small = configuration.CallerLimits(header_bytes=SMALL_BYTES)
        subject = await self.start_outdated(limits=small)
        padding = 'x' * 2 * SMALL_BYTES
        await self.assert_refused(subject, '/q/x', padding=padding)
        self.publish(None)
        self.log.lost_topics.clear()
        response = await self.send(subject, '/q/x', padding=padding)
        self.assertEqual(200, response.status)

    # Guards against 400 for a request whose route took batches before.
    async def test_what_is_no_batch_is_refused_and_not_denied(self):
        subject = await self.start_outdated()
        await self.assert_refused(subject, '/p/', b'no batch')
        self.log.lost_topics.clear()
        response = await self.send(subject, '/p/', b'no batch')
        self.assertEqual(400, response.status)

    # Guards against 400 for reward calls that may run again by now.
    async def test_reward_calls_that_run_once_are_not_denied(self):
        subject = await self.start_outdated()
        submission = fold_test.build_submission('b')
        reward = call.RewardCall('rw', 'h', '/once/x', b'')
        submission = msgspec.structs.replace(
            submission,
            path='/p/',
            items=[
                msgspec.structs.replace(item, reward=reward)
                for item in submission.items
            ],
        )
        body = msgspec.msgpack.encode(submission)
        await self.assert_refused(subject, '/p/', body)
        self.log.lost_topics.clear()
        response = await self.send(subject, '/p/', body)
        self.assertEqual(400, response.status)

    # Guards against 404 by a gateway that has read a snapshot and no more.
    async def test_gateway_that_has_just_started_denies_nothing_yet(self):
        self.publish(None)
        self.log.lost_topics.add(TOPIC)
        subject = await self.start()
        await self.wait_for_revision(subject)
        await self.assert_refused(subject, '/added/x')
        self.assertEqual(200, (await self.send(subject, '/q/x')).status)
