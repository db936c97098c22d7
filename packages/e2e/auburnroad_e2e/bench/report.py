"""Prints tables and writes the raw figures that the pages quote."""

import pathlib
import statistics

import msgspec

from auburnroad_e2e.bench import figures
from auburnroad_e2e.bench import plan

P99 = 0.99


class Cell(msgspec.Struct):
    """One row under one scenario, over all seeds.

    Attributes:
      row: Row of the table.
      scenario: Scenario's name.
      idle_ms: Median, lowest and highest mean idle time of a step.
      bound_ms: Median of the least idle time.
      ratio: Median, lowest and highest idle time by the bound.
      staleness: Median of the mean staleness.
      stale: Samples over their bound, all seeds together.
      calls: Interactive calls, all seeds together.
      call_p50_ms: Median latency of interactive calls.
      call_p99_ms: 99th percentile of it.
      goodput: Median of the good answers a second.
      refused: Tries that were refused, all seeds together.
      failed: Seeds without figures.
    """

    row: str
    scenario: str
    idle_ms: tuple[float, float, float]
    bound_ms: float
    ratio: tuple[float, float, float]
    staleness: float
    stale: int
    calls: int
    call_p50_ms: float
    call_p99_ms: float
    goodput: float
    refused: int
    failed: int


class Result(msgspec.Struct):
    """One table of one deployment.

    Attributes:
      table: Table's name.
      deployment: Deployment's name.
      title: What the table shows.
      cells: Its cells.
      broken: Promises that the books show to be broken.
      measures: The raw figures.
    """

    table: str
    deployment: str
    title: str
    cells: list[Cell]
    broken: list[str]
    measures: list[figures.Measure]


class Report(msgspec.Struct):
    """All tables of one run, as they are written to the file.

    Attributes:
      at_ms: Unix milliseconds of the run's beginning.
      seeds: Number of seeds.
      seconds: How long the run took.
      load_average: Load average of the machine before the run and after it.
      tables: The tables.
    """

    at_ms: int
    seeds: int
    seconds: float
    load_average: tuple[float, float]
    tables: list[Result]


def build_results(measures: list[figures.Measure]) -> list[Result]:
    """Group measures into tables.

    Args:
      measures: Measures of all phases and seeds.

    Returns:
      The tables, in the order of the first measures.
    """
    keys = list(dict.fromkeys((m.table, m.deployment) for m in measures))
    results = []
    for table, deployment in keys:
        own = [
            m
            for m in measures
            if (m.table, m.deployment) == (table, deployment)
        ]
        title = plan.TABLES.get(table).__doc__.splitlines()[0]
        broken = [text for m in own for text in m.broken]
        results.append(
            Result(table, deployment, title, _build_cells(own), broken, own)
        )
    return results


def _build_cells(measures) -> list[Cell]:
    rows = sorted({m.row for m in measures})
    return [
        _build_cell(row, scenario, own)
        for scenario in figures.select_scenarios(measures)
        for row in rows
        if (own := _select(measures, row, scenario))
    ]


def _select(measures, row: str, scenario: str) -> list[figures.Measure]:
    return [m for m in measures if (m.row, m.scenario) == (row, scenario)]


def _build_cell(row: str, scenario: str, measures) -> Cell:
    whole = [m for m in measures if not m.failed]
    calls = [latency for m in whole for latency in m.calls_ms]
    return Cell(
        row,
        scenario,
        _spread([m.idle_mean_ms for m in whole if m.idle_ms]),
        _median([m.bound_ms for m in whole]),
        _spread([m.idle_ratio for m in whole if m.idle_ms]),
        _median([m.staleness for m in whole]),
        sum(m.stale for m in whole),
        len(calls),
        percentile(calls, 0.5),
        percentile(calls, P99),
        _median([m.goodput for m in whole]),
        sum(m.refused for m in whole),
        len(measures) - len(whole),
    )


def percentile(values: list[int], share: float) -> float:
    """Find a percentile.

    Args:
      values: The values.
      share: Share of the values that are at most as high.

    Returns:
      The value, zero when there are none.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(len(ordered) * share))])


def _median(values: list[float]) -> float:
    return round(statistics.median(values), 3) if values else 0.0


def _spread(values: list[float]) -> tuple[float, float, float]:
    if not values:
        return 0.0, 0.0, 0.0
    return _median(values), round(min(values), 3), round(max(values), 3)


def render(result: Result) -> str:
    """Render a table as Markdown, as the page quotes it.

    Args:
      result: The table.

    Returns:
      Lines of text.
    """
    calls = any(cell.calls for cell in result.cells)
    head = ['scenario', 'policy', 'idle ms a step', 'bound ms', 'idle/bound']
    head += ['staleness', 'over bound']
    if calls:
        head += ['calls', 'p50 ms', 'p99 ms', 'good/s', 'refused']
    lines = [
        f'{result.table} ({result.deployment}): {result.title}',
        '',
        _render_line(head),
        _render_line(['---'] * len(head)),
    ]
    for cell in result.cells:
        lines.append(_render_line(_list_fields(cell, calls)))
    for text in sorted(set(result.broken))[:10]:
        lines.append(f'broken: {text}')
    return '\n'.join(lines) + '\n'


def _list_fields(cell: Cell, calls: bool) -> list[str]:
    idle, low, high = cell.idle_ms
    ratio, ratio_low, ratio_high = cell.ratio
    row = f'{cell.row} ({cell.failed} failed)' if cell.failed else cell.row
    fields = [
        cell.scenario,
        row,
        f'{idle:.0f} ({low:.0f} to {high:.0f})',
        f'{cell.bound_ms:.0f}',
        f'{ratio:.2f} ({ratio_low:.2f} to {ratio_high:.2f})',
        f'{cell.staleness:.2f}',
        str(cell.stale),
    ]
    if calls:
        fields += [
            str(cell.calls),
            f'{cell.call_p50_ms:.0f}',
            f'{cell.call_p99_ms:.0f}',
            f'{cell.goodput:.1f}',
            str(cell.refused),
        ]
    return fields


def _render_line(fields: list[str]) -> str:
    return '| ' + ' | '.join(fields) + ' |'


def write(path: pathlib.Path, report: Report) -> None:
    """Write the raw figures.

    Args:
      path: The file.
      report: All tables.
    """
    data = msgspec.json.format(msgspec.json.encode(report), indent=1)
    path.write_bytes(data + b'\n')
