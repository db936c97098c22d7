"""Measures slopes with real processes and writes the raw figures.

    python -m auburnroad_e2e.capacity [--only=NAME[,NAME]] [--out=FILE]

Figures of measurements that are left out stay in the file as they are.
"""

import asyncio
import os
import pathlib
import platform
import time

import fire
import msgspec
import psutil

from auburnroad_e2e.capacity import idle
from auburnroad_e2e.capacity import losses
from auburnroad_e2e.capacity import path
from auburnroad_e2e.capacity import registry
from auburnroad_e2e.capacity import steps
from auburnroad_e2e.capacity import weights
from auburnroad_e2e import known_red

OUT = known_red.ROOT / 'docs' / 'measurements' / 'capacity.json'
DEADLINE_SECONDS = 470.0

# Importing a module registers its measurement.
MODULES = (idle, losses, path, steps, weights)


def describe_machine() -> dict[str, object]:
    """Describe the machine and how busy it is, without naming it."""
    return {
        'cores': os.cpu_count(),
        'memory_gb': round(psutil.virtual_memory().total / 2**30),
        'python': platform.python_version(),
        'load_average': os.getloadavg()[0],
    }


async def run(names: list[str], path: pathlib.Path) -> None:
    """Run measurements one after the other, writing after each.

    Args:
      names: Their names.
      path: File of the raw figures.
    """
    figures = {}
    if path.exists():
        figures = msgspec.json.decode(path.read_bytes())
    path.parent.mkdir(parents=True, exist_ok=True)
    async with asyncio.timeout(DEADLINE_SECONDS):
        for name in names:
            registry.say(f'{name} begins')
            began = time.monotonic()
            machine = describe_machine()
            found = await registry.MEASUREMENTS.get(name)()
            figures[name] = {
                'at': time.strftime('%Y-%m-%d %H:%M UTC', time.gmtime()),
                'machine': machine,
                'seconds': time.monotonic() - began,
                **msgspec.to_builtins(found),
            }
            encoded = msgspec.json.encode(round_figures(figures))
            path.write_bytes(msgspec.json.format(encoded, indent=1) + b'\n')


def round_figures(value: object) -> object:
    """Round all fractions to five significant digits."""
    if isinstance(value, float):
        return float(f'{value:.5g}')
    if isinstance(value, dict):
        return {key: round_figures(item) for key, item in value.items()}
    if isinstance(value, list):
        return [round_figures(item) for item in value]
    return value


def main(only: str | tuple = '', out: str = str(OUT)) -> None:
    """Measure.

    Args:
      only: Names of measurements, all when empty.
      out: File of the raw figures.
    """
    names = only.split(',') if isinstance(only, str) and only else list(only)
    names = names or registry.MEASUREMENTS.names
    asyncio.run(run(list(names), pathlib.Path(out)))


if __name__ == '__main__':
    fire.Fire(main)
