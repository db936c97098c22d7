"""Runs a gateway until a planned stop."""

import asyncio
import signal
import typing

from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.process import gateway
from auburnroad_gateway.telemetry import events


def run_gateway(
    settings: gateway_settings.Settings,
    build_adapter: typing.Callable[
        [gateway_settings.Settings], adapters.Adapter
    ],
    reload: typing.Callable[[], gateway_settings.Settings],
) -> int:
    """Run a gateway.

    Args:
      settings: Its settings.
      build_adapter: Builds the adapter of the platform.
      reload: Reads the settings once more.

    Returns:
      Exit status.
    """
    asyncio.run(_run(settings, build_adapter))
    return 0


async def _run(settings, build_adapter) -> None:
    events.LOG.open(host=settings.name)
    role = gateway.Gateway(settings, build_adapter(settings))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, role.stop)
    loop.add_signal_handler(signal.SIGHUP, _ignore_reload)
    await role.start()
    events.write('started', failure_domain=settings.failure_domain)
    await role.wait_closed()


def _ignore_reload() -> None:
    events.write('settings_reload_asked')
