"""Fixes and sends the usage report while this gateway holds the duty.

The platform takes one report for each window and can't be asked which it has.
A report is therefore fixed in the log before it is sent, and each holder sends
what is fixed there.
"""

import asyncio

from auburnroad_core import clock
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.duties import platform_calls
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import membership
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics
from auburnroad_gateway.usage import fold
from auburnroad_gateway.usage import records
from auburnroad_gateway.usage import reports
from auburnroad_gateway.weights import duty as holding

KEY = holding.USAGE_KEY
POLL_SECONDS = 0.1
READ_PACE_SECONDS = 0.1
READ_TIMEOUT_SECONDS = 0.4
# Time for the calls of a report that waited for a gateway: it is fixed so long
# before it is due, or halfway where windows are due sooner.
SEND_SECONDS = 4.0
# After an outage of the log service, the gateways need this time to record
# what they have counted meanwhile, and more if they are many.
RECOVERY_SECONDS = 1.5
# Time without a successful read of the usage topic that is an outage; a read
# without new records returns after a second.
UNREAD_SECONDS = 2.0
# A report is given up at this multiple of the time in which it is due.
GIVE_UP_FACTOR = 3
MAX_HOSTS_LOGGED = 8


class UsageReporter:
    """Reports the usage while this gateway holds the duty."""

    __slots__ = (
        '_settings',
        '_adapter',
        '_log',
        '_members',
        '_duties',
        '_caller',
        '_records',
        '_accounts_since',
        '_fold',
        '_fixed',
        '_usage_tail',
        '_report_tail',
        '_append_lock',
        '_first',
        '_complete_from',
        '_failing',
    )

    def __init__(
        self,
        settings: gateway_settings.Settings,
        adapter: adapters.Adapter,
        log: service.LogService,
        members: membership.Membership,
        duties: holding.Duties,
        caller: platform_calls.DutyCaller,
        own_records: records.UsageRecords,
    ):
        self._settings = settings
        self._adapter = adapter
        self._log = log
        self._members = members
        self._duties = duties
        self._caller = caller
        self._records = own_records
        # Window in which this gateway first had accounts.
        self._accounts_since: int | None = None
        self._failing = False
        self._append_lock = asyncio.Lock()
        self._reset()

    @property
    def _holds_duty(self) -> bool:
        return (
            self._settings.cloud.has_duty(gateway_settings.USAGE_REPORT)
            and self._duties.find_holder(KEY) == self._members.incarnation
        )

    @property
    def _window_ms(self) -> int:
        return self._records.window_ms

    @property
    def _due_ms(self) -> int:
        """Milliseconds after the end of a window until its report is due."""
        return int(self._settings.bounds.usage_late_s * 1000)

    def apply_settings(self, settings: gateway_settings.Settings) -> None:
        """Use changed settings from now on."""
        self._settings = settings

    def note_accounts(self) -> None:
        """Note that the configuration in force has accounts."""
        if self._accounts_since is None:
            self._accounts_since = self._find_current()

    async def run(self) -> None:
        """Report while this gateway holds the duty, until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if not self._holds_duty:
                continue
            self._reset()
            tasks = [
                asyncio.ensure_future(work())
                for work in (
                    self._wait_until_lost,
                    self._usage_tail.run,
                    self._report_tail.run,
                    self._run_fixing,
                    self._run_sending,
                )
            ]
            try:
                done, _ = await asyncio.wait(
                    tasks, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    def _reset(self) -> None:
        """Forget what a former term of this holder has read."""
        self._fold = fold.UsageFold()
        self._fixed = reports.FixedReports()
        self._first: int | None = None
        # Time from which no gateway is behind because of an outage of the log
        # service, in seconds of the boot clock.
        self._complete_from = 0.0
        self._usage_tail = tail.KeyedTail(
            self._log, records.TOPIC, self._apply_usage, READ_PACE_SECONDS
        )
        self._report_tail = tail.KeyedTail(
            self._log, reports.TOPIC, self._fixed.apply, READ_PACE_SECONDS
        )

    def _apply_usage(self, record: service.KeyedRecord) -> None:
        parsed = records.parse_record(record)
        if parsed is not None:
            self._fold.apply(*parsed)

    def _find_current(self) -> int:
        return self._records.find_time_ms() // self._window_ms

    def _find_oldest(self) -> int:
        """Find the first window that is not too old to be reported."""
        age_ms = GIVE_UP_FACTOR * self._due_ms
        return (self._records.find_time_ms() - age_ms) // self._window_ms

    async def _wait_until_lost(self) -> None:
        while self._holds_duty:
            await asyncio.sleep(POLL_SECONDS)

    async def _run_fixing(self) -> None:
        await self._usage_tail.wait_until_loaded()
        await self._report_tail.wait_until_loaded()
        while True:
            self._note_outage()
            oldest = self._find_oldest()
            self._fold.drop_before(oldest)
            window = self._find_next(oldest)
            if window is None or not await self._fix_if_complete(window):
                await asyncio.sleep(POLL_SECONDS)

    def _note_outage(self) -> None:
        now = clock.read_boot_clock_seconds()
        unread_seconds = now - self._usage_tail.read_at
        if self._usage_tail.failing or unread_seconds > UNREAD_SECONDS:
            count = len(self._members.live_gateways)
            self._complete_from = (
                now
                + RECOVERY_SECONDS
                + records.APPEND_PAUSE_PER_GATEWAY_SECONDS * count
            )

    def _find_next(self, oldest: int) -> int | None:
        """Find the next window to fix; windows that are too old are given up.

        Returns:
          The window; None if there is none yet.
        """
        if not self._fixed.reports and self._accounts_since is None:
            return None
        current = self._find_current()
        if self._first is None:
            self._first = self._find_first(oldest, current)
        self._write_given_up(self._first, oldest)
        # A clock that was ahead must not end the reports until its time comes.
        self._first = min(max(self._first, oldest), current)
        return self._fixed.find_next(self._first, current)

    def _find_first(self, oldest: int, current: int) -> int:
        """Find the window with which reports begin.

        Without any report in the log, this is the window in which accounts
        came into force, or the first one in which any gateway has counted a
        request.
        """
        known = self._fixed.reports
        past = [window for window in known if window < current]
        if past:
            return min(past)
        if known:
            # A gateway whose clock was ahead has fixed them.
            return oldest
        return min(
            self._accounts_since,
            self._fold.find_earliest() or self._accounts_since,
        )

    def _write_given_up(self, first: int, oldest: int) -> None:
        """Log the windows without a report from first on, before oldest."""
        known = [
            window
            for window in self._fixed.reports
            if first <= window < oldest
        ]
        count = max(0, oldest - first) - len(known)
        if not count:
            return
        metrics.USAGE_WINDOWS.labels('given_up').inc(count)
        events.write(
            'usage_given_up',
            window=self._fixed.find_next(first, oldest),
            last=next(
                window
                for window in range(oldest - 1, first - 1, -1)
                if window not in known
            ),
            fixed=False,
        )

    async def _fix_if_complete(self, window: int) -> bool:
        """Fix a window if all hosts have closed it, or at the latest time.

        Returns:
          Whether the report is in the log.
        """
        if self._list_unfinished(window) and self._may_wait(window):
            return False
        async with self._append_lock:
            if not await self._read_topics():
                return False
            unfinished = self._list_unfinished(window)
            if window in self._fixed.reports or (
                unfinished and self._may_wait(window)
            ):
                return False
            report = reports.FixedReport(window, self._fold.sum_counts(window))
            if not await self._append(report):
                return False
        self._write_fixed(report, unfinished)
        return True

    def _may_wait(self, window: int) -> bool:
        """Tell whether a window may wait for gateways that are not done."""
        end_ms = (window + 1) * self._window_ms
        reserve_ms = min(SEND_SECONDS * 1000, self._due_ms / 2)
        latest_ms = end_ms + self._due_ms - reserve_ms
        return (
            self._records.find_time_ms() < latest_ms
            or clock.read_boot_clock_seconds() < self._complete_from
        )

    def _list_unfinished(self, window: int) -> list[str]:
        return self._fold.list_unfinished(window, self._members.live_gateways)

    def _write_fixed(self, report, unfinished: list[str]) -> None:
        end_ms = (report.window + 1) * self._window_ms
        events.write(
            'usage_fixed',
            window=report.window,
            after_ms=self._records.find_time_ms() - end_ms,
            accounts=len(report.counts),
            requests=sum(report.counts.values()),
        )
        if unfinished:
            metrics.USAGE_WINDOWS.labels('incomplete').inc()
            events.write(
                'usage_incomplete',
                window=report.window,
                count=len(unfinished),
                hosts=unfinished[:MAX_HOSTS_LOGGED],
            )

    async def _read_topics(self) -> bool:
        """Read both topics to their end."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                await self._usage_tail.catch_up()
                await self._report_tail.catch_up()
        except (service.LogError, TimeoutError) as error:
            self._note_failure(error)
            return False
        return True

    async def _append(self, report: reports.FixedReport) -> bool:
        """Append a report if the topic ends where it was read."""
        try:
            await self._log.append(
                reports.TOPIC,
                0,
                [reports.encode_report(report)],
                expected_end=self._report_tail.next_offset,
            )
            await self._report_tail.catch_up()
        except service.LogError as error:
            # If the record is in the log all the same, the tail returns it.
            self._note_failure(error)
            return False
        self._failing = False
        return True

    def _note_failure(self, error) -> None:
        if not self._failing:
            self._failing = True
            events.write('usage_report_not_written', error=repr(error))

    async def _run_sending(self) -> None:
        await self._report_tail.wait_until_loaded()
        given_up: set[int] = set()
        while True:
            oldest = self._find_oldest()
            for report in self._fixed.list_unsent(0):
                if report.window < oldest and report.window not in given_up:
                    given_up.add(report.window)
                    metrics.USAGE_WINDOWS.labels('given_up').inc()
                    events.write(
                        'usage_given_up', window=report.window, fixed=True
                    )
            given_up.intersection_update(self._fixed.reports)
            unsent = self._fixed.list_unsent(oldest)
            if not unsent or not await self._send(unsent[0]):
                await asyncio.sleep(POLL_SECONDS)

    async def _send(self, report: reports.FixedReport) -> bool:
        def build(holder: str, fence: int):
            return self._adapter.build_usage_call(
                report.window, report.counts, holder, fence
            )

        if not await self._caller.send(KEY, build):
            return False
        end_ms = (report.window + 1) * self._window_ms
        after_ms = self._records.find_time_ms() - end_ms
        late = after_ms > self._due_ms
        metrics.USAGE_WINDOWS.labels('late' if late else 'sent').inc()
        events.write(
            'usage_sent',
            window=report.window,
            after_ms=after_ms,
            late=late,
            fence=self._duties.find_fence(KEY),
        )
        self._fixed.note_sent(report.window)
        async with self._append_lock:
            # Without this record, the next holder repeats the report.
            confirmed = self._fixed.reports.get(report.window)
            if confirmed is not None:
                await self._append(confirmed)
        return True
