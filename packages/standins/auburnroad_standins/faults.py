"""Faults that a scenario commands by name.

Each kind of stand-in has a registry of its own, which starts with the faults
that any process can suffer. A command changes the stand-in's state; the
command's own answer is written first, so that the scenario knows it arrived.
"""

import asyncio
import os
import time
import typing

import msgspec

from auburnroad_core import registry

ANSWER_SECONDS = 0.02
CRASH_STATUS = 70


class Command(msgspec.Struct, forbid_unknown_fields=True):
    """A fault with its arguments; each fault reads those it needs.

    Attributes:
      fault: Name of the fault.
      count: How many times it strikes.
      seconds: How long it lasts, in seconds.
      delay_ms: Delay in milliseconds.
      lag_ms: Lag in milliseconds.
      factor: How many times slower.
      stream: Stream's name.
      before: Offset below which records are dropped.
    """

    fault: str
    count: int = 1
    seconds: float = 1.0
    delay_ms: int = 0
    lag_ms: int = 0
    factor: float = 1.0
    stream: str = ''
    before: int = 0


Strike = typing.Callable[[typing.Any, Command], None]


def build_registry(kind: str) -> registry.Registry[Strike]:
    """Build the registry of one kind, with the faults of any process.

    Args:
      kind: Kind of stand-in, for messages.

    Returns:
      The registry, to which the kind adds its own faults.
    """
    commands = registry.Registry(f'{kind} fault')
    commands.register('none')(end_faults)
    commands.register('crash')(crash)
    commands.register('freeze')(freeze)
    return commands


def end_faults(standin, command: Command) -> None:
    """End all faults of a stand-in.

    Args:
      standin: The stand-in.
      command: The command.
    """
    standin.end_faults()


def crash(standin, command: Command) -> None:
    """End the process with no clean-up at all.

    Args:
      standin: The stand-in.
      command: The command.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(ANSWER_SECONDS, os._exit, CRASH_STATUS)


def freeze(standin, command: Command) -> None:
    """Block the whole loop; connections stay open and silent.

    Args:
      standin: The stand-in.
      command: The command; its 'seconds' counts.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(ANSWER_SECONDS, time.sleep, command.seconds)


class Countdown:
    """A fault that strikes a number of times."""

    __slots__ = ('_left',)

    def __init__(self):
        self._left = 0

    def set(self, count: int) -> None:
        """Arm the fault.

        Args:
          count: How many times it strikes from now on.
        """
        self._left = count

    def strike(self) -> bool:
        """Tell whether the fault strikes now, and count it if so.

        Returns:
          True when it strikes.
        """
        if not self._left:
            return False
        self._left -= 1
        return True
