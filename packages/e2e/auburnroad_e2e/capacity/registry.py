"""The measurements by name, and the letter's size that all of them use."""

import time
import typing

from auburnroad_core import registry

ENTRIES = 10
SIDES = 360
REPLICAS = 3500
REPLICAS_PER_SIDE = REPLICAS / SIDES

Measurement = typing.Callable[[], typing.Awaitable[dict[str, object]]]
MEASUREMENTS: registry.Registry[Measurement] = registry.Registry('measurement')


def say(text: str) -> None:
    """Print a line of progress."""
    print(f'{time.strftime("%H:%M:%S")} {text}', flush=True)
