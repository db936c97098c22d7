"""Plays the same seeds on several trees and compares them.

    python -m auburnroad_e2e.paired --bench=PATH --sites=PATH,... \\
      --days=NAME,... --trees=before=REV,after=REV+PATCH --out=DIRECTORY

The first tree is what the others are compared with. Results stay in the
directory: a run that was stopped goes on, and one with more seeds adds to it.
The bench's journal entries stay in the trees, below DIRECTORY/trees.
"""

import asyncio
import itertools
import os
import pathlib
import shlex
import sys

import fire
import msgspec
import tabulate

from auburnroad_e2e import known_red
from auburnroad_e2e.paired import differences
from auburnroad_e2e.paired import plays as all_plays
from auburnroad_e2e.paired import trees as all_trees
from auburnroad_platform import bench_report

# A play keeps about two processors busy, and half of them are to stay free.
PROCESSORS_PER_PLAY = 2


def main(
    bench: str,
    sites: str,
    days: str,
    trees: str,
    out: str,
    seeds: int = 5,
    first: int = 1,
    jobs: int = 0,
    why: str = 'paired plays',
) -> None:
    """Play and compare.

    Args:
      bench: The bench's command line.
      sites: Paths of deployments, with commas.
      days: Names or paths of days, with commas.
      trees: Trees, with commas; see trees.py.
      out: Directory of results.
      seeds: Number of seeds.
      first: First seed.
      jobs: Plays at a time; zero for as many as keep half of the processors
        busy.
      why: Line for the bench's journal.
    """
    results = pathlib.Path(out).resolve()
    built = [all_trees.parse_tree(text) for text in _split(trees)]
    names = [tree.name for tree in built]
    how = all_plays.Bench(
        shlex.split(bench),
        {
            tree.name: all_trees.build_tree(
                tree, known_red.ROOT, results / 'trees'
            )
            for tree in built
        },
        results / 'plays',
        why,
    )
    wanted = [
        all_plays.Play(name, _resolve(site), _resolve(day), seed)
        for seed, site, day, name in itertools.product(
            range(first, first + seeds), _split(sites), _split(days), names
        )
    ]
    jobs = jobs or max(1, (os.cpu_count() or 1) // 2 // PROCESSORS_PER_PLAY)
    failures = []
    asyncio.run(all_plays.run_plays(how, wanted, jobs, failures.append))
    for failure in failures:
        print(f'no report: {failure}', file=sys.stderr)
    found = differences.compare(read_results(how, wanted), names)
    print(format_table(found))
    (results / 'differences.json').write_bytes(
        msgspec.json.format(msgspec.json.encode(found))
    )
    write_plot(found, results / 'differences.png')
    sys.exit(1 if failures else 0)


def read_results(how: all_plays.Bench, wanted) -> differences.Results:
    """Read the reports of the plays that have one."""
    return {
        play: bench_report.decode_report(how.find_report(play).read_bytes())
        for play in wanted
        if how.find_report(play).exists()
    }


def format_table(found: list[differences.Difference]) -> str:
    """Format differences as a table, those of no measure left out."""
    return tabulate.tabulate(
        [
            (
                row.tree,
                row.site,
                row.day,
                row.measure,
                row.pairs,
                f'{row.before:.3f}',
                f'{row.after:.3f}',
                f'{row.low:+.3f} to {row.high:+.3f}',
                row.verdict,
            )
            for row in found
            if row.before or row.after
        ],
        (
            'tree',
            'deployment',
            'day',
            'measure',
            'pairs',
            'before',
            'after',
            'difference, 95 %',
            'verdict',
        ),
    )


def write_plot(
    found: list[differences.Difference], path: pathlib.Path
) -> None:
    """Plot the differences in worth with their intervals."""
    # Takes a while to import, and is of no use to a table.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    rows = [row for row in found if row.measure == 'worth']
    figure, axes = pyplot.subplots(figsize=(7, 1 + 0.35 * len(rows)))
    for number, row in enumerate(rows):
        middle = row.after - row.before
        axes.plot(middle, number, 'o', color='black')
        if row.pairs >= 2:
            axes.plot((row.low, row.high), (number, number), color='black')
    axes.axvline(0.0, color='grey', linewidth=0.8)
    axes.set_yticks(
        range(len(rows)), [f'{row.tree}: {row.site} {row.day}' for row in rows]
    )
    axes.set_xlabel('difference in worth, 95 % interval')
    figure.tight_layout()
    figure.savefig(path)


def _split(text) -> list[str]:
    # Fire parses a text with commas into a tuple.
    return list(text) if isinstance(text, (tuple, list)) else text.split(',')


def _resolve(name: str) -> str:
    """Make a path absolute; names of days stay as they are."""
    path = pathlib.Path(name)
    return str(path.resolve()) if path.suffix else name


if __name__ == '__main__':
    fire.Fire(main)
