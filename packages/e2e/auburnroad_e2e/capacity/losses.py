"""What an entry spends while a failure domain is gone.

Half of the sides are killed; the host list goes on naming them, as a lagging
list does. The entries try to reach them again until the list drops them.
"""

import asyncio
import pathlib
import tempfile
import time

from auburnroad_e2e.capacity import fleet as fleets
from auburnroad_e2e.capacity import registry
from auburnroad_e2e.capacity import usage

ENTRIES = 2
SIDES = 24
LIMIT_SECONDS = 20.0
POLL_SECONDS = 0.05
MEASURE_SECONDS = 10.0


@registry.MEASUREMENTS.register('losses')
async def run() -> dict[str, object]:
    """Measure entries before and after the loss of a domain."""
    shape = fleets.Shape(entries=ENTRIES, sides=SIDES, engines=2)
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleets.Fleet(shape, pathlib.Path(directory))
        try:
            await fleet.start()
            before = await _measure(fleet)
            lost = fleet.sides[::2]
            for settings in lost:
                fleet.kill(settings.name)
            seconds = await _wait_noticed(fleet, len(lost))
            after = await _measure(fleet)
        finally:
            await fleet.close()
    growth = after.cpu_percent - before.cpu_percent
    return {
        'entries': ENTRIES,
        'sides': SIDES,
        'lost': len(lost),
        'noticed_seconds': seconds,
        'entry_before': before,
        'entry_after': after,
        'cpu_percent_for_each_lost': growth / len(lost),
    }


async def _measure(fleet) -> usage.Usage:
    found = await usage.measure(fleet, fleet.entries, MEASURE_SECONDS)
    return usage.build_mean(found)


async def _wait_noticed(fleet, lost: int) -> float:
    began = time.monotonic()
    async with asyncio.timeout(LIMIT_SECONDS):
        while await _count_gone(fleet) < lost:
            await asyncio.sleep(POLL_SECONDS)
    return time.monotonic() - began


async def _count_gone(fleet) -> int:
    """Count the sides that every entry knows to be gone."""
    answers = [
        await fleet.get_json(entry.http_address, '/status')
        for entry in fleet.entries
    ]
    return min(
        sum(not host['connected'] for host in answer['hosts'])
        for answer in answers
    )
