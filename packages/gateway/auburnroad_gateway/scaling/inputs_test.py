"""Tests what the numbers of replicas are decided from.

Guards against work of other gateways' batches that is not counted, against
items that are counted although they need no slot any more, and against
failure domains that are forgotten with their last replica.
"""

import unittest

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import records
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.directory import directory
from auburnroad_gateway.log import service
from auburnroad_gateway.members import facts
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.scaling import decision
from auburnroad_gateway.scaling import inputs
from auburnroad_gateway.scaling import paces
from auburnroad_standins import plain_adapter

SCALED = configuration.Service(
    's',
    models=('m',),
    tokens_per_event=10,
    scaling=configuration.Scaling(1, 4, 3000),
)
ROUTE = configuration.Route(
    'r',
    'h',
    '/p/',
    configuration.RouteKind.BATCH,
    (configuration.Backend('s'),),
    due_ms=8000,
)
NOW = 500.0
NOW_MS = 1_000_000


class InputsTest(unittest.TestCase):
    """A service with two replicas and batches of another gateway."""

    def setUp(self):
        self.adapter = plain_adapter.PlainAdapter()
        self.holder = holder.ConfigurationHolder(self.adapter)
        self.holder.current = configuration.Configuration(
            1, (ROUTE,), {'s': SCALED}
        )
        self.directory = directory.Directory(self.adapter)
        self.fold = fold.Fold()
        self.offset = 0
        self.paces = paces.SharedPaces(facts.SharedFacts('a', None))
        self.subject = inputs.InputsBuilder(
            'a', self.holder, self.directory, self.fold, self.paces
        )
        self.put('r1', 'a')
        self.put('r2', 'b')

    def put(self, name, domain, service_name='s', state='ready'):
        value = msgspec.json.encode(
            {
                'id': name,
                'service': service_name,
                'address': f'{name}:1',
                'failure_domain': domain,
                'slots': 4,
                'state': state,
                'started_ms': 1,
            }
        )
        self.directory.apply(service.KeyedRecord(name, value, 0))

    def apply(self, *encoded):
        for record in encoded:
            self.fold.apply(self.offset, record)
            self.offset += 1

    def submit(self, name='b', items=3, path='/p/', hint=100):
        submission = batch.Submission(
            name,
            'h',
            path,
            0,
            'm',
            1,
            1,
            [
                batch.Item(f'i{n}', path, {}, b'', 10, 'g', hint)
                for n in range(items)
            ],
        )
        self.apply(
            *records.build_submission_records(
                submission, 'a1', 'other', NOW_MS - 1000, 10_000
            )
        )

    def build(self):
        return self.subject.build(SCALED, NOW, NOW_MS)

    def test_items_of_another_gateway_are_work_with_due_times(self):
        self.submit()
        # 10 events of 48 ms, due 8 s after the submission.
        expected = decision.Work(NOW + 7.0, 0.48)
        self.assertEqual((expected,) * 3, self.build().work)

    def test_shared_pace_replaces_the_assumed_one(self):
        self.submit(items=1)
        self.paces.note('s', 90.0, clock.time_now_ms())
        self.assertAlmostEqual(0.9, self.build().work[0].expected_seconds)

    def test_finished_items_and_complete_texts_are_no_work(self):
        self.submit(items=4)
        result = batch.ItemResult(
            0, batch.Outcome.SUCCEEDED, records.pack_text('x'), [1]
        )
        self.apply(
            records.encode(records.Results('b', [result])),
            records.encode(
                records.Progress('b', 1, -1, 9, b'', [1], 0, complete=True)
            ),
            records.encode(records.Progress('b', 2, -1, 4, b'', [1], 0)),
        )
        seconds = [round(one.expected_seconds, 2) for one in self.build().work]
        self.assertEqual([0.24, 0.48], seconds)

    def test_batches_that_ended_or_have_no_route_are_no_work(self):
        self.submit('b')
        self.submit('c', path='/q/')
        self.apply(records.encode(records.End('b')))
        self.assertEqual((), self.build().work)

    def test_submissions_of_others_are_not_kept_in_memory(self):
        self.submit()
        self.build()
        self.assertIsNone(self.fold.batches['b']._submission)

    def test_running_items_are_spread_as_the_slots(self):
        self.submit(items=6)
        texts = {
            name: domain.running_texts
            for name, domain in self.build().domains.items()
        }
        self.assertEqual({'a': 3, 'b': 3}, texts)

    def test_single_requests_are_load_per_slot(self):
        target = self.directory.list_ready('s')[0]
        target.in_flight = 2
        target.note_load(call.Load(4, 2, 4), NOW)
        self.assertEqual(6 / 8, self.build().plain_load)

    def test_running_items_are_not_load_of_single_requests(self):
        self.submit(items=2)
        self.directory.list_ready('s')[0].in_flight = 3
        self.assertEqual(1 / 8, self.build().plain_load)

    def test_draining_replica_does_not_count(self):
        self.put('r2', 'b', state='draining')
        domains = self.build().domains
        self.assertEqual((1, 0), (domains['a'].ready, domains['b'].ready))

    def test_domain_without_replicas_is_remembered(self):
        self.put('x', 'c', 'another service')
        self.build()
        for name in ('x', 'r2'):
            self.directory.apply(service.KeyedRecord(name, b'', 0))
        self.assertEqual({'a', 'b', 'c'}, set(self.build().domains))
