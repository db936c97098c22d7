"""Tests of the usage report of one or two gateways over a log and an API.

Guards against two different reports of a window, a window without a report,
and counts that are missing although their host had recorded them, while the
log service, the API or the holder fails at the worst moment.
"""

import asyncio
import unittest
from unittest import mock

import msgspec

from auburnroad_core.http import client
from auburnroad_gateway.duties import lease
from auburnroad_gateway.duties import platform_calls
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.model import settings
from auburnroad_gateway.usage import counting
from auburnroad_gateway.usage import fold
from auburnroad_gateway.usage import records
from auburnroad_gateway.usage import reporter
from auburnroad_gateway.usage import reports
from auburnroad_gateway.weights import duty
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter
from auburnroad_standins import platform_api

TIMEOUT_SECONDS = 30
LEASE_MS = 400
BOUNDS = settings.Bounds(
    lease_ms=LEASE_MS, thaw_ms=40, report_window_s=0.5, usage_late_s=2.0
)
WINDOW_MS = 500


class Host:
    """All components of one gateway that the report needs."""

    def __init__(self, name, log, address, http_client):
        own = msgspec.structs.replace(
            membership_test.build_settings(name),
            bounds=BOUNDS,
            cloud=settings.Cloud(address, (settings.USAGE_REPORT,)),
        )
        self.members = membership.Membership(own, None)
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.members.presumed_alive_until = float('inf')
        self.duties = duty.Duties(self.members, log, LEASE_MS)
        self.tail = tail.KeyedTail(log, duty.TOPIC, self.duties.apply, 0.0)
        self.caller = platform_calls.DutyCaller(
            own,
            http_client,
            self.duties,
            lease.HolderLease(self.duties, self.tail),
        )
        self.records = records.UsageRecords(own, log, name + '1')
        self.members.incarnation = name + '1'
        self.reporter = reporter.UsageReporter(
            own,
            plain_adapter.PlainAdapter(),
            log,
            self.members,
            self.duties,
            self.caller,
            self.records,
        )
        self.tasks = []

    def start(self):
        self.tasks = [
            asyncio.create_task(work())
            for work in (
                self.tail.run,
                self.caller.run,
                self.caller.watch_suspension,
                self.records.run,
                self.reporter.run,
            )
        ]

    def kill(self):
        for task in self.tasks:
            task.cancel()

    def count(self, account='a'):
        return self.records.counter.note_ran(
            self.records.counter.note_sent(
                account, counting.ClientAttempt(), self.records.find_time_ms()
            )
        )


class UsageReporterTest(unittest.IsolatedAsyncioTestCase):
    """Gateways whose windows last half a second; reports are due in 2 s."""

    async def asyncSetUp(self):
        self.log = partition_log.PartitionLog()
        self.api = platform_api.PlatformApi(fencing=False)
        self.address = await self.api.listen()
        self.addAsyncCleanup(self.api.close)
        self.client = client.HttpClient()
        self.addCleanup(self.client.close)
        self.one = self.build('one')

    async def asyncTearDown(self):
        self.assertEqual(
            [],
            platform_api.find_violations(self.api.calls, LEASE_MS / 1000),
        )

    def build(self, name):
        host = Host(name, self.log, self.address, self.client)
        self.addCleanup(host.kill)
        return host

    def start(self, host):
        host.reporter.note_accounts()
        host.start()
        # The clock may have gone on to the next window since.
        return host.reporter._accounts_since

    def list_fixed(self):
        fixed = reports.FixedReports()
        for record in self.log.list_records(reports.TOPIC):
            key, value = service.decode_keyed(record)
            fixed.apply(service.KeyedRecord(key, value, 0))
        return fixed.reports

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)

    def put_record(self, host, window, final, **counts):
        record = fold.UsageRecord(
            window, {host + '1': fold.Entry(1, final, counts)}
        )
        self.log.put(
            records.TOPIC,
            records.build_key(host, window),
            msgspec.msgpack.encode(record),
        )

    def show(self, host, name):
        """Let a host take another one for alive."""
        heartbeat = membership.Heartbeat(name + '1', 'b:1', False)
        host.members.apply(
            service.KeyedRecord(name, msgspec.msgpack.encode(heartbeat), 0)
        )

    async def test_each_window_is_reported_once_with_its_counts(self):
        first = self.start(self.one)
        for account in ('a', 'b', 'a'):
            self.one.count(account)
        await self.wait_until(lambda: len(self.api.reports) >= 4)
        windows = sorted(self.api.reports)
        self.assertEqual(list(range(first, windows[-1] + 1)), windows)
        total = {}
        for counts in self.api.reports.values():
            for account, count in counts.items():
                total[account] = total.get(account, 0) + count
        self.assertEqual({'a': 2, 'b': 1}, total)
        await self.wait_until(lambda: self.list_fixed()[first].sent)

    async def test_calls_leave_no_idle_connections(self):
        """Each call opens one; 64 of them stayed open until the restart."""
        self.start(self.one)
        await self.wait_until(lambda: len(self.api.reports) >= 2)
        self.one.kill()
        self.assertFalse(self.client._idle[self.address])

    async def test_without_accounts_nothing_is_reported(self):
        self.one.start()
        await self.wait_until(
            lambda: self.one.duties.find_holder(duty.USAGE_KEY)
        )
        await asyncio.sleep(2 * WINDOW_MS / 1000)
        self.assertEqual([], self.api.calls)

    async def test_log_that_is_down_at_the_fixing_delays_the_report(self):
        """Nothing is sent that isn't fixed, and no count is lost."""
        first = self.start(self.one)
        await self.wait_until(lambda: first in self.api.reports)
        self.log.down = True
        known = set(self.list_fixed())
        self.one.count('late')
        await asyncio.sleep(2 * WINDOW_MS / 1000)
        self.assertLessEqual(set(self.api.reports), known)
        self.log.down = False
        await self.wait_until(lambda: {'late': 1} in self.api.reports.values())

    async def test_silent_api_gets_all_waiting_windows_afterwards(self):
        first = self.start(self.one)
        self.api.silent = True
        await self.wait_until(lambda: len(self.list_fixed()) >= 4)
        self.api.silent = False
        await self.wait_until(lambda: len(self.api.reports) >= 4)
        self.assertIn(first, self.api.reports)
        self.assertEqual(
            list(range(first, first + 4)), sorted(self.api.reports)[:4]
        )

    async def test_lost_answer_repeats_the_report_unchanged(self):
        self.api.lose_answers = 1
        first = self.start(self.one)
        self.one.count()
        await self.wait_until(
            lambda: (
                self.list_fixed().get(first) and self.list_fixed()[first].sent
            )
        )
        sent = [call for call in self.api.calls if call.subject == str(first)]
        self.assertEqual([0, 200], [call.status for call in sent])

    async def test_holder_lost_after_fixing_leaves_the_report_to_the_next(
        self,
    ):
        """A record that came later must not change what was fixed."""
        self.api.status = 503
        first = self.start(self.one)
        self.one.count()
        await self.wait_until(
            lambda: any(call.subject == str(first) for call in self.api.calls)
        )
        self.one.kill()
        self.put_record('other', first, True, a=5)
        two = self.build('two')
        self.start(two)
        self.api.status = 0
        await self.wait_until(lambda: first in self.api.reports)
        self.assertEqual(
            {'one', 'two'}, {call.holder for call in self.api.calls}
        )

    async def test_two_holders_fix_a_window_only_once(self):
        """One of them had been suspended and had read nothing since."""
        two = self.build('two')
        for host in (self.one, two):
            await host.reporter._report_tail.catch_up()
        results = [
            await host.reporter._append(reports.FixedReport(7, {'a': number}))
            for number, host in enumerate((self.one, two))
        ]
        self.assertEqual([True, False], results)
        self.assertEqual({'a': 0}, self.list_fixed()[7].counts)

    async def test_unfinished_gateway_is_waited_for_until_the_latest_time(
        self,
    ):
        self.show(self.one, 'other')
        with mock.patch.object(
            reporter.events, 'write', autospec=True
        ) as write:
            first = self.start(self.one)
            self.put_record('other', first, False, a=3)
            await self.wait_until(lambda: first in self.api.reports)
        self.assertEqual(3, self.api.reports[first]['a'])
        written = {
            entry.args[0]: entry.kwargs for entry in write.call_args_list
        }
        self.assertEqual(['other'], written['usage_incomplete']['hosts'])
        self.assertGreaterEqual(written['usage_fixed']['after_ms'], 1000)

    async def test_finished_gateways_are_not_waited_for(self):
        self.show(self.one, 'other')
        with mock.patch.object(
            reporter.events, 'write', autospec=True
        ) as write:
            first = self.start(self.one)
            self.put_record('other', first, True, b=3)
            await self.wait_until(lambda: first in self.api.reports)
        self.assertEqual({'b': 3}, self.api.reports[first])
        written = [entry.args[0] for entry in write.call_args_list]
        self.assertNotIn('usage_incomplete', written)

    async def test_window_before_this_holder_with_counts_is_reported(self):
        """The first holder may start after the first requests ran."""
        before = self.one.records.find_time_ms() // WINDOW_MS - 2
        self.put_record('other', before, True, a=1)
        self.start(self.one)
        await self.wait_until(lambda: before in self.api.reports)
        self.assertEqual({'a': 1}, self.api.reports[before])

    async def test_report_that_is_too_old_is_given_up(self):
        old = self.one.records.find_time_ms() // WINDOW_MS - 20
        for report in (
            reports.FixedReport(old, {'a': 1}),
            reports.FixedReport(old + 19, {'a': 2}),
        ):
            self.log.write(reports.TOPIC, 0, [reports.encode_report(report)])
        with mock.patch.object(
            reporter.events, 'write', autospec=True
        ) as write:
            self.start(self.one)
            await self.wait_until(lambda: old + 19 in self.api.reports)
        self.assertNotIn(old, self.api.reports)
        written = [
            (entry.args[0], entry.kwargs.get('window'))
            for entry in write.call_args_list
        ]
        self.assertIn(('usage_given_up', old), written)

    async def test_report_of_a_clock_that_was_ahead_ends_no_reporting(self):
        """All windows until that of the report were left out."""
        ahead = self.one.records.find_time_ms() // WINDOW_MS + 1000
        await self.log.append(
            reports.TOPIC,
            0,
            [reports.encode_report(reports.FixedReport(ahead, {}, True))],
        )
        first = self.start(self.one)
        await self.wait_until(
            lambda: {first, first + 1, first + 2} <= set(self.list_fixed())
        )
        await self.wait_until(lambda: first + 1 in self.api.reports)

    async def test_first_window_of_a_clock_that_was_ahead_is_corrected(self):
        """Nothing was reported until the time that the clock had shown."""
        self.one.reporter.note_accounts()
        current = self.one.reporter._find_current()
        self.one.reporter._first = current + 1000
        self.one.reporter._find_next(current - 10)
        self.assertLessEqual(self.one.reporter._first, current + 2)


class FixedReportsTest(unittest.TestCase):
    """The reports as read from the log."""

    def test_first_report_of_a_window_stays_and_may_become_sent(self):
        fixed = reports.FixedReports()
        for report in (
            reports.FixedReport(1, {'a': 1}),
            reports.FixedReport(1, {'a': 2}, True),
            reports.FixedReport(1, {'a': 1}),
        ):
            key, value = service.decode_keyed(reports.encode_report(report))
            fixed.apply(service.KeyedRecord(key, value, 0))
        self.assertEqual(
            {1: reports.FixedReport(1, {'a': 1}, True)}, fixed.reports
        )
        self.assertEqual([], fixed.list_unsent(0))

    def test_window_far_ahead_takes_no_other_report_from_what_is_known(self):
        """Its host's clock was wrong. The others were fixed once more."""
        fixed = reports.FixedReports()
        for window in (1000, 10, 11):
            report = reports.FixedReport(window, {})
            key, value = service.decode_keyed(reports.encode_report(report))
            fixed.apply(service.KeyedRecord(key, value, 0))
        self.assertEqual({10, 11, 1000}, set(fixed.reports))
        self.assertEqual(12, fixed.find_next(10, 13))

    def test_as_many_reports_are_kept_as_in_the_topic(self):
        fixed = reports.FixedReports()
        for window in range(100):
            report = reports.FixedReport(window, {})
            key, value = service.decode_keyed(reports.encode_report(report))
            fixed.apply(service.KeyedRecord(key, value, 0))
        self.assertEqual(set(range(68, 100)), set(fixed.reports))

    def test_confirmation_of_a_report_that_was_dropped_changes_nothing(self):
        fixed = reports.FixedReports()
        fixed.note_sent(5)
        self.assertEqual({}, fixed.reports)
