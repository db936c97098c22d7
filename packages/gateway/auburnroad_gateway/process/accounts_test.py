"""Tests of gateways whose configuration has accounts, on loopback.

They guard against a request that runs without a valid key, a replica that gets
a key or the name of a wrong account.
"""

import asyncio
import json
import unittest

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.model import configuration
from auburnroad_gateway.process import gateway
from auburnroad_gateway.process import gateway_test
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

TIMEOUT_SECONDS = gateway_test.TIMEOUT_SECONDS
# Long enough that no hedged attempt starts on a busy machine unless a test
# waits for it.
SLOW_MS = 60000
ACCOUNTS = {'a': ['secret-a1', 'secret-a2'], 'b': ['secret-b']}


def build_route(name, kind, **fields):
    return configuration.Route(
        name,
        'h',
        f'/{name}/',
        kind,
        (configuration.Backend('s'),),
        timeout_ms=10000,
        max_attempts=3,
        **fields,
    )


ROUTES = (
    build_route(
        'q', configuration.RouteKind.IDEMPOTENT, target_latency_ms=SLOW_MS
    ),
    build_route(
        'fast', configuration.RouteKind.IDEMPOTENT, target_latency_ms=10
    ),
    build_route(
        'public',
        configuration.RouteKind.IDEMPOTENT,
        public=True,
        target_latency_ms=SLOW_MS,
    ),
    build_route('stream', configuration.RouteKind.STREAM, resumable=True),
    build_route('p', configuration.RouteKind.BATCH),
    build_route('pp', configuration.RouteKind.BATCH, public=True),
)


class AccountsTestCase(unittest.IsolatedAsyncioTestCase):
    """Gateways that share a log and two replicas.

    Attributes:
      seen: Headers of all attempts at replicas.
      failures: Number of next attempts that fail.
    """

    async def asyncSetUp(self):
        self.log = partition_log.PartitionLog()
        self.seen = []
        self.failures = 0
        self.revision = 0
        self.client = client.HttpClient()
        self.addCleanup(self.client.close)
        for name in ('r1', 'r2'):
            replica = server.HttpServer(self.answer)
            host, port = await replica.start('127.0.0.1', 0)
            self.addAsyncCleanup(replica.close)
            entry = {
                'id': name,
                'service': 's',
                'address': f'{host}:{port}',
                'failure_domain': 'a',
                'slots': 4,
                'state': 'ready',
                'versions': {'m': 1},
            }
            self.log.put(
                plain_adapter.PlainAdapter.replica_topic,
                name,
                json.dumps(entry).encode(),
            )

    def publish(self, accounts, routes=ROUTES, **fields):
        """Publish a revision; a dictionary gives the keys of the accounts."""
        self.revision += 1
        if accounts is not None:
            accounts = tuple(
                configuration.Account(name, tuple(keys))
                for name, keys in accounts.items()
            )
        new = configuration.Configuration(
            self.revision,
            routes,
            {'s': configuration.Service('s', models=('m',))},
            accounts=accounts,
            **fields,
        )
        self.log.put(
            plain_adapter.PlainAdapter.operator_topic,
            'configuration',
            msgspec.json.encode(new),
        )

    async def start(self, name='one', **bounds):
        settings = gateway_test.build_settings(name)
        settings = msgspec.structs.replace(
            settings, bounds=msgspec.structs.replace(settings.bounds, **bounds)
        )
        subject = gateway.Gateway(settings, gateway_test.Adapter(self.log))
        await subject.start()
        self.addAsyncCleanup(subject.close)
        return subject

    async def wait_for_revision(self, subject):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while (
                subject._configuration.current is None
                or subject._configuration.current.revision < self.revision
            ):
                await asyncio.sleep(0.01)

    async def answer(self, request):
        self.seen.append(request.headers)
        headers = {'signed': '1', 'id': request.headers.get('id', '')}
        is_failing = self.failures > 0
        self.failures -= is_failing
        if request.path.startswith(('/p', '/stream/')):
            after = int(request.headers.get('after', '-1'))
            numbers = range(after + 1, after + 2 if is_failing else 4)
            return messages.Response(
                200, headers, chunks=iterate_events(numbers, is_failing)
            )
        if is_failing and request.path.startswith('/fast/'):
            await asyncio.sleep(1)
        return messages.Response(500 if is_failing else 200, headers, b'ok')

    async def send(
        self, subject, target, body=b'', endpoint='callers', **headers
    ):
        request = messages.Request(
            'POST', target, {'host': 'h', 'id': 'q', **headers}, body
        )
        return await self.client.fetch(
            subject.addresses[endpoint], request, TIMEOUT_SECONDS
        )

    async def submit(self, subject, path='/p/', batch_id='b', **headers):
        submission = fold_test.build_submission(batch_id)
        items = [
            msgspec.structs.replace(
                item, headers={'key': 'secret-b', 'account': 'other'}
            )
            for item in submission.items
        ]
        submission = msgspec.structs.replace(
            submission, path=path, items=items
        )
        return await self.send(
            subject, path, msgspec.msgpack.encode(submission), **headers
        )

    async def read_all(self, subject, **headers):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                page = await self.send(
                    subject, '/', batch='b', verb='read', **headers
                )
                _, _, results = json.loads(page.body)
                if len(results) == 3:
                    return results

    def list_identities(self):
        """List the key and the account that each attempt carried."""
        return [(seen.get('key'), seen.get('account')) for seen in self.seen]


async def iterate_events(numbers, is_failing):
    for number in numbers:
        yield scripted_replicas.build_event(number)
    if is_failing:
        raise ConnectionError('fault: the stream breaks off')


class AccessTest(AccountsTestCase):
    """Requests with known, unknown and missing keys."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.publish(ACCOUNTS)
        self.subject = await self.start()

    async def test_replica_gets_the_account_in_place_of_the_key(self):
        """The caller's own name of an account is not believed."""
        for key, name in (
            ('secret-a1', 'a'),
            ('secret-a2', 'a'),
            ('secret-b', 'b'),
        ):
            self.seen.clear()
            response = await self.send(
                self.subject, '/q/x', key=key, account='other'
            )
            self.assertEqual(200, response.status)
            self.assertEqual([(None, name)], self.list_identities())

    async def test_request_without_a_known_key_is_not_run(self):
        for headers in ({}, {'key': 'never'}, {'account': 'a'}):
            for path in ('/q/x', '/stream/x', '/p/'):
                response = await self.send(self.subject, path, **headers)
                self.assertEqual(401, response.status)
        self.assertEqual([], self.seen)

    async def test_unknown_route_is_404_without_a_key(self):
        response = await self.send(self.subject, '/no/x')
        self.assertEqual(404, response.status)

    async def test_public_route_is_told_known_accounts_only(self):
        for headers, name in (
            ({'key': 'secret-b', 'account': 'a'}, 'b'),
            ({'key': 'never', 'account': 'a'}, None),
            ({'account': 'a'}, None),
        ):
            self.seen.clear()
            response = await self.send(self.subject, '/public/x', **headers)
            self.assertEqual(200, response.status)
            self.assertEqual([(None, name)], self.list_identities())

    async def test_retried_attempt_carries_the_account(self):
        self.failures = 1
        response = await self.send(self.subject, '/q/x', key='secret-b')
        self.assertEqual(200, response.status)
        self.assertEqual([(None, 'b')] * 2, self.list_identities())

    async def test_hedged_attempt_carries_the_account(self):
        self.failures = 1
        response = await self.send(self.subject, '/fast/x', key='secret-b')
        self.assertEqual(200, response.status)
        self.assertEqual({(None, 'b')}, set(self.list_identities()))
        self.assertGreater(len(self.seen), 1)

    async def test_resumed_stream_carries_the_account(self):
        self.failures = 1
        response = await self.send(self.subject, '/stream/x', key='secret-b')
        self.assertEqual(200, response.status)
        self.assertEqual(4, response.body.count(b'id:'))
        self.assertEqual([(None, 'b')] * 2, self.list_identities())

    async def test_items_carry_the_account_and_not_their_own_headers(self):
        response = await self.submit(self.subject, key='secret-a1')
        self.assertEqual(202, response.status)
        await self.wait_for_items()
        self.assertEqual({(None, 'a')}, set(self.list_identities()))

    async def test_items_of_a_public_route_carry_no_account(self):
        self.assertEqual(202, (await self.submit(self.subject, '/pp/')).status)
        await self.wait_for_items()
        self.assertEqual({(None, None)}, set(self.list_identities()))

    async def wait_for_items(self):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.seen) < 3:
                await asyncio.sleep(0.01)

    async def test_removed_key_is_refused_on_an_open_connection(self):
        host, _, port = self.subject.addresses['callers'].rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        statuses = []
        for accounts in (ACCOUNTS, {'a': ['secret-a1']}):
            self.publish(accounts)
            await self.wait_for_revision(self.subject)
            writer.write(
                b'POST /q/x HTTP/1.1\r\nhost: h\r\nid: q\r\n'
                b'key: secret-b\r\ncontent-length: 0\r\n\r\n'
            )
            async with asyncio.timeout(TIMEOUT_SECONDS):
                head = await reader.readuntil(b'\r\n\r\n')
                _, _, rest = head.lower().partition(b'content-length: ')
                await reader.readexactly(int(rest.split()[0]))
            statuses.append(int(head.split()[1]))
        writer.close()
        self.assertEqual([200, 401], statuses)


class OutageTest(AccountsTestCase):
    """The log service goes away while known and unknown keys come."""

    async def start_outage(self, **bounds):
        self.publish(ACCOUNTS)
        subject = await self.start(**bounds)
        await self.wait_for_revision(subject)
        await self.submit(subject, key='secret-a1')
        await self.read_all(subject, key='secret-a1')
        self.log.down = True
        subject._tails.operators.complete_at = float('-inf')
        return subject

    async def list_statuses(self, subject, path='/q/x', **headers):
        responses = await asyncio.gather(
            *(
                self.send(subject, path, **key, **headers)
                for key in ({'key': 'secret-a1'}, {'key': 'never'}, {})
            )
        )
        for response in responses:
            if response.status == 503:
                self.assertEqual('0.50', response.headers['retry-after'])
        return [response.status for response in responses]

    async def test_known_keys_are_accepted_and_unknown_ones_wait(self):
        subject = await self.start_outage()
        self.assertEqual([200, 503, 503], await self.list_statuses(subject))
        self.assertEqual(
            [200, 200, 200], await self.list_statuses(subject, '/public/x')
        )
        self.assertEqual(
            [200, 503, 503],
            await self.list_statuses(subject, '/', batch='b', verb='read'),
        )

    async def test_strict_gateway_refuses_all_keys_until_the_log_is_back(self):
        subject = await self.start_outage(
            strict_revocation=True, revocation_ms=5000
        )
        self.assertEqual([503, 503, 503], await self.list_statuses(subject))
        self.assertEqual(
            [503, 200, 200], await self.list_statuses(subject, '/public/x')
        )
        self.log.down = False
        self.assertEqual([200, 401, 401], await self.list_statuses(subject))

    async def test_changed_strictness_takes_effect_without_a_restart(self):
        subject = await self.start_outage()
        bounds = msgspec.structs.replace(
            subject._settings.bounds, strict_revocation=True
        )
        subject.apply_settings(
            msgspec.structs.replace(subject._settings, bounds=bounds)
        )
        self.assertEqual([503, 503, 503], await self.list_statuses(subject))


class NoAccountsTest(AccountsTestCase):
    """A deployment without accounts."""

    async def test_headers_pass_and_no_key_is_needed(self):
        self.publish(None)
        subject = await self.start()
        for path in ('/q/x', '/public/x', '/stream/x'):
            self.seen.clear()
            sent = {'key': 'k', 'account': 'x'}
            response = await self.send(subject, path, **sent)
            self.assertEqual(200, response.status)
            self.assertEqual([('k', 'x')], self.list_identities())
            self.assertEqual(200, (await self.send(subject, path)).status)

    async def test_headers_of_items_pass(self):
        self.publish(None)
        subject = await self.start()
        self.assertEqual(202, (await self.submit(subject)).status)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.seen) < 3:
                await asyncio.sleep(0.01)
        self.assertEqual({('secret-b', 'other')}, set(self.list_identities()))
