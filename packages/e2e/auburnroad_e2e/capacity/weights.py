"""Time until a weight version is on every host, and what the store reads.

Each side has an engine of its own, since an engine loads a version once for
all replicas that it stands for. The store is slow, so that a second read of
the same weights would show.
"""

import asyncio
import pathlib
import tempfile
import time

from auburnroad_core.http import client
from auburnroad_e2e.capacity import fleet as fleets
from auburnroad_e2e.capacity import lines
from auburnroad_e2e.capacity import registry
from auburnroad_e2e.launch import loopback

HOSTS = (6, 18, 54)
WEIGHT_BYTES = 4_000_000
STORE_BYTES_PER_SECOND = 4_000_000
VERSIONS = 2
LIMIT_SECONDS = 60.0
POLL_SECONDS = 0.05


@registry.MEASUREMENTS.register('weights')
async def run() -> dict[str, object]:
    """Measure the spread of a version at every size."""
    points = []
    for hosts in HOSTS:
        points.extend(await measure_hosts(hosts))
        registry.say(str(points[-1]))
    return {
        'weight_bytes': WEIGHT_BYTES,
        'store_bytes_per_second': STORE_BYTES_PER_SECOND,
        'points': points,
        'seconds_by_hosts': lines.fit_line(
            [(point['hosts'], point['seconds']) for point in points]
        ),
    }


async def measure_hosts(hosts: int) -> list[dict[str, float]]:
    """Publish some versions to a number of hosts.

    Args:
      hosts: How many.

    Returns:
      For each version the seconds until all hosts reported it, and what was
      read from the store.
    """
    shape = fleets.Shape(
        entries=2,
        sides=hosts,
        engines=hosts,
        store_bytes_per_second=STORE_BYTES_PER_SECOND,
    )
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleets.Fleet(shape, pathlib.Path(directory))
        try:
            await fleet.start()
            return [
                await _spread(fleet, version)
                for version in range(1, VERSIONS + 1)
            ]
        finally:
            await fleet.close()


async def _spread(fleet, version: int) -> dict[str, float]:
    store = fleet.platform(loopback.STORE_PORT)
    request = client.build_json_request(
        'PUT', f'/weights/{fleets.MODEL}/{version}'
    )
    request.body = bytes(WEIGHT_BYTES)
    await fleet.http.fetch(store, request, fleets.CALL_SECONDS)
    before = await fleet.read_books(loopback.STORE_PORT)
    target = f'/v1/trainers/{fleets.TRAINER}/version'
    began = time.monotonic()
    await fleet.put_json(target, {'version': version})
    async with asyncio.timeout(LIMIT_SECONDS):
        left = fleet.sides
        while left:
            left = await _find_behind(fleet, left, version)
            await asyncio.sleep(POLL_SECONDS)
    seconds = time.monotonic() - began
    after = await fleet.read_books(loopback.STORE_PORT)
    return {
        'hosts': len(fleet.sides),
        'seconds': seconds,
        'store_reads': after['reads'] - before.get('reads', 0),
        'store_bytes': after['read_bytes'] - before.get('read_bytes', 0),
    }


async def _find_behind(fleet, sides, version) -> list:
    answers = await asyncio.gather(
        *(fleet.get_json(s.http_address, '/status') for s in sides)
    )
    return [
        side
        for side, answer in zip(sides, answers)
        if answer['versions'].get(fleets.MODEL, -1) < version
    ]
