"""Command lines of everything that a deployment on loopback consists of.

Pure functions from answers and options to arguments, so that cluster.py only
starts and signals processes.
"""

import pathlib
import sys

import msgspec

from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_core.settings import daemon

BIN = pathlib.Path(sys.executable).parent
LOG_SERVICE = 'log-service'
WEIGHT_STORE = 'weight-store'
HOST_LIST = 'host-list'
BASE_VERSION = 0


class Options(msgspec.Struct, frozen=True):
    """How the stand-ins behave.

    Attributes:
      engine: Options of each engine, by name.
      plain: Options of each replica of a plain service, by name.
      host_list_lag_ms: Lag of the host list in milliseconds.
    """

    engine: dict[str, object] = {}
    plain: dict[str, object] = {}
    host_list_lag_ms: int = 0


def build_platform(
    answers: answer_types.Answers, options: Options
) -> dict[str, list[str]]:
    """Build the command lines of the platform's stand-ins.

    Args:
      answers: The deployment's answers.
      options: How the stand-ins behave.

    Returns:
      Arguments by process name.
    """
    platform = answers.platform
    lag = {'lag_ms': options.host_list_lag_ms}
    return {
        LOG_SERVICE: _build_standin(
            'log_service', LOG_SERVICE, platform.log_service, {}
        ),
        WEIGHT_STORE: _build_standin(
            'weight_store', WEIGHT_STORE, platform.weight_store, {}
        ),
        HOST_LIST: _build_standin(
            'host_list', HOST_LIST, platform.host_list, lag
        ),
    }


def build_replica(
    answers: answer_types.Answers,
    options: Options,
    replica: daemon.Replica,
    books_path: pathlib.Path,
) -> list[str]:
    """Build the command line of a target's stand-in.

    Args:
      answers: The deployment's answers.
      options: How the stand-ins behave.
      replica: The target.
      books_path: Where it keeps its books.

    Returns:
      The arguments.
    """
    service = next(s for s in answers.services if s.name == replica.service)
    books = {'books_file': books_path}
    if service.kind == 'plain':
        flags = {'service': service.name, **books, **options.plain}
        kind = 'plain_service'
    else:
        models = [service.name] + [
            trainer.model
            for trainer in answers.trainers
            if trainer.service == service.name
        ]
        flags = {
            'service': service.name,
            'slots': service.slots,
            'checks_fencing': service.checks_fencing,
            # The engines start with base weights, as real ones do.
            'versions': {name: BASE_VERSION for name in models},
            **books,
            **options.engine,
        }
        kind = 'engine'
    return _build_standin(kind, replica.name, replica.address, flags)


def build_user(module: str, flags: dict[str, object]) -> list[str]:
    """Build the command line of a trainer or of callers.

    Args:
      module: 'trainer' or 'caller'.
      flags: Options of the stand-in.

    Returns:
      The arguments.
    """
    return [
        sys.executable,
        '-m',
        f'auburnroad_standins.{module}',
        *_build_flags(flags),
    ]


def build_daemon(settings_path: pathlib.Path) -> list[str]:
    """Build the command line of a daemon.

    Args:
      settings_path: Path of its settings.

    Returns:
      The arguments.
    """
    return [str(BIN / 'auburnroadd'), f'--settings={settings_path}']


def build_client(arguments: tuple[str, ...]) -> list[str]:
    """Build a command line of the operators' client.

    Args:
      arguments: What follows the program's name.

    Returns:
      The arguments.
    """
    return [str(BIN / 'auburnroad'), *arguments]


def list_addresses(
    answers: answer_types.Answers, daemons: list[daemon.Daemon]
) -> dict[str, str]:
    """List where every process but the users speaks HTTP.

    Args:
      answers: The deployment's answers.
      daemons: Settings of all daemons.

    Returns:
      'IP number:port' by process name.
    """
    addresses = {
        LOG_SERVICE: answers.platform.log_service,
        WEIGHT_STORE: answers.platform.weight_store,
        HOST_LIST: answers.platform.host_list,
    }
    for settings in daemons:
        addresses[settings.name] = settings.http_address
        for replica in settings.replicas:
            addresses[replica.name] = replica.address
    return addresses


def _build_standin(kind, name, address, flags) -> list[str]:
    return [
        sys.executable,
        '-m',
        'auburnroad_standins.main',
        kind,
        *_build_flags({'address': address, 'name': name, **flags}),
    ]


def _build_flags(flags) -> list[str]:
    return [f'--{name}={value}' for name, value in flags.items()]
