"""Runs a gateway until a planned stop."""

import asyncio
import signal
import typing

import msgspec

from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.process import gateway
from auburnroad_gateway.telemetry import events

# Settings may change without a signal; reading them costs a millisecond.
RELOAD_SECONDS = 2.0


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
    asyncio.run(_run(settings, build_adapter, reload))
    return 0


async def _run(settings, build_adapter, reload) -> None:
    events.LOG.open(host=settings.name)
    role = gateway.Gateway(settings, build_adapter(settings))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, role.stop)
    asked = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, asked.set)
    await role.start()
    events.write('started', failure_domain=settings.failure_domain)
    follow = asyncio.create_task(follow_settings(role, reload, asked))
    await role.wait_closed()
    follow.cancel()


async def follow_settings(role, reload, asked: asyncio.Event) -> None:
    """Read the settings again, on a signal and now and then.

    They may change without a signal. Settings that can't be read leave those
    in force.

    Args:
      role: What they are handed to.
      reload: Reads them.
      asked: Set by the signal.
    """
    while True:
        try:
            async with asyncio.timeout(RELOAD_SECONDS):
                await asked.wait()
        except TimeoutError:
            pass
        asked.clear()
        try:
            role.apply_settings(reload())
        except (OSError, msgspec.MsgspecError) as error:
            events.write('settings_invalid', error=str(error))
