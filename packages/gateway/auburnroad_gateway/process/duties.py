"""Builds the components of the duties at the platform's API."""

from auburnroad_core.http import client
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.duties import platform_calls
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.weights import duty


class PlatformDuties:
    """The duties at the platform's API, all idle without an address of it.

    Attributes:
      caller: Sends the calls of the duties.
    """

    __slots__ = ('caller',)

    def __init__(
        self,
        settings: gateway_settings.Settings,
        adapter: adapters.Adapter,
        http_client: client.HttpClient,
        duties: duty.Duties,
        duty_tail,
    ):
        self.caller = platform_calls.DutyCaller(
            settings, http_client, duties, duty_tail
        )

    def apply_settings(self, settings: gateway_settings.Settings) -> None:
        """Use changed settings from now on."""
        self.caller.apply_settings(settings)

    def list_background_tasks(self) -> list:
        """List the functions that run until cancelled."""
        return [self.caller.run, self.caller.watch_suspension]
