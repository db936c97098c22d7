"""Tests that orders come from the holder alone, and the newest one only.

Guards against orders for services without bounds, against orders of a gateway
without the duty or of an earlier claim, and against outdated orders that are
sent once the platform's API is available again.
"""

import asyncio
import unittest

import msgspec

from auburnroad_core import clock
from auburnroad_gateway.batches import fold
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.directory import directory
from auburnroad_gateway.log import service
from auburnroad_gateway.members import facts
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import settings
from auburnroad_gateway.scaling import decision
from auburnroad_gateway.scaling import inputs
from auburnroad_gateway.scaling import paces
from auburnroad_gateway.scaling import scaler
from auburnroad_gateway.weights import duty
from auburnroad_standins import plain_adapter

TIMEOUT_SECONDS = 20
BOOT_SECONDS = 3.0
SCALING = configuration.Scaling(2, 4, int(BOOT_SECONDS * 1000))


class ScriptedDuty:
    """Takes the place of the duties and of their caller.

    Attributes:
      held: Whether this gateway holds the duty.
      fence: Its fencing token.
      answering: Whether the platform's API answers.
      sent: Service, failure domain, number and token of each call.
    """

    def __init__(self):
        self.held = True
        self.fence = 7
        self.answering = True
        self.sent = []

    def is_holder(self, key, now):
        assert key == duty.SCALE_KEY
        return self.held

    def find_fence(self, key):
        return self.fence

    async def send(self, key, build, subject):
        body = msgspec.json.decode(build('own', self.fence).body)
        if not self.held or not self.answering:
            return False
        assert subject == f'{body["service"]}/{body["zone"]}'
        self.sent.append((*body.values(), self.fence))
        return True


class ScalerTest(unittest.IsolatedAsyncioTestCase):
    """A service with one replica in each of two failure domains."""

    def setUp(self):
        self.adapter = plain_adapter.PlainAdapter()
        self.holder = holder.ConfigurationHolder(self.adapter)
        self.configure(SCALING)
        self.directory = directory.Directory(self.adapter)
        self.duty = ScriptedDuty()
        self.callers = 0
        self.loaded = True
        shared = paces.SharedPaces(facts.SharedFacts('a', None))
        self.settings = msgspec.structs.replace(
            membership_test.build_settings('own'),
            cloud=settings.Cloud('api:1', (settings.AUTOSCALE,)),
        )
        self.subject = scaler.Scaler(
            self.settings,
            self.adapter,
            self.holder,
            self.directory,
            inputs.InputsBuilder(
                'a',
                self.holder,
                self.directory,
                fold.Fold(),
                shared,
                lambda service: self.callers,
            ),
            shared,
            self.duty,
            self.duty,
            lambda: self.loaded,
        )
        self.now = 1000.0
        for name in 'ab':
            value = msgspec.json.encode(
                {
                    'id': name,
                    'service': 's',
                    'address': f'{name}:1',
                    'failure_domain': name,
                    'slots': 4,
                    'state': 'ready',
                }
            )
            self.directory.apply(service.KeyedRecord(name, value, 0))

    def configure(self, scaling):
        plain = configuration.Service('t')
        self.holder.current = configuration.Configuration(
            1,
            (),
            {'s': configuration.Service('s', scaling=scaling), 't': plain},
        )

    def check(self, seconds=1):
        """Let time pass, with a decision each second."""
        for _ in range(int(seconds)):
            self.now += 1
            self.subject.check(self.now, clock.time_now_ms())

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def settle(self):
        await self.wait_until(lambda: not self.subject._tasks)

    async def test_holder_orders_the_missing_replicas_once(self):
        self.check(BOOT_SECONDS)
        self.assertEqual({}, self.subject._unsent)
        self.check(1)
        await self.settle()
        self.check(2 * BOOT_SECONDS - 1)
        await self.settle()
        self.assertEqual(
            [('s', 'a', 2, 7), ('s', 'b', 2, 7)], sorted(self.duty.sent)
        )

    async def test_nothing_is_ordered_without_bounds_or_duty(self):
        self.callers = 50
        self.configure(None)
        self.check(10)
        self.configure(SCALING)
        self.duty.held = False
        self.check(10)
        self.duty.held = True
        self.loaded = False
        self.check(10)
        self.loaded = True
        self.subject.apply_settings(
            msgspec.structs.replace(self.settings, cloud=settings.Cloud())
        )
        self.check(10)
        self.assertEqual({}, self.subject._unsent)
        self.assertEqual([], self.duty.sent)

    async def test_only_the_newest_order_is_sent_after_an_outage(self):
        self.duty.answering = False
        self.check(BOOT_SECONDS + 1)
        await asyncio.sleep(0)
        self.callers = 20
        self.check(1)
        await asyncio.sleep(0)
        self.duty.answering = True
        await self.settle()
        self.assertEqual(
            [('s', 'a', 3, 7), ('s', 'b', 3, 7)], sorted(self.duty.sent)
        )

    async def test_long_outage_of_the_api_is_no_failure_of_a_domain(self):
        self.duty.answering = False
        self.check(BOOT_SECONDS + 1)
        self.check(10 * BOOT_SECONDS)
        state = self.subject._states['s']
        self.assertFalse(any(one.missed for one in state.ordered.values()))
        self.duty.answering = True
        await self.settle()
        self.check(2 * BOOT_SECONDS - 1)
        await self.settle()
        self.assertEqual(2, len(self.duty.sent))

    async def test_order_of_an_earlier_claim_is_not_sent(self):
        self.duty.answering = False
        self.check(BOOT_SECONDS + 1)
        await asyncio.sleep(0)
        self.duty.fence = 9
        self.duty.answering = True
        await asyncio.sleep(3 * scaler.SEND_INTERVAL_SECONDS)
        self.assertEqual([], self.duty.sent)
        # The new claim starts from the registered replicas.
        self.check(BOOT_SECONDS)
        self.assertEqual({}, self.subject._unsent)
        self.check(1)
        await self.settle()
        self.assertEqual(
            [('s', 'a', 2, 9), ('s', 'b', 2, 9)], sorted(self.duty.sent)
        )

    async def test_order_of_a_service_without_bounds_now_is_dropped(self):
        self.duty.answering = False
        self.check(BOOT_SECONDS + 1)
        await asyncio.sleep(0)
        current = self.holder.current
        self.holder.current = configuration.Configuration(
            2,
            (),
            {
                's': configuration.Service('s'),
                'u': configuration.Service('u', scaling=SCALING),
            },
        )
        self.assertNotEqual(current, self.holder.current)
        self.check(1)
        self.duty.answering = True
        await asyncio.sleep(3 * scaler.SEND_INTERVAL_SECONDS)
        self.assertFalse([one for one in self.duty.sent if one[0] == 's'])

    async def test_order_is_dropped_with_the_last_bounds(self):
        """Without a service to decide about, it was sent in the end."""
        self.duty.answering = False
        self.check(BOOT_SECONDS + 1)
        await asyncio.sleep(0)
        self.configure(None)
        self.check(1)
        self.duty.answering = True
        await asyncio.sleep(3 * scaler.SEND_INTERVAL_SECONDS)
        self.assertEqual([], self.duty.sent)

    async def test_order_above_a_lower_maximum_is_replaced(self):
        self.callers = 100
        self.duty.answering = False
        self.check(BOOT_SECONDS + 1)
        await asyncio.sleep(0)
        self.configure(configuration.Scaling(2, 3, SCALING.boot_ms))
        self.check(1)
        self.duty.answering = True
        await self.settle()
        self.assertEqual(
            [('s', 'a', 3, 7), ('s', 'b', 3, 7)], sorted(self.duty.sent)
        )

    async def test_cancelled_loop_sends_nothing_more(self):
        self.duty.answering = False
        loop = asyncio.create_task(self.subject.run())
        await asyncio.sleep(0)
        self.check(BOOT_SECONDS + 1)
        await asyncio.sleep(0)
        loop.cancel()
        await asyncio.gather(loop, return_exceptions=True)
        self.assertEqual({}, self.subject._unsent)
        self.duty.answering = True
        await asyncio.sleep(2 * scaler.SEND_INTERVAL_SECONDS)
        self.assertEqual([], self.duty.sent)

    async def test_measured_pace_is_shared_without_the_duty(self):
        """The gateway that runs batches seldom holds the duty."""
        self.duty.held = False
        self.directory.list_ready('s')[0].note_pace(70.0, self.now + 1)
        self.check(1)
        found = self.subject._paces.find('s', clock.time_now_ms())
        self.assertEqual(70.0, found)


class StateTest(unittest.TestCase):
    """Orders that are sent later than they were decided."""

    def test_effect_is_late_only_from_the_answer_on(self):
        state = decision.ServiceState(0.0)
        state.ordered['a'] = decision.Ordered(3, 1, 10.0, False)
        state.note_sent(decision.Order('s', 'a', 3), 20.0)
        self.assertEqual(20.0, state.ordered['a'].ordered_at)
        state.note_sent(decision.Order('s', 'a', 2), 30.0)
        state.note_sent(decision.Order('s', 'b', 3), 30.0)
        self.assertEqual(20.0, state.ordered['a'].ordered_at)
