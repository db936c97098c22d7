"""Faults that a test injects into a stand-in by name.

Each kind of stand-in has its own registry, which includes the faults of any
process. A fault command changes the stand-in's state. Its response is sent
before a crash or freeze begins, so that the test knows that it arrived.
"""

import asyncio
import os
import time
import typing

import msgspec

from auburnroad_core import registry

RESPONSE_DELAY_SECONDS = 0.02
CRASH_STATUS = 70


class Command(msgspec.Struct, forbid_unknown_fields=True):
    """A fault with its arguments; each fault uses only some of them.

    Attributes:
      fault: Name of the fault.
      count: Number of calls that the fault affects.
      seconds: Duration in seconds.
      delay_ms: Delay in milliseconds.
      lag_ms: Lag in milliseconds.
      factor: Multiplier of durations.
      stream: Name of the stream.
      before: Offset of the first record that is kept.
    """

    fault: str
    count: int = 1
    seconds: float = 1.0
    delay_ms: int = 0
    lag_ms: int = 0
    factor: float = 1.0
    stream: str = ''
    before: int = 0


FaultFunction = typing.Callable[[typing.Any, Command], None]


def build_registry(kind: str) -> registry.Registry[FaultFunction]:
    """Build the registry of one kind, with the faults of any process.

    Args:
      kind: Kind of stand-in, for error messages.

    Returns:
      The registry, to which the kind adds its own faults.
    """
    fault_registry = registry.Registry(f'{kind} fault')
    fault_registry.register('none')(end_faults)
    fault_registry.register('crash')(crash)
    fault_registry.register('freeze')(freeze)
    return fault_registry


def end_faults(standin, command: Command) -> None:
    """End all faults of a stand-in.

    Args:
      standin: The stand-in.
      command: The command.
    """
    standin.end_faults()


def crash(standin, command: Command) -> None:
    """Exit the process without any clean-up.

    Args:
      standin: The stand-in.
      command: The command.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(RESPONSE_DELAY_SECONDS, os._exit, CRASH_STATUS)


def freeze(standin, command: Command) -> None:
    """Block the event loop; connections stay open without responses.

    Args:
      standin: The stand-in.
      command: The command, with the duration in 'seconds'.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(RESPONSE_DELAY_SECONDS, time.sleep, command.seconds)


class Countdown:
    """A fault that affects a limited number of calls."""

    __slots__ = ('_remaining',)

    def __init__(self):
        self._remaining = 0

    def set(self, count: int) -> None:
        """Enable the fault for the next calls.

        Args:
          count: Number of calls that the fault affects; 0 disables it.
        """
        self._remaining = count

    def consume(self) -> bool:
        """Apply the fault to one call if any affected calls are left.

        Returns:
          True if the fault affects the call.
        """
        if not self._remaining:
            return False
        self._remaining -= 1
        return True
