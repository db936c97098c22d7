"""Builds the components of the duties at the platform's API."""

import asyncio

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.duties import lease
from auburnroad_gateway.duties import platform_calls
from auburnroad_gateway.log import service
from auburnroad_gateway.members import membership
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.usage import attempts
from auburnroad_gateway.usage import records
from auburnroad_gateway.usage import reporter
from auburnroad_gateway.weights import duty

POLL_SECONDS = 0.2


class PlatformDuties:
    """The duties at the platform's API, all idle without an address of it.

    Attributes:
      caller: Sends the calls of the duties.
      usage: Counts the attempts of callers' requests at replicas.
    """

    __slots__ = (
        'caller',
        'usage',
        '_settings',
        '_configuration',
        '_records',
        '_reporter',
    )

    def __init__(
        self,
        settings: gateway_settings.Settings,
        adapter: adapters.Adapter,
        http_client: client.HttpClient,
        log: service.LogService,
        members: membership.Membership,
        duties: duty.Duties,
        holder_lease: lease.HolderLease,
        current_configuration: holder.ConfigurationHolder,
    ):
        self._settings = settings
        self._configuration = current_configuration
        self.caller = platform_calls.DutyCaller(
            settings, http_client, duties, holder_lease
        )
        self._records = records.UsageRecords(
            settings, log, members.incarnation, lambda: len(members.alive)
        )
        self.usage = attempts.AttemptCounts(
            self._records.counter,
            self._records.find_time_ms,
            lambda: self._counts_usage,
        )
        self._reporter = reporter.UsageReporter(
            settings, adapter, log, members, duties, self.caller, self._records
        )

    @property
    def _counts_usage(self) -> bool:
        """Whether there is a usage report, and accounts to report."""
        return (
            self._settings.cloud.has_duty(gateway_settings.USAGE_REPORT)
            and self._configuration.has_accounts
        )

    def apply_settings(self, settings: gateway_settings.Settings) -> None:
        """Use changed settings from now on."""
        self._settings = settings
        self.caller.apply_settings(settings)
        self._reporter.apply_settings(settings)

    def list_background_tasks(self) -> list:
        """List the functions that run until cancelled."""
        return [
            self.caller.run,
            self.caller.watch_suspension,
            self._run_records,
            self._reporter.run,
        ]

    async def finish(self) -> None:
        """Record the counts before a planned stop."""
        if self._counts_usage:
            await self._records.finish()

    async def _run_records(self) -> None:
        while not self._counts_usage:
            if self._settings.cloud.has_duty(gateway_settings.USAGE_REPORT):
                self._records.advance(clock.read_boot_clock_seconds())
            await asyncio.sleep(POLL_SECONDS)
        self._reporter.note_accounts()
        await self._records.run()
