"""Tests that calls of a duty come from its holder alone.

Guards against what the platform can't undo: a token used by two holders, a
call after the lease, a call right after the process was suspended, and a
refused token that is sent again.
"""

import asyncio
import time
import unittest

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.duties import lease
from auburnroad_gateway.duties import platform_calls
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.model import settings
from auburnroad_gateway.weights import duty
from auburnroad_standins import partition_log

KEY = duty.USAGE_KEY
LEASE_MS = 300
THAW_MS = 40
TIMEOUT_SECONDS = 20


class ScriptedApi:
    """Takes the place of an HTTP client; keeps what would have been sent.

    Attributes:
      sent: Holder and token of each call that was sent.
      statuses: Statuses of the next answers; 200 once there are none.
      connecting: Called while the connection of a call is opened.
    """

    def __init__(self):
        self.sent = []
        self.statuses = []
        self.connecting = lambda: None

    async def open(self, address, request, fresh, may_send):
        self.connecting()
        if not may_send():
            raise client.ConnectError(address)
        self.sent.append(msgspec.json.decode(request.body))
        status = self.statuses.pop(0) if self.statuses else 200
        if not status:
            raise client.BrokenError(address)
        return Reply(status)


class Reply:
    """Head of an answer."""

    def __init__(self, status):
        self.status = status

    def close(self):
        return None


def build_call(holder, fence):
    return messages.Request(
        'POST', '/', {}, msgspec.json.encode([holder, fence])
    )


class Host:
    """The duties and the caller of one gateway."""

    def __init__(self, name, log, api):
        own = msgspec.structs.replace(
            membership_test.build_settings(name),
            bounds=settings.Bounds(lease_ms=LEASE_MS, thaw_ms=THAW_MS),
            cloud=settings.Cloud('api:1', (settings.USAGE_REPORT,)),
        )
        self.members = membership.Membership(own, None)
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.members.presumed_alive_until = float('inf')
        self.duties = duty.Duties(self.members, log, LEASE_MS)
        self.tail = tail.KeyedTail(log, duty.TOPIC, self.duties.apply, 0.0)
        self.tail._initial_read_done.set()
        self.caller = platform_calls.DutyCaller(
            own, api, self.duties, lease.HolderLease(self.duties, self.tail)
        )

    async def claim(self):
        await self.tail.catch_up()
        self.duties._retry_at.clear()
        await self.duties.claim_if_vacant(KEY, self.tail)
        await self.tail.catch_up()

    async def send(self):
        return await self.caller.send(KEY, build_call)


class DutyCallerTest(unittest.IsolatedAsyncioTestCase):
    """Two gateways, each of which takes the other for dead."""

    async def asyncSetUp(self):
        self.api = ScriptedApi()
        self.log = partition_log.PartitionLog()
        self.one, self.two = (
            Host(name, self.log, self.api) for name in ('one', 'two')
        )
        await self.one.claim()

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_call_has_the_name_and_the_token_of_the_holder(self):
        self.assertTrue(await self.one.send())
        self.assertEqual([['one', 1]], self.api.sent)

    async def test_gateway_without_the_duty_sends_nothing(self):
        await self.two.tail.catch_up()
        self.assertFalse(await self.two.send())
        self.assertEqual([], self.api.sent)

    async def test_next_holder_waits_for_the_whole_lease(self):
        self.assertTrue(await self.one.send())
        sent_at = time.monotonic()
        await self.two.claim()
        self.assertFalse(await self.two.send())
        await self.wait_until(lambda: self.two.caller.may_send(KEY))
        self.assertGreaterEqual(time.monotonic() - sent_at, LEASE_MS / 1000)
        self.assertTrue(await self.two.send())
        self.assertEqual([['one', 1], ['two', 2]], self.api.sent)

    async def test_holder_reads_a_claim_of_another_before_it_calls(self):
        """It took itself for alive again before it read of the claim."""
        await self.two.claim()
        self.one.tail.complete_at -= LEASE_MS
        self.assertFalse(await self.one.send())
        self.assertEqual([], self.api.sent)

    async def test_holder_that_cannot_read_the_duties_sends_nothing(self):
        self.one.tail.complete_at -= LEASE_MS
        self.log.down = True
        self.assertFalse(await self.one.send())
        self.assertEqual([], self.api.sent)

    async def test_duty_lost_while_connecting_stops_the_call(self):
        def lose():
            self.one.members.presumed_alive_until = 0.0

        self.api.connecting = lose
        self.assertFalse(await self.one.send())
        self.assertEqual([], self.api.sent)

    async def test_process_suspended_while_connecting_stops_the_call(self):
        def suspend():
            self.one.caller._watch._observed_at -= 5.0

        self.api.connecting = suspend
        self.assertFalse(await self.one.send())
        self.assertEqual([], self.api.sent)

    async def test_no_call_right_after_a_suspension_of_the_host(self):
        watch = self.one.caller._watch
        self.one.caller.may_send(KEY)
        watch._ahead -= 1.0
        self.assertFalse(await self.one.send())
        await asyncio.sleep(0)
        self.assertFalse(await self.one.send())
        await self.wait_until(lambda: self.one.caller.may_send(KEY))
        now = clock.read_boot_clock_seconds()
        self.assertGreaterEqual(now, watch.resumed_at + THAW_MS / 1000)
        self.assertTrue(await self.one.send())

    async def test_refused_token_is_not_sent_again(self):
        self.api.statuses = [409]
        self.assertFalse(await self.one.send())
        self.one.caller._backoffs.clear()
        self.assertFalse(await self.one.send())
        self.assertEqual([['one', 1]], self.api.sent)

    async def test_refused_token_is_replaced_by_a_new_claim(self):
        """The holder stayed the holder, with a token that was of no use."""
        self.api.statuses = [409]
        await self.one.send()
        tasks = [
            asyncio.create_task(work())
            for work in (self.one.caller.run, self.one.tail.run)
        ]
        await self.wait_until(lambda: self.one.caller.may_send(KEY))
        for task in tasks:
            task.cancel()
        self.assertTrue(await self.one.send())
        self.assertGreater(self.api.sent[-1][1], 1)

    async def test_failed_call_backs_off_for_its_subject_only(self):
        for status in (0, 429, 503):
            self.api.statuses = [status]
            self.assertFalse(await self.one.send())
            self.assertFalse(self.one.caller.may_send(KEY))
            self.assertTrue(self.one.caller.may_send(KEY, 'other'))
            await self.wait_until(lambda: self.one.caller.may_send(KEY))
        self.assertTrue(await self.one.send())

    async def test_release_states_the_time_since_the_last_call(self):
        await self.one.send()
        self.one.members.leaving = True
        await self.one.duties.release(self.one.tail)
        await self.two.claim()
        self.assertFalse(self.two.caller.may_send(KEY))
        await self.wait_until(lambda: self.two.caller.may_send(KEY))
        self.assertTrue(await self.two.send())


class BackoffTest(unittest.TestCase):
    """Failures in a row."""

    def test_waits_grow_to_the_maximum_and_start_anew(self):
        backoff = platform_calls.Backoff()
        waits = []
        for _ in range(6):
            backoff.note_failure(100.0, 1.0)
            waits.append(round(backoff.not_before - 100.0, 3))
        self.assertEqual([0.2, 0.4, 0.8, 1.6, 2.0, 2.0], waits)
        backoff.reset()
        backoff.note_failure(100.0, 0.0)
        self.assertAlmostEqual(100.1, backoff.not_before)
