"""The auburnroadd program: reads the settings and runs one role.

All errors in the settings are printed before the role starts. SIGTERM and
SIGINT begin a planned stop, which the role completes by its own deadline.
"""

import asyncio
import importlib
import signal
import sys

from absl import flags
from absl import logging
import fire

from auburnroad_core import errors
from auburnroad_core.settings import check
from auburnroad_core.settings import daemon
from auburnroad_daemon.process import roles

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
ROLE_MODULES = {
    'entry': 'auburnroad_daemon.process.entry',
    'side': 'auburnroad_daemon.process.side',
}
LOG_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


async def run_role(settings: daemon.Daemon) -> None:
    """Run the role named in the settings until its planned stop ends.

    Args:
      settings: Settings of the daemon.

    Raises:
      OSError: If an address of the settings can't be bound.
    """
    importlib.import_module(ROLE_MODULES[settings.role])
    role = roles.ROLES.get(settings.role)(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, role.drain)
    await role.start()
    logging.info('%s: started as %s', settings.name, settings.role)
    await role.wait_closed()
    logging.info('%s: stopped', settings.name)


def run(settings: str) -> None:
    """Run one daemon of auburnroad.

    Args:
      settings: Path of the settings file, JSON with comments.
    """
    try:
        loaded = check.load_file(str(settings), daemon.Daemon)
    except errors.InvalidInputError as error:
        for record in error.records:
            print(record, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LOG_LEVELS[loaded.log_level])
    logging.set_stderrthreshold(LOG_LEVELS[loaded.log_level])
    try:
        asyncio.run(run_role(loaded))
    except OSError as error:
        print(f'{loaded.name}: {error}', file=sys.stderr)
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Run the command-line interface."""
    fire.Fire(run, name='auburnroadd')
