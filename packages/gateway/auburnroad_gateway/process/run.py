"""Runs a gateway process until a planned stop."""

import asyncio
import signal
import typing

import msgspec

from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.process import gateway
from auburnroad_gateway.telemetry import events

# Settings may change without a signal; reading them costs about 1 ms.
RELOAD_INTERVAL_SECONDS = 2.0


def run_gateway(
    settings: gateway_settings.Settings,
    build_adapter: typing.Callable[
        [gateway_settings.Settings], adapters.Adapter
    ],
    load_settings: typing.Callable[[], gateway_settings.Settings],
) -> int:
    """Run a gateway until a planned stop.

    Args:
      settings: Settings of the gateway.
      build_adapter: Builds the adapter of the platform.
      load_settings: Reads the current settings.

    Returns:
      Exit status of the process.
    """
    asyncio.run(_run(settings, build_adapter, load_settings))
    return 0


async def _run(settings, build_adapter, load_settings) -> None:
    events.LOG.open(host=settings.name)
    running_gateway = gateway.Gateway(settings, build_adapter(settings))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, running_gateway.stop)
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    await running_gateway.start()
    events.write(
        'started',
        failure_domain=settings.failure_domain,
        incarnation=running_gateway.incarnation,
    )
    follow_task = asyncio.create_task(
        follow_settings(running_gateway, load_settings, reload_requested)
    )
    await running_gateway.wait_closed()
    follow_task.cancel()


async def follow_settings(
    running_gateway, load_settings, reload_requested: asyncio.Event
) -> None:
    """Reload the settings on a signal and at regular intervals.

    Settings may change without a signal. If the new settings can't be read,
    the current settings stay in force.

    Args:
      running_gateway: Gateway to apply the settings to.
      load_settings: Reads the current settings.
      reload_requested: Set when a signal requests a reload.
    """
    while True:
        try:
            async with asyncio.timeout(RELOAD_INTERVAL_SECONDS):
                await reload_requested.wait()
        except TimeoutError:
            pass
        reload_requested.clear()
        try:
            running_gateway.apply_settings(load_settings())
        except (OSError, msgspec.MsgspecError) as error:
            events.write('settings_invalid', error=str(error))
