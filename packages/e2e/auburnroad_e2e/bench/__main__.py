"""Measures the decisions and prints the tables.

    python -m auburnroad_e2e.bench [--only=TABLE] [--seeds=5] [--out=FILE]

Real processes and stand-ins on loopback. A session that fails is shown as
failed; the others' figures stand.
"""

import asyncio
import os
import pathlib
import shutil
import tempfile
import time

import fire

from auburnroad_core import clock
from auburnroad_e2e.bench import figures
from auburnroad_e2e.bench import plan
from auburnroad_e2e.bench import report
from auburnroad_e2e.bench import session as sessions
from auburnroad_e2e.bench import tables

SEED = 20261203
SEEDS = 5
PARALLEL = 3


def build_sessions(name: str, seeds: int) -> list[plan.Session]:
    """Build the sessions of a table.

    Args:
      name: Table's name.
      seeds: Number of seeds.

    Returns:
      The sessions.
    """
    return [
        session
        for seed in range(SEED, SEED + seeds)
        for session in plan.TABLES.get(name)(seed)
    ]


async def measure(
    session: plan.Session, limit: asyncio.Semaphore
) -> list[figures.Measure]:
    """Run a session and build its figures.

    Args:
      session: The session.
      limit: Lets only a few run at a time.

    Returns:
      Its measures, marked as failed if the session failed.
    """
    async with limit:
        directory = pathlib.Path(
            tempfile.mkdtemp(prefix=f'auburnroad-bench-{session.table}-')
        )
        try:
            outcome = await sessions.run_session(session, directory)
        except Exception as error:
            text = f'{type(error).__name__}: {error}'[:300]
            print(f'failed: {session.table} {session.seed}: {text}')
            print(f'  logs and books: {directory}', flush=True)
            return [_build_failed(session, phase) for phase in session.phases]
    measures = figures.build_measures(outcome)
    if any(m.failed or m.broken for m in measures):
        print(f'  logs and books: {directory}', flush=True)
    else:
        shutil.rmtree(directory)
    return measures


def _build_failed(session, phase) -> figures.Measure:
    return figures.Measure(
        session.table,
        session.deployment,
        phase.row,
        phase.scenario,
        session.seed,
        failed='the session failed',
    )


async def measure_all(
    chosen: list[plan.Session], parallel: int
) -> list[figures.Measure]:
    """Run sessions, a few at a time.

    Args:
      chosen: The sessions.
      parallel: How many run at a time.

    Returns:
      All measures.
    """
    limit = asyncio.Semaphore(parallel)
    parts = await asyncio.gather(
        *(measure(session, limit) for session in chosen)
    )
    return [measure for part in parts for measure in part]


def main(
    only: str = '',
    seeds: int = SEEDS,
    out: str = '',
    parallel: int = PARALLEL,
) -> None:
    """Measure and print.

    Args:
      only: Name of the only table to measure.
      seeds: Number of seeds.
      out: File for the raw figures.
      parallel: How many deployments run at a time.
    """
    whole = report.Report(clock.time_now_ms(), seeds, 0.0, (0.0, 0.0), [])
    begun = time.monotonic()
    load = os.getloadavg()[0]
    for name in [only] if only else tables.NAMES:
        chosen = build_sessions(name, seeds)
        measures = asyncio.run(measure_all(chosen, parallel))
        results = report.build_results(measures)
        for result in results:
            print(report.render(result), flush=True)
        whole.tables.extend(results)
        whole.seconds = round(time.monotonic() - begun, 1)
        whole.load_average = (round(load, 1), round(os.getloadavg()[0], 1))
        if out:
            report.write(pathlib.Path(out), whole)
    before, after = whole.load_average
    print(f'{whole.seconds} s, load average {before} before, {after} after')


if __name__ == '__main__':
    fire.Fire(main)
