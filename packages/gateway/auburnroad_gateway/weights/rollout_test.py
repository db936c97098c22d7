"""Tests the order in which replicas load, and that an order runs once.

A version is announced while a burst fills every slot. Replicas must load after
the burst, idle replicas first and few at a time, except that a replica whose
version is too old for the step loads immediately.
"""

import asyncio
import unittest
from unittest import mock

import msgspec

from auburnroad_core.http import client
from auburnroad_gateway.batches import workload
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.directory import directory
from auburnroad_gateway.log import service
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.weights import rollout
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

LIMIT_SECONDS = 10


class Engine:
    """A scripted replica that executes orders.

    Attributes:
      version: Loaded weight version.
      orders: Executed orders.
      lose_answers: Number of orders to execute without an answer.
      headers: Headers of each report.
    """

    def __init__(self, version):
        self.version = version
        self.orders = []
        self.lose_answers = 0
        self.headers = {}

    async def handle(self, request):
        if request.target == '/report':
            return self.answer(
                call.Report(len(self.orders), False, {'m': self.version})
            )
        order = msgspec.json.decode(request.body, type=call.VersionOrder)
        if order.expected_orders != len(self.orders):
            return scripted_replicas.answer(409, b'')
        self.orders.append(order)
        self.version = order.version
        if self.lose_answers:
            self.lose_answers -= 1
            raise client.BrokenError('lost')
        return scripted_replicas.answer(202, b'')

    def answer(self, report):
        return scripted_replicas.answer(
            200, msgspec.json.encode(report), **self.headers
        )


class StubDuties:
    """Duties that this gateway holds."""

    async def claim_if_vacant(self, service_name, tail):
        pass

    def is_holder(self, service_name, now):
        return True

    def find_fence(self, service_name):
        return 7


class StubLease:
    """The right to act, which does not end."""

    tail = None
    records_age = 0.0

    async def renew(self, key):
        return True

    def begin(self, key, fence):
        return True


class StubOwner:
    """A batch owner with a given number of waiting items.

    Attributes:
      waiting: Number of waiting items.
      minimum_version: Oldest version that may generate the items' output.
    """

    def __init__(self):
        self.waiting = 0
        self.minimum_version = 1

    @property
    def workload(self):
        return self

    def count_waiting_for_older(self, model, version):
        return self.waiting if self.minimum_version < version else 0

    def move_runs(self):
        pass

    def estimate_demand(self, models):
        return workload.Demand(dict.fromkeys(models, 1.0))


class WeightRolloutTest(unittest.IsolatedAsyncioTestCase):
    """Five replicas with two slots each."""

    async def asyncSetUp(self):
        for name in (
            'CHECK_INTERVAL_SECONDS',
            'EXPECTED_LOAD_SECONDS',
            'RETRY_DELAY_SECONDS',
            'POLL_INTERVAL_SECONDS',
            'VACATE_WAIT_SECONDS',
        ):
            self.enterContext(mock.patch.object(rollout, name, 0.01))
        adapter = plain_adapter.PlainAdapter()
        self.client = scripted_replicas.ScriptedClient()
        self.replicas = directory.Directory(adapter)
        self.engines = {}
        for number in range(5):
            self.add(f'r{number}')
        self.holder = holder.ConfigurationHolder(adapter)
        self.holder.current = configuration.Configuration(
            1, (), {'s': configuration.Service('s', models=('m',))}
        )
        self.owner = StubOwner()
        self.subject = rollout.WeightRollout(
            membership_test.build_settings(),
            adapter,
            self.client,
            StubDuties(),
            self.holder,
            self.replicas,
            self.owner,
            StubLease(),
        )
        self.task = asyncio.create_task(self.subject.run())

    async def asyncTearDown(self):
        self.task.cancel()

    def add(self, name):
        engine = self.engines[name] = Engine(1)
        self.client.handle(f'{name}:1', engine.handle)
        value = (
            '{"id":"%s","service":"s","address":"%s:1","failure_domain":"a",'
            '"slots":2,"state":"ready","versions":{"m":1}}'
        ) % (name, name)
        self.replicas.apply(service.KeyedRecord(name, value.encode(), 0))

    async def wait(self, condition):
        async with asyncio.timeout(LIMIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.001)

    def announce_version(self, version):
        self.holder.announced_versions['m'] = version

    def list_loaded(self, version):
        return [
            name
            for name, engine in self.engines.items()
            if engine.version == version
        ]

    async def test_all_replicas_load_the_announced_version(self):
        self.announce_version(2)
        await self.wait(lambda: len(self.list_loaded(2)) == 5)
        orders = [engine.orders for engine in self.engines.values()]
        self.assertTrue(all(len(entry) == 1 for entry in orders))

    async def test_unanswered_order_is_executed_once(self):
        self.engines['r0'].lose_answers = 1
        self.announce_version(2)
        await self.wait(lambda: len(self.list_loaded(2)) == 5)
        self.assertEqual(1, len(self.engines['r0'].orders))

    async def test_no_replica_loads_while_items_wait(self):
        self.owner.waiting = 3
        self.announce_version(2)
        await asyncio.sleep(0.1)
        self.assertEqual([], self.list_loaded(2))
        self.owner.waiting = 0
        await self.wait(lambda: len(self.list_loaded(2)) == 5)

    async def test_items_that_require_the_version_do_not_delay_loads(self):
        self.owner.waiting, self.owner.minimum_version = 3, 2
        self.announce_version(2)
        await self.wait(lambda: len(self.list_loaded(2)) == 5)

    async def test_runs_without_another_slot_do_not_delay_an_order(self):
        """The runs pause during the load and continue on the replica."""
        busy = self.replicas.list_ready('s')[0]
        busy.in_flight = 1
        self.announce_version(2)
        await self.wait(lambda: len(self.list_loaded(2)) == 5)

    async def test_replica_too_old_for_the_step_loads_immediately(self):
        self.owner.waiting = 3
        self.announce_version(3)
        await self.wait(lambda: len(self.list_loaded(3)) == 5)

    async def test_replica_whose_report_says_it_leaves_is_not_ready(self):
        self.engines['r0'].headers['leaving'] = '1'
        self.announce_version(2)
        await self.wait(lambda: len(self.list_loaded(2)) >= 4)
        await self.wait(lambda: len(self.replicas.list_ready('s')) == 4)
        ready = [target.id for target in self.replicas.list_ready('s')]
        self.assertEqual(['r1', 'r2', 'r3', 'r4'], ready)

    async def test_busy_replicas_do_not_load_before_idle_replicas(self):
        busy = self.replicas.list_ready('s')[0]
        busy.in_flight = 2
        for other in self.replicas.list_ready('s')[1:]:
            other.in_flight = 2
        self.announce_version(2)
        await asyncio.sleep(0.1)
        self.assertEqual([], self.list_loaded(2))
        for other in self.replicas.list_ready('s')[1:]:
            other.in_flight = 0
        await self.wait(lambda: len(self.list_loaded(2)) >= 4)
        self.assertNotEqual('r0', self.list_loaded(2)[0])


class ModelLoadLimitTest(unittest.TestCase):
    """Replicas that trainers share, each assigned to one model."""

    def test_at_most_half_of_the_replicas_load_rounded_up(self):
        self.assertEqual(
            [1, 1, 2, 3, 4],
            [rollout.find_model_load_limit(n) for n in (1, 2, 3, 6, 8)],
        )


class ServiceLoadLimitTest(unittest.TestCase):
    """Concurrent loads among the replicas of a service."""

    def test_limit_is_two_fifths_rounded_down_but_at_least_one(self):
        self.assertEqual(
            [1, 1, 2, 2, 10],
            [rollout.find_service_load_limit(n) for n in (1, 3, 5, 6, 25)],
        )
