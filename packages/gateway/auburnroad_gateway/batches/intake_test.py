"""Tests that accepted batches are in the log and refused ones are not."""

import asyncio
import unittest
from unittest import mock
import zlib

import msgspec

from auburnroad_core.http import messages
from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.batches import intake
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import settings
from auburnroad_standins import loop_clock
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter

# Longer than any pause of a test machine; tests that need it to expire move
# the clock of the loop.
APPEND_TIMEOUT_SECONDS = 60.0
TIMEOUT_SECONDS = 10
REWARD = call.RewardCall('k', 'h', '/r/1', b'text?')


def build_reward_route(kind):
    return configuration.Route(
        'rewards', 'h', '/r/', kind, (configuration.Backend('plain'),)
    )


class IntakeTest(unittest.IsolatedAsyncioTestCase):
    """One gateway to which the same batch is submitted."""

    gateways = 1
    reward_route = None

    async def asyncSetUp(self):
        self.log = partition_log.PartitionLog()
        self.journal = journal.Journal(
            self.log,
            'me',
            settings.LogLimits(call_bytes=4000),
            lambda: self.gateways,
        )
        self.subject = intake.Intake(
            plain_adapter.PlainAdapter(),
            self.journal,
            lambda route: 'owner',
            self.match_route,
        )
        self.tasks = [
            asyncio.create_task(work())
            for work in self.journal.list_background_tasks()
        ]
        patch = mock.patch.object(
            intake, 'APPEND_TIMEOUT_SECONDS', APPEND_TIMEOUT_SECONDS
        )
        self.enterContext(patch)
        self.clock = loop_clock.LoopClock()

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    async def submit(self, items=3, reward=None, account=None):
        submission = fold_test.build_submission(items=items)
        if reward is not None:
            first = msgspec.structs.replace(submission.items[0], reward=reward)
            submission = msgspec.structs.replace(
                submission, items=[first, *submission.items[1:]]
            )
        body = msgspec.msgpack.encode(submission)
        return await self.subject.submit(
            None, messages.Request('POST', '/p/', {}, body), account
        )

    async def submit_until_timeout(self):
        """Submit, and let the append time out after the log's first call."""
        submitted = asyncio.create_task(self.submit())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while 'append' not in self.log.calls:
                await asyncio.sleep(0.001)
        self.clock.advance(APPEND_TIMEOUT_SECONDS)
        return await submitted

    def match_route(self, host, path):
        return self.reward_route

    def list_batches(self):
        return self.log.list_records(
            records.TOPIC, records.find_partition('b')
        )

    async def test_accepted_batch_is_in_the_log(self):
        self.assertEqual(202, (await self.submit()).status)
        await self.journal.catch_up('b')
        self.assertEqual('owner', self.journal.fold.batches['b'].owner)

    async def test_repeated_submission_is_written_once(self):
        await self.submit()
        await self.journal.catch_up('b')
        self.assertEqual(202, (await self.submit()).status)
        self.assertEqual(1, len(self.list_batches()))

    async def test_id_of_another_accounts_batch_is_404(self):
        """An acknowledgement would tell that the batch exists."""
        self.assertEqual(202, (await self.submit(account='a')).status)
        self.assertEqual(202, (await self.submit(account='a')).status)
        for account in ('b', ''):
            response = await self.submit(account=account)
            self.assertEqual(404, response.status)
        self.assertEqual('a', self.journal.fold.batches['b'].account)

    async def test_account_that_submits_an_id_second_gets_404(self):
        """The first submission may be in the log, but not yet folded."""
        self.log.write(
            records.TOPIC,
            records.find_partition('b'),
            fold_test.encode_submission(account='a'),
        )
        self.assertEqual({}, self.journal.fold.batches)
        response = await self.submit(account='b')
        self.assertEqual(404, response.status)

    async def test_batch_without_an_account_is_acknowledged_to_all(self):
        for account in ('', 'a', None):
            response = await self.submit(account=account)
            self.assertEqual(202, response.status)

    async def test_record_of_an_older_version_has_no_account(self):
        """Batches in the log outlive the software that wrote them."""
        data = msgspec.msgpack.encode(fold_test.build_submission())
        older = msgspec.msgpack.encode(msgspec.msgpack.decode(data)[:-1])
        decoded = records.unpack_submission(zlib.compress(older))
        self.assertEqual(fold_test.build_submission(), decoded)

    async def test_refused_batch_is_never_written(self):
        self.log.down = True
        response = await self.submit_until_timeout()
        self.assertEqual(503, response.status)
        self.assertIn('retry-after', response.headers)
        self.log.down = False
        await self.journal.append('b', [b'later'], 10)
        self.assertEqual([b'later'], self.list_batches())

    async def test_unconfirmed_append_is_a_gateway_timeout(self):
        self.log.silent = True
        self.assertEqual(504, (await self.submit_until_timeout()).status)

    async def test_invalid_batch_is_a_bad_request(self):
        response = await self.subject.submit(
            None, messages.Request('POST', '/p/', {}, b'{')
        )
        self.assertEqual(400, response.status)

    async def test_reward_call_without_a_route_is_refused(self):
        """The route may be part of a configuration that is yet to be read."""
        response = await self.submit(reward=REWARD)
        self.assertEqual(503, response.status)
        self.assertEqual([], self.list_batches())

    async def test_reward_call_of_a_run_once_route_is_a_bad_request(self):
        self.reward_route = build_reward_route(configuration.RouteKind.ONCE)
        response = await self.submit(reward=REWARD)
        self.assertEqual(400, response.status)
        self.assertEqual([], self.list_batches())

    async def test_reward_body_can_be_read_by_any_gateway(self):
        self.reward_route = build_reward_route(
            configuration.RouteKind.IDEMPOTENT
        )
        self.assertEqual(202, (await self.submit(reward=REWARD)).status)
        other = journal.Journal(self.log, 'other', settings.LogLimits())
        await other.catch_up('b')
        state = other.fold.batches['b']
        await other.load(state)
        self.assertEqual(b'text?', state.submission.items[0].reward.body)
        self.assertIsNone(state.submission.items[1].reward)
        self.assertEqual(b'body', state.submission.items[2].body)

    async def test_bodies_can_be_read_by_any_gateway(self):
        await self.submit()
        other = journal.Journal(self.log, 'other', settings.LogLimits())
        await other.catch_up('b')
        bodies = await other.read_bodies(other.fold.batches['b'])
        self.assertEqual([b'body'] * 3, bodies)


class LargeDeploymentTest(IntakeTest):
    """The same tests with bodies that are stored separately.

    The number of gateways exceeds MAX_INLINE_GATEWAYS.
    """

    gateways = journal.MAX_INLINE_GATEWAYS + 1

    async def test_unconfirmed_append_is_a_gateway_timeout(self):
        """The outcome is unknown only once the bodies are in the log."""
        with mock.patch.object(
            journal.Journal, 'write_bodies', mock.AsyncMock(return_value=[])
        ):
            await super().test_unconfirmed_append_is_a_gateway_timeout()

    async def test_batch_with_unconfirmed_bodies_is_refused(self):
        self.log.silent = True
        self.assertEqual(503, (await self.submit_until_timeout()).status)
        self.log.silent = False
        await self.journal.append('b', [b'later'], 10)
        self.assertEqual([b'later'], self.list_batches())

    async def test_bodies_are_not_in_the_records_that_all_gateways_read(self):
        await self.submit()
        (record,) = map(records.decode, self.list_batches())
        stripped = records.unpack_submission(record.data)
        self.assertEqual({b''}, {item.body for item in stripped.items})
