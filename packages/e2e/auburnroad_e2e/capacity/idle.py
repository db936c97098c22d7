"""Cost of control: what idle daemons use, at several sizes.

Three series, each with one size that varies: sides before few entries, more
entries before the same sides, and replicas behind a side. The largest fleet
of the first series also checks what the lines say of it.
"""

import pathlib
import tempfile

from auburnroad_e2e.capacity import fleet as fleets
from auburnroad_e2e.capacity import lines
from auburnroad_e2e.capacity import registry
from auburnroad_e2e.capacity import usage

SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0
MEASURED_SIDES = 10
FEW_ENTRIES = 4
FEW_SIDES = 20
SIDES = (6, 26, 86)
ENTRIES = (2, 4, 10)
REPLICAS = (1, 5, 10)

TARGETS = {'cpu_percent': 1.4, 'rss_mb': 128.0, 'bytes': 3000.0}


async def measure_idle(shape: fleets.Shape) -> dict[str, usage.Usage]:
    """Measure an idle fleet.

    Args:
      shape: Its size.

    Returns:
      Means of entries and of sides.
    """
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleets.Fleet(shape, pathlib.Path(directory))
        try:
            await fleet.start()
            await registry.settle(SETTLE_SECONDS)
            daemons = fleet.entries + fleet.sides[:MEASURED_SIDES]
            found = await usage.measure(fleet, daemons, MEASURE_SECONDS)
        finally:
            await fleet.close()
    return {
        'entry': usage.build_mean(found[: shape.entries]),
        'side': usage.build_mean(found[shape.entries :]),
    }


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
            f'idle {entries}+{sides}x{replicas}: '
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
    return {
        'points': [
            {'entries': e, 'sides': s, 'replicas': r, **found_point}
            for (e, s, r), found_point in points.items()
        ],
        'lines': found,
        'targets': TARGETS,
        'at_size': {
            'entry': extrapolate_entry(found),
            'side': extrapolate_side(found),
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
