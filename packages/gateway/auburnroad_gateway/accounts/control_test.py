"""Tests of the reads that precede a refusal, under load and in an outage.

A refusal with status 401 is final. One that is sent although the key has been
added, or sent because the log service is away, loses a caller for good.
"""

import asyncio
import unittest
from unittest import mock

import msgspec

from auburnroad_gateway.accounts import access
from auburnroad_gateway.accounts import access_test
from auburnroad_gateway.accounts import control
from auburnroad_gateway.accounts import registry
from auburnroad_gateway.accounts import registry_test
from auburnroad_gateway.configuration import currency
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.configuration import refusal_log
from auburnroad_gateway.log import tail
from auburnroad_gateway.model import call
from auburnroad_gateway.model import settings
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter

TOPIC = plain_adapter.PlainAdapter.operator_topic
# Longer than any pause of a test machine.
LONG_MS = 3_600_000
CONCURRENT_REQUESTS = 200
MANY_KEYS = 5000
REVISIONS = 50


def build_settings(**bounds):
    return settings.Settings(
        'one',
        '127.0.0.1',
        'a',
        '127.0.0.1:0',
        '127.0.0.1:0',
        0,
        0,
        'unused',
        bounds=settings.Bounds(**bounds),
    )


class Control(msgspec.Struct):
    """An access control with what it reads."""

    subject: control.AccessControl
    holder: holder.ConfigurationHolder
    tail: tail.KeyedTail


def build_control(log):
    """Build the access control of a gateway that reads only on demand."""
    configuration = holder.ConfigurationHolder(plain_adapter.PlainAdapter())
    operator_tail = tail.KeyedTail(log, TOPIC, configuration.apply, 0.0)
    # A read stays recent; tests that need an outdated one set complete_at.
    settings_in_force = build_settings(configuration_ms=2 * LONG_MS)
    current = currency.Currency(settings_in_force, operator_tail)
    return Control(
        control.AccessControl(
            settings_in_force,
            configuration,
            current,
            refusal_log.RefusalLog(configuration, current),
        ),
        configuration,
        operator_tail,
    )


class AccessControlTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that reads its operators' topic only on demand."""

    async def asyncSetUp(self):
        self.log = partition_log.PartitionLog()
        built = build_control(self.log)
        self.subject, self.holder = built.subject, built.holder
        self.tail = built.tail
        self.publish(1, {'a': ['known']})
        await self.tail.catch_up()

    def publish(self, revision, accounts, public=False):
        new = registry_test.build_configuration(
            accounts, revision, [access_test.build_route(public)]
        )
        self.log.put(TOPIC, 'configuration', msgspec.json.encode(new))

    def expire(self):
        self.tail.complete_at = float('-inf')

    async def check(self, key):
        """Check a key; return the status, or the name of the account."""
        head = call.CallHead('q', key=key)
        route, found = await self.subject.check('h', '/q/x', head)
        response = self.subject.build_response(route.name, head, found)
        if response is None:
            return found.account.name if found.account else 'none'
        return response.status

    async def test_key_that_was_just_added_is_accepted(self):
        self.expire()
        self.publish(2, {'a': ['known', 'new']})
        self.assertEqual('a', await self.check('new'))

    async def test_unknown_key_is_refused_after_a_read(self):
        self.expire()
        self.assertEqual(401, await self.check('new'))

    async def test_only_the_log_decides_on_unknown_keys(self):
        """The log service is away, and known and unknown keys come."""
        self.expire()
        self.log.down = True
        self.assertEqual('a', await self.check('known'))
        self.assertEqual(503, await self.check('new'))
        self.assertEqual(503, await self.check(None))
        self.log.down = False
        self.publish(2, {'a': ['known', 'new']})
        self.assertEqual('a', await self.check('new'))
        self.assertEqual(401, await self.check(None))

    async def test_silent_log_service_delays_a_refusal_only_briefly(self):
        self.expire()
        self.log.silent = True
        with mock.patch.object(currency, 'READ_TIMEOUT_SECONDS', 0.01):
            async with asyncio.timeout(10):
                self.assertEqual(503, await self.check('new'))

    async def test_public_route_serves_all_keys_in_an_outage(self):
        self.publish(2, {'a': ['known']}, public=True)
        await self.tail.catch_up()
        self.expire()
        self.log.down = True
        self.assertEqual('a', await self.check('known'))
        self.assertEqual('none', await self.check('new'))
        self.assertEqual('none', await self.check(None))

    async def test_new_revision_may_make_the_route_public(self):
        self.expire()
        self.publish(2, {'a': ['known']}, public=True)
        self.assertEqual('none', await self.check('new'))

    async def test_concurrent_requests_with_unknown_keys_share_a_read(self):
        """Callers with wrong keys must not use up the log's read rate."""
        self.expire()
        self.log.calls.clear()
        statuses = await asyncio.gather(
            *(self.check(f'x{n}') for n in range(CONCURRENT_REQUESTS))
        )
        self.assertEqual({401}, set(statuses))
        self.assertEqual(1, self.log.calls.count('read'))

    async def test_cancelled_request_does_not_end_the_read_of_others(self):
        self.expire()
        first = asyncio.create_task(self.check('x1'))
        second = asyncio.create_task(self.check('x2'))
        await asyncio.sleep(0)
        first.cancel()
        self.assertEqual(401, await second)

    async def test_strict_gateway_without_reads_refuses_known_keys(self):
        """The key may have been removed during the outage."""
        self.subject.settings = build_settings(
            strict_revocation=True, revocation_ms=LONG_MS
        )
        self.log.down = True
        self.assertEqual('a', await self.check('known'))
        self.expire()
        self.assertEqual(503, await self.check('known'))
        self.assertEqual(503, await self.check(None))
        self.log.down = False
        self.assertEqual(401, await self.check(None))
        self.assertEqual('a', await self.check('known'))

    async def test_removed_key_is_refused_and_never_accepted_again(self):
        self.publish(2, {'a': ['other']})
        await self.tail.catch_up()
        self.assertEqual(401, await self.check('known'))
        self.assertEqual('a', await self.check('other'))

    async def test_revision_with_a_key_of_two_accounts_has_no_effect(self):
        self.publish(2, {'a': ['known'], 'b': ['secret', 'known']})
        with mock.patch.object(holder.events, 'write', autospec=True) as write:
            await self.tail.catch_up()
        (written,) = write.call_args_list
        self.assertEqual('operator_record_invalid', written.args[0])
        self.assertNotIn('known', str(written))
        self.assertEqual(1, self.holder.current.revision)
        self.assertEqual('a', await self.check('known'))
        self.publish(3, {'b': ['known']})
        await self.tail.catch_up()
        self.assertEqual('b', await self.check('known'))

    async def test_storm_of_revisions_never_refuses_a_key_in_force(self):
        """Each revision adds a key and removes one among 5,000."""
        stable = {f'a{n}': [f'k{n}'] for n in range(MANY_KEYS)}
        answers = []

        async def send(number):
            answers.append((f'a{number}', await self.check(f'k{number}')))

        self.publish(2, stable)
        await self.tail.catch_up()
        for revision in range(3, REVISIONS + 3):
            self.expire()
            changing = {**stable, 'b': [f'new{revision}']}
            self.publish(revision, changing)
            new, *_ = await asyncio.gather(
                self.check(f'new{revision}'),
                *(send(n) for n in range(revision, MANY_KEYS, 500)),
            )
            old = await self.check(f'new{revision - 1}')
            self.assertEqual(('b', 401), (new, old))
        self.assertEqual(REVISIONS + 2, self.holder.current.revision)
        wrong = [entry for entry in answers if entry[0] != entry[1]]
        self.assertEqual([], wrong)
        self.assertEqual(REVISIONS * 10, len(answers))

    async def test_event_names_the_fingerprint_and_not_the_key(self):
        with mock.patch.object(
            refusal_log.events, 'write', autospec=True
        ) as write:
            self.assertEqual(401, await self.check('secret-key'))
        (written,) = write.call_args_list
        self.assertEqual('key_refused', written.args[0])
        self.assertNotIn('secret-key', str(written))
        self.assertEqual(
            registry.fingerprint('secret-key'), written.kwargs['fingerprint']
        )
        self.assertEqual(('r', 1), _pick(written, 'route', 'revision'))

    async def test_many_refusals_write_few_lines(self):
        """Callers with wrong keys used up the lines of all other events."""
        with mock.patch.object(
            refusal_log.events, 'write', autospec=True
        ) as write:
            for _ in range(20):
                await self.check('x')
        self.assertLess(len(write.call_args_list), 20)

    async def test_refusals_are_counted_by_outcome(self):
        counter = mock.Mock()
        with mock.patch.object(control.metrics, 'ACCESS', counter):
            for key in ('known', 'x', None):
                await self.check(key)
        outcomes = [entry.args[0] for entry in counter.labels.call_args_list]
        self.assertEqual(['account', 'refused', 'missing'], outcomes)

    async def test_decision_on_a_batch_knows_no_public_route(self):
        self.publish(2, {'a': ['known']}, public=True)
        await self.tail.catch_up()
        found = [
            (await self.subject.check_batch(call.CallHead('q', key=key)))
            for key in ('known', 'x', None)
        ]
        self.assertEqual(
            [access.Decision.ALLOWED] + [access.Decision.REFUSED] * 2,
            [entry.decision for entry in found],
        )


def _pick(written, *names):
    return tuple(written.kwargs[name] for name in names)
