"""Compares trees by the plays that have the same day and seed."""

import collections
import math
import statistics
import warnings

import msgspec
import numpy
from scipy import stats

from auburnroad_e2e.paired import plays as all_plays
from auburnroad_platform import bench_report

CONFIDENCE = 0.95
RESAMPLES = 4000
SEED = 20261204
# Fewer pairs show a fault, never a gain.
MIN_PAIRS = 3
MEAN = 'mean of days'

Results = dict[all_plays.Play, bench_report.PlayResult]


class Difference(msgspec.Struct, frozen=True):
    """What a tree does to a measure, against the first tree.

    Attributes:
      tree: Name of the tree.
      site: Name of the deployment.
      day: Name of the day, or MEAN.
      measure: Name of the measure.
      pairs: Number of seeds that both trees played.
      before: Mean on the first tree.
      after: Mean on this tree.
      low: Lower end of the interval of the mean difference.
      high: Upper end.
    """

    tree: str
    site: str
    day: str
    measure: str
    pairs: int
    before: float
    after: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """Whether the difference may be claimed."""
        if self.pairs < MIN_PAIRS:
            return 'too few seeds'
        if self.low <= 0.0 <= self.high:
            return 'no difference shown'
        return 'higher' if self.low > 0.0 else 'lower'


def compare(results: Results, trees: list[str]) -> list[Difference]:
    """Compare all trees with the first one.

    Args:
      results: Results of plays.
      trees: Names of trees.

    Returns:
      Differences by tree, deployment, day and measure; the mean of a
      deployment's days is that of the seeds that were played on all of them.
    """
    found = []
    for tree in trees[1:]:
        pairs = _find_pairs(results, trees[0], tree)
        for site, days in pairs.items():
            rows = {day: list(seeds.values()) for day, seeds in days.items()}
            if len(days) > 1:
                rows[MEAN] = _average_days(days)
            for day, values in rows.items():
                if values:
                    found += _build_rows(tree, site, day, values)
    return found


def measure(result: bench_report.PlayResult) -> dict[str, float]:
    """List the measures of a play by name."""
    measures = {
        'worth': result.worth,
        'served': result.served,
        'late': result.late,
        'failed': result.failed,
        'refused': result.refused,
        'prices': sum(result.prices.values()),
        'breaches': len(result.breaches),
    }
    if result.cut_runs is not None:
        measures['cut runs'] = result.cut_runs
    return {name: float(value) for name, value in measures.items()}


def find_interval(values: list[float]) -> tuple[float, float]:
    """Find the bootstrap interval of a mean.

    Args:
      values: The sample.

    Returns:
      Lower and upper end; infinite for fewer than two values.
    """
    if len(values) < 2:
        return -math.inf, math.inf
    with warnings.catch_warnings():
        # Equal values have an interval without width.
        warnings.simplefilter('ignore')
        interval = stats.bootstrap(
            (numpy.array(values),),
            numpy.mean,
            confidence_level=CONFIDENCE,
            n_resamples=RESAMPLES,
            method='percentile',
            rng=numpy.random.default_rng(SEED),
        ).confidence_interval
    return float(interval.low), float(interval.high)


def _find_pairs(results: Results, first: str, tree: str):
    """Find the measures of both trees by deployment, day and seed."""
    pairs = collections.defaultdict(lambda: collections.defaultdict(dict))
    for play, result in results.items():
        other = results.get(msgspec.structs.replace(play, tree=tree))
        if play.tree == first and other is not None:
            place = play.place
            pairs[place.parts[1]][place.stem][play.seed] = (
                measure(result),
                measure(other),
            )
    return pairs


def _average_days(days: dict) -> list[tuple[dict, dict]]:
    """Average the measures of each seed that was played on all days."""
    seeds = set.intersection(*(set(seeds) for seeds in days.values()))
    return [
        tuple(
            {
                name: statistics.mean(
                    seeds_of[seed][side].get(name, math.nan)
                    for seeds_of in days.values()
                )
                for name in next(iter(days.values()))[seed][side]
            }
            for side in (0, 1)
        )
        for seed in sorted(seeds)
    ]


def _build_rows(tree, site, day, values) -> list[Difference]:
    rows = []
    for name in values[0][0]:
        before = [first[name] for first, _ in values]
        after = [second.get(name, math.nan) for _, second in values]
        low, high = find_interval(
            [b - a for a, b in zip(before, after, strict=True)]
        )
        rows.append(
            Difference(
                tree,
                site,
                day,
                name,
                len(values),
                statistics.mean(before),
                statistics.mean(after),
                low,
                high,
            )
        )
    return rows
