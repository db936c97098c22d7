"""Tests of running batches under load and faults, without a network.

Covered: a long run on a slow replica while a fast one is idle; a replica that
stops sending events, drains or is about to load weights; an owner that dies
with partial texts; more items than slots.
"""

import asyncio
import time
import unittest
from unittest import mock

import msgspec

from auburnroad_core.http import client
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import moves
from auburnroad_gateway.batches import ordering
from auburnroad_gateway.batches import owner
from auburnroad_gateway.batches import records
from auburnroad_gateway.completion import reward_calls
from auburnroad_gateway.configuration import currency
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import settings
from auburnroad_gateway.weights import duty
from auburnroad_standins import crash_watches
from auburnroad_standins import partition_log
from auburnroad_standins import permit_group
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

TICK_SECONDS = 0.01
STALL_SECONDS = 0.1
# Longer than any pause of a test machine.
LONG_STALL_SECONDS = 60.0
EVENTS = 5
BATCH_ID = 'b'
NEXT_ID = 'next'
BODY = b'prompt'
PARTITION = records.find_partition(BATCH_ID)
TIMEOUT_SECONDS = 10
LEASE_MS = 3000


class Replica:
    """A scripted engine that resumes after the requested event.

    Attributes:
      pause_seconds: Time between two events in seconds.
      version: Weight version that the engine reports.
      stop_after: Number of events of an attempt after which the connection
        breaks; None for a connection that does not break.
      rate_limit: Rate limit that the engine names; None for no limit.
      prefix: Beginning of the data of each event.
    """

    def __init__(self, pause_seconds=0.0, version=1, prefix=''):
        self.pause_seconds = pause_seconds
        self.version = version
        self.stop_after = None
        self.rate_limit = None
        self.prefix = prefix

    async def handle(self, request):
        first = int(request.headers.get('after', -1)) + 1
        parts = [
            scripted_replicas.build_event(number, f'{self.prefix}{number}')
            for number in range(first, EVENTS)
        ]
        if self.stop_after is not None and len(parts) > self.stop_after:
            parts = [
                *parts[: self.stop_after],
                client.BrokenError('reset'),
            ]
        limited = {}
        if self.rate_limit is not None:
            limited['limit'] = str(self.rate_limit)
        return scripted_replicas.Reply(
            200,
            {
                'signed': '1',
                'id': request.headers['id'],
                'version': str(self.version),
                **limited,
            },
            scripted_replicas.iterate(parts, self.pause_seconds),
        )


def build_submission(items=1, minimum_version=1, hints=None):
    hints = hints or [0] * items
    return batch.Submission(
        BATCH_ID,
        'h',
        '/p/',
        1,
        'm',
        minimum_version,
        1,
        [
            batch.Item(f'i{n}', '/p/x', {}, BODY, 10, f'g{n}', hints[n])
            for n in range(items)
        ],
    )


class OwnerTestCase(unittest.IsolatedAsyncioTestCase):
    """One gateway that owns a batch; replicas have one slot each."""

    gateways = 1

    async def asyncSetUp(self):
        for module, name, value in (
            (owner, 'TICK_SECONDS', TICK_SECONDS),
            (moves, 'MIN_STAY_SECONDS', TICK_SECONDS),
        ):
            self.enterContext(mock.patch.object(module, name, value))
        self.set_stall_limit(LONG_STALL_SECONDS)
        self.log = partition_log.PartitionLog()
        self.client = scripted_replicas.ScriptedClient()
        self.adapter = plain_adapter.PlainAdapter()
        self.replicas = directory.Directory(self.adapter)
        self.members = membership.Membership(
            membership_test.build_settings(), None
        )
        self.journal = journal.Journal(
            self.log,
            self.members.incarnation,
            settings.LogLimits(),
            lambda: self.gateways,
        )
        self.holder = holder.ConfigurationHolder(self.adapter)
        self.holder.current = configuration.Configuration(
            1,
            (
                configuration.Route(
                    'r',
                    'h',
                    '/p/',
                    configuration.RouteKind.BATCH,
                    (configuration.Backend('s'),),
                    max_attempts=2,
                ),
            ),
            {'s': configuration.Service('s', models=('m',))},
        )
        self.operator_tail = tail.KeyedTail(
            self.log, 'operators', self.holder.apply, 0.0
        )
        self.operator_tail.complete_at = float('inf')
        self.permits = permit_group.PermitGroup('own').permits['own']
        self.subject = owner.Owner(
            membership_test.build_settings(),
            self.adapter,
            self.client,
            self.journal,
            self.members,
            duty.Duties(self.members, self.log, LEASE_MS),
            self.holder,
            currency.Currency(
                membership_test.build_settings(), self.operator_tail
            ),
            self.replicas,
            reward_calls.RewardCaller(
                self.adapter,
                requests.Forwarder(
                    self.adapter,
                    self.client,
                    self.replicas,
                    'a',
                    self.permits,
                    crash_watches.build_crash_watch(),
                ),
                self.holder,
                self.replicas,
            ),
            self.permits,
        )
        self.tasks = [
            asyncio.create_task(work())
            for work in (
                *self.journal.list_background_tasks(),
                self.subject.run,
            )
        ]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    def set_stall_limit(self, seconds):
        for name in ('STALL_SECONDS', 'FIRST_EVENT_TIMEOUT_SECONDS'):
            self.enterContext(mock.patch.object(moves, name, seconds))

    def register_replica(self, name, state='ready', version=1, software=''):
        value = (
            '{"id":"%s","service":"s","address":"%s:1","failure_domain":"a",'
            '"slots":1,"state":"%s","versions":{"m":%d},'
            '"software_version":"%s"}'
        ) % (name, name, state, version, software)
        self.replicas.apply(service.KeyedRecord(name, value.encode(), 0))

    def add_replica(self, name, software='', **fields):
        engine = Replica(**fields)
        self.client.handle(f'{name}:1', engine.handle)
        self.register_replica(name, version=engine.version, software=software)
        return engine

    def submit(self, submission=None, incarnation=None):
        encoded = records.build_submission_records(
            submission or build_submission(),
            'a',
            incarnation or self.members.incarnation,
            time.time_ns() // 1_000_000,
            10**6,
        )
        self.log.write(records.TOPIC, PARTITION, encoded)

    async def wait(self, condition):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.001)

    async def wait_results(self, count=1):
        def has_results():
            state = self.journal.fold.batches.get(BATCH_ID)
            return state is not None and len(state.results) >= count

        await self.wait(has_results)
        return self.journal.fold.batches[BATCH_ID].results

    async def wait_texts(self, count=1):
        return [
            await self.journal.read_text(result)
            for result in await self.wait_results(count)
        ]

    def count_events(self):
        return sum(
            len(run.texts)
            for entry in self.subject._owned.values()
            for run in entry.runs.values()
        )

    def submit_next(self, submission):
        submission = msgspec.structs.replace(
            submission, batch_id=NEXT_ID, step=2
        )
        encoded = records.build_submission_records(
            submission,
            'a',
            self.members.incarnation,
            time.time_ns() // 1_000_000,
            10**6,
        )
        partition = records.find_partition(NEXT_ID)
        self.log.write(records.TOPIC, partition, encoded)

    async def wait_next_texts(self):
        def has_results():
            state = self.journal.fold.batches.get(NEXT_ID)
            return state is not None and state.results

        await self.wait(has_results)
        results = self.journal.fold.batches[NEXT_ID].results
        return [await self.journal.read_text(result) for result in results]


class OwnerTest(OwnerTestCase):
    """Runs under load and faults."""

    async def test_result_of_every_item_has_the_complete_text(self):
        self.add_replica('one')
        self.add_replica('two')
        self.submit(build_submission(5))
        texts = await self.wait_texts(5)
        self.assertEqual(['0\n1\n2\n3\n4'] * 5, texts)

    async def test_items_start_at_the_rate_that_a_replica_allows(self):
        """Runs of items reached a replica far above its limit."""
        engine = self.add_replica('one')
        engine.rate_limit = 0.001
        (target,) = self.replicas.list_all('s')
        target.note_rate_limit(engine.rate_limit)
        self.submit(build_submission(3))
        await self.wait(lambda: self.subject.waiting_count == 3)
        await self.wait(lambda: 'one' in self.permits._limiter._buckets)
        self.assertEqual([], self.client.requests)
        self.permits._limiter._buckets['one'].tokens = 1.0
        await self.wait_results(1)
        self.assertEqual(1, len(self.client.requests))

    async def test_broken_run_resumes_after_its_last_event(self):
        self.add_replica('one').stop_after = 2
        self.submit()
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_texts())
        resumed = [
            request.headers.get('after') for _, request in self.client.requests
        ]
        self.assertEqual([None, '1', '3'], resumed)

    async def test_silent_run_resumes_at_another_replica(self):
        self.set_stall_limit(STALL_SECONDS)
        self.add_replica('one', pause_seconds=60)
        self.submit()
        await self.wait(lambda: self.client.requests)
        self.add_replica('two')
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_texts())

    async def test_silent_run_is_detected_while_loop_is_woken_constantly(self):
        """Under load the loop is woken more often than the tick interval."""
        self.set_stall_limit(STALL_SECONDS)
        self.add_replica('one', pause_seconds=60)
        self.submit()
        await self.wait(lambda: self.client.requests)
        self.add_replica('two')

        async def keep_waking():
            while True:
                self.subject._wake.set()
                await asyncio.sleep(0)

        self.tasks.append(asyncio.create_task(keep_waking()))
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_texts())

    async def test_item_that_asks_for_other_weights_stops_no_other(self):
        """Its refusals kept the replica from all items."""
        replica = self.add_replica('one')

        async def answer(request):
            if 'wants-version' in request.headers:
                return scripted_replicas.answer(421, **{'not-run': '1'})
            return await replica.handle(request)

        self.client.handle('one:1', answer)
        submission = build_submission(3)
        submission.items[0].headers['wants-version'] = '7'
        self.submit(submission)
        await self.wait_results(2)
        refused = self.client.count('one:1') - 2
        self.assertLessEqual(refused, 3)

    async def test_item_runs_again_after_an_unexpected_error(self):
        """It kept its place at the replica and was never run again."""

        async def fail(request):
            raise OverflowError('what the replica sent')

        self.add_replica('one')
        self.client.handle('one:1', fail)
        self.submit()
        await self.wait(lambda: self.client.count('one:1'))
        self.add_replica('two')
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_texts())

    async def test_event_with_an_impossible_id_breaks_the_run(self):
        """The id has more digits than int() converts."""

        async def answer(request):
            headers = {'signed': '1', 'id': request.headers['id']}
            event = scripted_replicas.build_event('9' * 5000)
            return scripted_replicas.Reply(
                200, headers, scripted_replicas.iterate([event])
            )

        self.add_replica('one')
        self.client.handle('one:1', answer)
        self.submit()
        await self.wait(lambda: self.client.count('one:1'))
        self.add_replica('two')
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_texts())

    async def test_unreadable_batch_of_another_writer_stops_no_other(self):
        part = records.SubmissionPart('odd', 'a', 0, 1, 'gone', 1, b'x', 1)
        number = records.find_partition('odd')
        self.log.write(records.TOPIC, number, [records.encode(part)])
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.add_replica('one')
        self.submit()
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_texts())

    async def test_run_leaves_a_draining_replica(self):
        self.add_replica('one', pause_seconds=0.05)
        self.submit()
        await self.wait(lambda: self.client.requests)
        self.add_replica('two')
        self.register_replica('one', 'draining')
        await self.wait(lambda: self.client.count('two:1'))
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_texts())

    async def test_run_leaves_a_replica_about_to_load_weights(self):
        self.add_replica('one', pause_seconds=0.05)
        self.submit()
        await self.wait(lambda: self.client.requests)
        self.add_replica('two')
        self.replicas.list_ready('s')[0].vacating = True
        await self.wait(lambda: self.client.count('two:1'))

    async def test_replica_below_minimum_version_runs_nothing(self):
        self.add_replica('old', version=1)
        self.submit(build_submission(minimum_version=2))
        await self.wait(lambda: BATCH_ID in self.journal.fold.batches)
        self.add_replica('new', version=2)
        results = await self.wait_results()
        self.assertEqual([[2]], [entry.versions for entry in results])
        self.assertEqual(0, self.client.count('old:1'))

    async def test_response_of_older_weights_than_registered_is_rejected(self):
        engine = self.add_replica('one', version=2)
        engine.version = 1
        self.submit(build_submission(minimum_version=2))
        await self.wait(lambda: self.client.requests)
        engine.version = 2
        self.register_replica('one', version=1)
        self.register_replica('one', version=2)
        results = await self.wait_results()
        self.assertEqual([[2]], [entry.versions for entry in results])

    async def test_item_is_terminated_after_max_attempts(self):
        async def fail(request):
            return scripted_replicas.answer(500, b'', id='i0')

        self.client.handle('one:1', fail)
        self.register_replica('one')
        self.submit()
        (result,) = await self.wait_results()
        self.assertIs(batch.Outcome.TERMINATED, result.outcome)
        self.assertEqual(2, len(self.client.requests))

    async def test_batch_without_route_is_never_loaded(self):
        self.holder.current = configuration.Configuration(2, (), {})
        with mock.patch.object(journal.Journal, 'load', autospec=True) as load:
            self.submit()
            await self.wait(lambda: BATCH_ID in self.journal.fold.batches)
            await asyncio.sleep(5 * TICK_SECONDS)
            load.assert_not_called()

    async def test_submission_of_another_owner_is_not_decompressed(self):
        """Small hosts must hold a hundred batches of other gateways."""
        self.submit(incarnation='other')
        await self.wait(lambda: BATCH_ID in self.journal.fold.batches)
        await asyncio.sleep(3 * TICK_SECONDS)
        state = self.journal.fold.batches[BATCH_ID]
        self.assertIsNone(state._submission)

    async def test_end_of_batch_stops_all_runs(self):
        self.add_replica('one', pause_seconds=60)
        self.submit()
        await self.wait(lambda: self.subject.has_running_items)
        self.log.write(
            records.TOPIC, PARTITION, [records.encode(records.End(BATCH_ID))]
        )
        await self.wait(lambda: not self.subject.has_running_items)

    async def test_waiting_items_are_not_ordered_while_no_slot_is_free(self):
        """Hundreds of items wait, and a wake-up follows each record."""
        self.add_replica('one', pause_seconds=60)
        self.submit(build_submission(50))
        await self.wait(lambda: self.subject.has_running_items)
        with mock.patch.object(
            ordering, 'build_sort_key', wraps=ordering.build_sort_key
        ) as build_key:
            for _ in range(10):
                self.subject._wake.set()
                await asyncio.sleep(0.001)
            build_key.assert_not_called()
            self.add_replica('two', pause_seconds=60)
            await self.wait(lambda: self.client.count('two:1'))
            build_key.assert_called()

    async def test_longest_items_start_first(self):
        self.add_replica('one')
        self.submit(build_submission(3, hints=[5, 100, 50]))
        await self.wait_results(3)
        started = [
            request.headers['id'] for _, request in self.client.requests
        ]
        self.assertEqual(['i1', 'i2', 'i0'], started)


class LargeDeploymentTest(OwnerTest):
    """The same tests with contents that are stored separately.

    The number of gateways exceeds MAX_INLINE_GATEWAYS.
    """

    gateways = journal.MAX_INLINE_GATEWAYS + 1
