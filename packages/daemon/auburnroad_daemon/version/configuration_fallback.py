"""Fetches the first configuration of a side that no entry has contacted.

Usually an entry sends the configuration. A side without a configuration
requests it from the entries in its settings and, if no entry responds, reads
it from the log service.
"""

import asyncio
import typing

from auburnroad_core.log import configuration_fold
from auburnroad_core.log import tail
from auburnroad_core.platform import log_service
from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import brief_stream
from auburnroad_daemon.version import side_configuration

RETRY_INTERVAL_SECONDS = 5.0


async def fetch_until_configured(
    configuration: side_configuration.SideConfiguration,
    log: log_service.LogService,
    peers: list[str],
    build_hello: typing.Callable[[], messages.Hello],
    apply: typing.Callable[[messages.Configuration], None],
) -> None:
    """Fetch the configuration periodically until a revision is in force.

    Args:
      configuration: The configuration in force.
      log: The log service.
      peers: Stream addresses of entries.
      build_hello: Builds the hello message of this side.
      apply: Puts a configuration in force.
    """
    while True:
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        if configuration.deployment is not None:
            return
        found = await ask_peers(peers, build_hello)
        if found is None:
            found = await read_log(log)
        if found is not None:
            apply(found)


async def ask_peers(
    peers: list[str], build_hello: typing.Callable[[], messages.Hello]
) -> messages.Configuration | None:
    """Request the configuration from entries and choose the newest.

    Args:
      peers: Stream addresses of entries.
      build_hello: Builds the hello message of this side.

    Returns:
      The configuration with the highest revision, or None if no entry
      responded.
    """
    newest = None
    for address in peers:
        try:
            answer = await brief_stream.ask(
                address, messages.Configuration, build_hello()
            )
        except (OSError, TimeoutError, codec.WireError):
            continue
        if newest is None or answer.revision > newest.revision:
            newest = answer
    return newest


async def read_log(
    log: log_service.LogService,
) -> messages.Configuration | None:
    """Read the configuration in force from the log service.

    Args:
      log: The log service.

    Returns:
      The configuration, or None if the log has no configuration or the log
      service is unavailable.
    """
    try:
        replay = await tail.read_stream(log, configuration_fold)
    except log_service.LogUnavailableError:
        return None
    state = replay.state
    if state is None or state.revision < 0:
        return None
    return messages.Configuration(state.revision, bytes(state.deployment))
