"""Tests that a holder orders nothing once another one may have taken over.

Guards against orders of a gateway that was cut off, frozen or served late, and
that goes on by what it had read before. The replica accepts every order.
"""

import asyncio
import collections
import unittest
from unittest import mock

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.directory import directory
from auburnroad_gateway.duties import lease
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.weights import duty
from auburnroad_gateway.weights import rollout
from auburnroad_gateway.weights import rollout_test
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

LIMIT_SECONDS = 20
LEASE_MS = 1200
# Heartbeats after which a gateway that goes on by them alone has ordered.
HEARTBEATS = 8
CHECKS = 300


class Path:
    """The way of one gateway to the log, whose topics fail one by one.

    Attributes:
      refused: Topics whose calls are refused.
      held: Topics whose reads are answered late, by what they found before.
      appends: Number of appends that succeeded, by topic.
    """

    on_detour = False

    def __init__(self, log):
        self.refused = set()
        self.held = set()
        self.appends = collections.Counter()
        self._log = log

    async def append(self, topic, *arguments, **options):
        self._check(topic)
        offset = await self._log.append(topic, *arguments, **options)
        self.appends[topic] += 1
        return offset

    async def read(self, topic, partition, from_offset, wait_ms, *arguments):
        self._check(topic)
        found = await self._log.read(
            topic, partition, from_offset, 0, *arguments
        )
        while topic in self.held:
            await asyncio.sleep(0.001)
        if not found.records:
            await asyncio.sleep(0.005)
        return found

    async def read_newest(self, topic):
        self._check(topic)
        return await self._log.read_newest(topic)

    def _check(self, topic):
        if topic in self.refused:
            raise service.LogRefusedError(topic)


class Engine(rollout_test.Engine):
    """A replica that checks no fences.

    Attributes:
      connecting: Called while a connection for an order is opened.
    """

    def __init__(self):
        super().__init__(1)
        self.connecting = lambda: None

    @property
    def fences(self):
        """Fences of all orders as they arrived."""
        return [order.fence for order in self.orders]

    def take(self, version, fence):
        """Carry out an order of another host."""
        self.orders.append(
            call.VersionOrder('m', version, False, 'other', fence, 0)
        )
        self.version = version


class Client(scripted_replicas.ScriptedClient):
    """Opens each connection while something else happens."""

    def __init__(self, engine):
        super().__init__()
        self._engine = engine
        self.handle('r0:1', engine.handle)

    async def open(self, address, request, *arguments, **options):
        if request.target != '/report':
            self._engine.connecting()
            await asyncio.sleep(0.02)
        return await super().open(address, request, *arguments, **options)


class FormerHolderTest(unittest.IsolatedAsyncioTestCase):
    """One gateway that holds the duty of a service with one replica."""

    async def asyncSetUp(self):
        for module, name, seconds in (
            (rollout, 'CHECK_INTERVAL_SECONDS', 0.01),
            (rollout, 'EXPECTED_LOAD_SECONDS', 0.01),
            (rollout, 'RETRY_DELAY_SECONDS', 0.01),
            (rollout, 'POLL_INTERVAL_SECONDS', 0.01),
            (tail, 'RETRY_MIN_SECONDS', 0.01),
            (membership, 'HOLDER_HEARTBEAT_SECONDS', 0.05),
            (membership, 'HEARTBEAT_RETRY_SECONDS', 0.05),
            (membership, 'DEAD_ALLOWANCE_SECONDS', 0.25),
        ):
            self.enterContext(mock.patch.object(module, name, seconds))
        self.log = partition_log.PartitionLog()
        self.path = Path(self.log)
        self.members = membership.Membership(
            membership_test.build_settings(), self.path
        )
        self.duties = duty.Duties(self.members, self.path, LEASE_MS)
        self.tail = tail.KeyedTail(
            self.path, duty.TOPIC, self.duties.apply, 0.0
        )
        self.engine = Engine()
        self.build_rollout()
        self.tasks = [
            asyncio.create_task(work)
            for work in (
                self.tail.run(),
                self.members.run_heartbeats(),
                self.subject.run(),
            )
        ]
        await self.tail.wait_until_loaded()
        own = duty.DutyRecord(self.members.incarnation, settled=True)
        self.log.put(duty.TOPIC, 's', msgspec.msgpack.encode(own))
        self.announce(2)
        await self.wait(lambda: self.engine.fences == [1])

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    def build_rollout(self):
        adapter = plain_adapter.PlainAdapter()
        replicas = directory.Directory(adapter)
        value = (
            b'{"id":"r0","service":"s","address":"r0:1","failure_domain":"a",'
            b'"slots":2,"state":"ready","versions":{"m":1}}'
        )
        replicas.apply(service.KeyedRecord('r0', value, 0))
        self.holder = holder.ConfigurationHolder(adapter)
        self.holder.current = configuration.Configuration(
            1, (), {'s': configuration.Service('s', models=('m',))}
        )
        self.subject = rollout.WeightRollout(
            membership_test.build_settings(),
            adapter,
            Client(self.engine),
            self.duties,
            self.holder,
            replicas,
            rollout_test.StubOwner(),
            lease.HolderLease(self.duties, self.tail),
        )

    def announce(self, version):
        self.holder.announced_versions['m'] = version

    async def wait(self, condition):
        async with asyncio.timeout(LIMIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.001)

    async def wait_for_heartbeats(self):
        wanted = self.path.appends[membership.TOPIC] + HEARTBEATS
        await self.wait(lambda: self.path.appends[membership.TOPIC] >= wanted)

    async def lapse(self):
        """Wait until other hosts may consider this one dead."""
        await self.wait(
            lambda: (
                clock.read_boot_clock_seconds()
                > self.members.presumed_alive_until
            )
        )

    async def wait_for_next_holder(self):
        """Wait as long as the next holder does after its claim."""
        acts_at = (
            clock.read_boot_clock_seconds()
            + self.duties.find_takeover_wait('s')
        )
        await self.wait(lambda: clock.read_boot_clock_seconds() > acts_at)

    def claim_elsewhere(self):
        record = duty.DutyRecord(membership.build_incarnation('other'))
        self.log.put(duty.TOPIC, 's', msgspec.msgpack.encode(record))

    def order_elsewhere(self):
        """Let the next holder order, with another version to follow."""
        self.engine.take(3, 2)
        self.announce(4)

    async def test_heartbeats_alone_do_not_renew_the_right_to_order(self):
        """After a cut the heartbeats were confirmed before the duty was read.

        Two hosts ordered the same replica, with a falling fence.
        """
        self.path.refused = {membership.TOPIC, duty.TOPIC}
        await self.lapse()
        self.claim_elsewhere()
        await self.wait_for_next_holder()
        self.order_elsewhere()
        self.path.refused = {duty.TOPIC}
        await self.wait_for_heartbeats()
        self.path.refused = set()
        await self.wait(lambda: self.duties.find_fence('s') == 2)
        self.assertEqual([1, 2], self.engine.fences)

    async def test_duty_lost_while_connecting_sends_no_order(self):
        """The right was checked, and ended before the first byte."""

        def lose_duty():
            if not self.path.refused:
                self.members.leave()
                self.path.refused = {duty.TOPIC}

        self.engine.connecting = lose_duty
        self.announce(3)
        await self.wait(lambda: self.path.refused)
        await self.wait_for_heartbeats()
        self.assertEqual([1], self.engine.fences)

    async def test_a_read_that_is_answered_late_does_not_renew_the_right(self):
        """The log serves the members in time, and the duties late."""
        self.path.held = {duty.TOPIC}
        self.claim_elsewhere()
        await self.wait_for_next_holder()
        self.order_elsewhere()
        await self.wait_for_heartbeats()
        self.path.held = set()
        await self.wait(lambda: self.duties.find_fence('s') == 2)
        self.assertEqual([1, 2], self.engine.fences)

    async def test_replica_serves_while_no_order_can_be_sent(self):
        """It was kept from runs for an order that could not go out."""
        (target,) = self.subject._directory.list_ready('s')
        await self.wait(lambda: not target.vacating)
        self.path.held = {duty.TOPIC}
        await self.wait(lambda: not self.subject._lease.may_act('s'))
        self.announce(3)
        vacating = 0
        for _ in range(CHECKS):
            await asyncio.sleep(0.005)
            vacating += target.vacating
        self.assertEqual([1], self.engine.fences)
        self.assertLess(vacating, CHECKS / 2)
