"""Command that runs one stand-in as a process.

    python -m auburnroad_standins.main KIND --address=127.0.0.1:0 [--option=..]

It prints 'ready IP:PORT' when it listens and exits at SIGTERM.
"""

import asyncio
import sys

import fire
import msgspec

from auburnroad_core import registry
from auburnroad_standins.engine import service as engine_service
from auburnroad_standins import host_list
from auburnroad_standins import log_service
from auburnroad_standins import plain_service
from auburnroad_standins import serving
from auburnroad_standins import weight_store

# Importing a module registers its kind in serving.KINDS.
MODULES = (
    engine_service,
    host_list,
    log_service,
    plain_service,
    weight_store,
)


def start(kind: str, address: str = '127.0.0.1:0', **options) -> None:
    """Run one stand-in until SIGTERM.

    Args:
      kind: log_service, weight_store, host_list, engine or plain_service.
      address: 'IP:port' to listen on; port 0 selects a free port.
      options: Options of the kind; PROTOCOL.md lists them.
    """
    try:
        asyncio.run(_serve(kind, address, options))
    except (
        registry.UnknownNameError,
        msgspec.ValidationError,
        OSError,
    ) as error:
        sys.exit(f'{kind}: {error}')


async def _serve(kind, address, options) -> None:
    await serving.run(serving.build(kind, options), address)


if __name__ == '__main__':
    fire.Fire(start)
