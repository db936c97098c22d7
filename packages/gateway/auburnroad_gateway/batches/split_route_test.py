"""Tests that the items of a route with several services run at all of them.

Guards against items that wait for one service of their route while another
one is idle.
"""

import collections

import msgspec

from auburnroad_gateway.batches import item_placement
from auburnroad_gateway.batches import owner_test
from auburnroad_gateway.log import service
from auburnroad_gateway.model import configuration

ITEMS = 8


class SplitRouteTest(owner_test.OwnerTestCase):
    """A batch of a route with the services 's' and 'o', a replica each."""

    def split(self, *backends):
        current = self.holder.current
        route = msgspec.structs.replace(
            current.routes[0],
            backends=tuple(
                configuration.Backend(name, weight)
                for name, weight in backends
            ),
        )
        services = {
            name: configuration.Service(name, models=('m',))
            for name, _ in backends
        }
        self.holder.current = msgspec.structs.replace(
            current, routes=(route,), services=services
        )
        return route

    def add_other_replica(self, name, **fields):
        engine = owner_test.Replica(**fields)
        self.client.handle(f'{name}:1', engine.handle)
        value = (
            '{"id":"%s","service":"o","address":"%s:1","failure_domain":"a",'
            '"slots":1,"state":"ready","versions":{"m":1}}'
        ) % (name, name)
        self.replicas.apply(service.KeyedRecord(name, value.encode(), 0))

    async def test_items_run_at_the_other_service_if_theirs_is_lost(self):
        """The first service of the route alone got items, also when lost."""
        for lost, left in (('s', 'o'), ('o', 's')):
            with self.subTest(lost=lost):
                await self.check_service_lost(lost, left)
                await self.asyncTearDown()
                await self.asyncSetUp()

    async def check_service_lost(self, lost, left):
        self.split((lost, 0.9), (left, 0.1))
        (self.add_replica if left == 's' else self.add_other_replica)('one')
        self.submit(owner_test.build_submission(ITEMS))
        self.assertEqual(
            ['0\n1\n2\n3\n4'] * ITEMS, await self.wait_texts(ITEMS)
        )

    async def test_text_of_a_lost_service_starts_anew_at_the_other(self):
        """It waited for a replica of its own service."""
        self.split(('s', 0.9), ('o', 0.1))
        self.add_replica('one', pause_seconds=0.05)
        self.submit()
        await self.wait(lambda: self.count_events() >= 2)
        self.add_other_replica('two', prefix='o')
        self.replicas.apply(service.KeyedRecord('one', b'', 1))
        for owned in self.subject._owned.values():
            for run in list(owned.runs.values()):
                owned.stop_attempt(run)
        self.subject._wake.set()
        self.assertEqual(['o0\no1\no2\no3\no4'], await self.wait_texts())

    async def test_free_slots_of_the_other_service_are_used(self):
        """Items waited for a full service beside an idle one."""
        self.split(('s', 1.0), ('o', 1e-9))
        self.add_replica('one', pause_seconds=60)
        self.add_other_replica('two')
        self.submit(owner_test.build_submission(2))
        await self.wait_texts()

    async def test_service_without_weight_gets_no_items(self):
        self.split(('o', 0.0), ('s', 1.0))
        self.add_replica('one')
        self.add_other_replica('two', prefix='o')
        self.submit(owner_test.build_submission(ITEMS))
        self.assertEqual(
            ['0\n1\n2\n3\n4'] * ITEMS, await self.wait_texts(ITEMS)
        )

    def test_items_are_shared_by_weight(self):
        route = self.split(('s', 90), ('o', 10))
        counts = collections.Counter(
            item_placement.choose_service(route, 'b', index)
            for index in range(1000)
        )
        self.assertAlmostEqual(100, counts['o'], delta=40)

    def test_services_are_listed_by_weight(self):
        route = self.split(('o', 10), ('s', 90), ('z', 0), ('o', 5))
        self.assertEqual(('s', 'o'), route.services)
        route = self.split(('o', 0), ('s', 0))
        self.assertEqual(('o', 's'), route.services)
