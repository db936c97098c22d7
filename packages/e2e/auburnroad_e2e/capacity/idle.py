"""Cost of control: what idle daemons use, at several sizes.

Three series, each with one size that varies: sides before few entries, more
entries before the same sides, and replicas behind a side. The largest fleet
of the first series also checks what the lines say of it.
"""

import asyncio
import pathlib
import statistics
import tempfile
import time

from auburnroad_e2e.capacity import fleet as fleets
from auburnroad_e2e.capacity import lines
from auburnroad_e2e.capacity import registry
from auburnroad_e2e.capacity import usage
from auburnroad_e2e.launch import loopback

SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 10.0
MEASURED_SIDES = 10
PUBLICATIONS = 5
FEW_ENTRIES = 4
FEW_SIDES = 20
SIDES = (6, 26, 86)
ENTRIES = (2, 4, 10)
REPLICAS = (1, 5, 10)

TARGETS = {'cpu_percent': 1.4, 'rss_mb': 128.0, 'bytes': 3000.0}


async def measure_idle(shape: fleets.Shape) -> dict[str, object]:
    """Measure an idle fleet, then the way of a configuration through it.

    Args:
      shape: Its size.

    Returns:
      Means of entries and of sides, reads of the log service a second, and
      seconds until a publication was in force everywhere.
    """
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleets.Fleet(shape, pathlib.Path(directory))
        try:
            await fleet.start()
            await asyncio.sleep(SETTLE_SECONDS)
            return await _measure_started(fleet)
        finally:
            await fleet.close()


async def _measure_started(fleet) -> dict[str, object]:
    entries = len(fleet.entries)
    daemons = fleet.entries + fleet.sides[:MEASURED_SIDES]
    before = await fleet.read_books(loopback.LOG_PORT)
    began = time.monotonic()
    found = await usage.measure(fleet, daemons, MEASURE_SECONDS)
    after = await fleet.read_books(loopback.LOG_PORT)
    seconds = time.monotonic() - began
    return {
        'entry': usage.build_mean(found[:entries]),
        'side': usage.build_mean(found[entries:]),
        'log_reads_per_second': (after['reads'] - before['reads']) / seconds,
        'publish_seconds': [
            await time_publication(fleet) for _ in range(PUBLICATIONS)
        ],
    }


async def time_publication(fleet: fleets.Fleet) -> float:
    """Publish, and wait until all daemons have the revision in force.

    Args:
      fleet: The running deployment.

    Returns:
      Seconds from the log service's answer until the last daemon was seen to
      have it; asking them takes its time as well.
    """
    revision = await fleet.publish()
    began = time.monotonic()
    left = fleet.daemons
    while left:
        answers = await asyncio.gather(
            *(fleet.get_json(d.http_address, '/status') for d in left)
        )
        left = [
            settings
            for settings, answer in zip(left, answers)
            if answer['revision'] < revision
        ]
    return time.monotonic() - began


def build_lines(
    series: list[tuple[int, usage.Usage]],
) -> dict[str, lines.Line]:
    """Fit a line to each figure of a series.

    Args:
      series: Sizes with what was measured there.

    Returns:
      Line by figure.
    """
    return {
        field: lines.fit_line(
            [(size, getattr(found, field)) for size, found in series]
        )
        for field in usage.Usage.__struct_fields__
    }


@registry.MEASUREMENTS.register('idle')
async def run() -> dict[str, object]:
    """Measure the three series and work the size of the letter out."""
    points = {}
    for sides in SIDES:
        points[FEW_ENTRIES, sides, 1] = None
    for entries in ENTRIES:
        points[entries, FEW_SIDES, 1] = None
    for replicas in REPLICAS:
        points[2, 10, replicas] = None
    for entries, sides, replicas in points:
        shape = fleets.Shape(
            entries=entries, sides=sides, replicas=replicas, engines=2
        )
        points[entries, sides, replicas] = await measure_idle(shape)
        registry.say(
            f'{entries} entries, {sides} sides of {replicas}: '
            f'{points[entries, sides, replicas]}'
        )
    return build_result(points)


def build_result(points: dict) -> dict[str, object]:
    """Build the lines and the extrapolation from measured points.

    Args:
      points: Means by entries, sides and replicas.

    Returns:
      The raw figures, the lines and each role at the letter's size.
    """
    by_sides = [
        (sides, points[FEW_ENTRIES, sides, 1]['entry']) for sides in SIDES
    ]
    by_entries = [(n, points[n, FEW_SIDES, 1]) for n in ENTRIES]
    found = {
        'entry_by_sides': build_lines(by_sides),
        'entry_by_entries': build_lines(
            [(n, point['entry']) for n, point in by_entries]
        ),
        'side_by_entries': build_lines(
            [(n, point['side']) for n, point in by_entries]
        ),
        'side_by_replicas': build_lines(
            [(n, points[2, 10, n]['side']) for n in REPLICAS]
        ),
    }
    reads = lines.fit_line(
        [(n, point['log_reads_per_second']) for n, point in by_entries]
    )
    publication = lines.fit_line(
        [
            (
                FEW_ENTRIES + sides,
                statistics.median(
                    points[FEW_ENTRIES, sides, 1]['publish_seconds']
                ),
            )
            for sides in SIDES
        ]
    )
    return {
        'points': [
            {'entries': e, 'sides': s, 'replicas': r, **found_point}
            for (e, s, r), found_point in points.items()
        ],
        'lines': found,
        'log_reads_per_second': reads,
        'publish_seconds': publication,
        'targets': TARGETS,
        'at_size': {
            'entry': {
                **extrapolate_entry(found),
                # Long host lists are read less often, so this part does not
                # grow any further.
                'http': points[FEW_ENTRIES, SIDES[-1], 1]['entry'].http,
            },
            'side': extrapolate_side(found),
            'log_reads_per_second': reads.compute(registry.ENTRIES),
            'publish_seconds': publication.compute(
                registry.ENTRIES + registry.SIDES
            ),
        },
    }


def extrapolate_entry(found: dict) -> dict[str, float]:
    """Work out an entry among the letter's entries before all its sides."""
    return {
        field: found['entry_by_sides'][field].compute(registry.SIDES)
        + found['entry_by_entries'][field].slope
        * (registry.ENTRIES - FEW_ENTRIES)
        for field in usage.Usage.__struct_fields__
    }


def extrapolate_side(found: dict) -> dict[str, float]:
    """Work out a side behind all entries, with the letter's replicas."""
    return {
        field: found['side_by_entries'][field].compute(registry.ENTRIES)
        + found['side_by_replicas'][field].slope
        * (registry.REPLICAS_PER_SIDE - 1)
        for field in usage.Usage.__struct_fields__
    }
