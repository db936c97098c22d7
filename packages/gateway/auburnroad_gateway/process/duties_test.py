"""Tests of the usage report of complete gateways with a log and an API.

They guard against counts that are lost or doubled when a gateway is killed and
started again, when one stops as planned, or when the holder is lost.
"""

import asyncio
from unittest import mock

import msgspec

from auburnroad_gateway.configuration import holder
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.model import settings
from auburnroad_gateway.process import gateway
from auburnroad_gateway.process import gateway_test
from auburnroad_gateway.usage import counting
from auburnroad_standins import platform_api

TIMEOUT_SECONDS = 60
LEASE_MS = 500
BOUNDS = settings.Bounds(
    grace_s=4.0, lease_ms=LEASE_MS, report_window_s=1.0, usage_late_s=8.0
)


class PendingRequest(requests.PendingRequest):
    """A request whose account is in a header."""

    __slots__ = ()

    def __init__(self, request, *arguments):
        super().__init__(request, *arguments)
        self.account = request.headers.get('account', '')


class UsageReportTest(gateway_test.GatewayTest):
    """Gateways that share a log, a replica and an API.

    The tests of the base class are run with the duties, too.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for patch in (
            mock.patch.object(requests, 'PendingRequest', PendingRequest),
            mock.patch.object(
                holder.ConfigurationHolder,
                'has_accounts',
                property(lambda self: self.current is not None),
            ),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        self.api = platform_api.PlatformApi(fencing=False)
        self.api_address = await self.api.listen()
        self.addAsyncCleanup(self.api.close)

    async def asyncTearDown(self):
        self.assertEqual(
            [],
            platform_api.find_violations(self.api.calls, LEASE_MS / 1000),
        )

    async def start(self, name):
        own = msgspec.structs.replace(
            gateway_test.build_settings(name),
            bounds=BOUNDS,
            cloud=settings.Cloud(self.api_address, (settings.USAGE_REPORT,)),
        )
        subject = gateway.Gateway(own, gateway_test.Adapter(self.log))
        await subject.start()
        self.addAsyncCleanup(subject.close)
        return subject

    async def count(self, subject, account):
        response = await self.send(subject, '/q/x', id='q', account=account)
        self.assertEqual(200, response.status)

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)

    def sum_reported(self):
        total = {}
        for counts in self.api.reports.values():
            for account, count in counts.items():
                total[account] = total.get(account, 0) + count
        return total

    async def wait_for_windows(self, number):
        """Wait until so many more windows are reported."""
        windows = self.api.reports
        wanted = max(windows, default=0) + number
        await self.wait_until(lambda: max(windows, default=0) >= wanted)

    async def test_requests_at_all_gateways_are_reported(self):
        self.publish()
        one, two = await self.start('one'), await self.start('two')
        await self.wait_for_windows(1)
        for subject in (one, two, two):
            await self.count(subject, 'a')
        await self.count(one, 'b')
        await self.wait_for_windows(3)
        self.assertEqual({'a': 3, 'b': 1}, self.sum_reported())

    async def test_holder_that_is_killed_loses_no_recorded_count(self):
        self.publish()
        subjects = {name: await self.start(name) for name in ('one', 'two')}
        await self.wait_for_windows(1)
        killed = self.api.calls[-1].holder
        for subject in subjects.values():
            await self.count(subject, 'a')
        records = subjects[killed]._platform_duties._records
        await self.wait_until(
            lambda: not records.counter.changed and not records._unconfirmed
        )
        await subjects[killed].close()
        restarted = await self.start(killed)
        await self.count(restarted, 'a')
        await self.wait_for_windows(4)
        self.assertEqual({'a': 3}, self.sum_reported())

    async def test_planned_stop_records_what_was_counted_last(self):
        self.publish()
        one, two = await self.start('one'), await self.start('two')
        await self.wait_for_windows(1)
        one.stop()
        await self.count(one, 'a')
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await one.wait_closed()
        await one.close()
        await self.count(two, 'a')
        await self.wait_for_windows(4)
        self.assertEqual({'a': 2}, self.sum_reported())

    async def test_clock_is_observed_before_accounts_come_into_force(self):
        """A clock that was set long before was wrong for another minute."""
        with mock.patch.object(
            counting.WindowClock, 'observe', autospec=True
        ) as observe:
            await self.start('one')
            await self.wait_until(lambda: observe.called)

    async def test_deployment_without_the_api_writes_no_records(self):
        self.api_address = ''
        self.publish()
        subject = await self.start('one')
        await self.count(subject, 'a')
        await asyncio.sleep(1.0)
        topics = [topic for topic, _ in self.log.list_partitions()]
        self.assertNotIn('keyed.usage', topics)
        self.assertFalse(self.log.list_records('keyed.duties')[1:])
