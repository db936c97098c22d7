"""Measures what grouping of appends costs and saves at the intent gate.

One entry's gate takes non-idempotent requests at a rate, on a log service in
memory that admits a few hundred appends a second. Each request needs two
records: its Intent, which it waits for, and its Result, which it doesn't.
"""

import asyncio
import os
import random
import statistics
import sys

import fire
import msgspec

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import intent_fold
from auburnroad_core.log import tail as tails
from auburnroad_core import types
from auburnroad_daemon.request import intents
from auburnroad_e2e import memory_log

APPENDS_PER_SECOND = 400
RUN_SECONDS = 4.0
RATES = (20, 100, 300)
DEADLINE_MS = 10_000
KEY_LIFE_MS = 3_600_000
SEED = 20261203


class Setting(msgspec.Struct, frozen=True):
    """How an appender groups.

    Attributes:
      name: Name in the results.
      group_ms: How long the first record of a group waits.
      spacing_ms: Least time between two appends.
      group_records: Most records in one append.
    """

    name: str
    group_ms: int
    spacing_ms: int
    group_records: int = appenders.MAX_GROUP_RECORDS


SETTINGS = (
    Setting('one append a record', 0, 0, 1),
    Setting('what waits while appends are under way', 0, 0),
    Setting('5 ms, no spacing', 5, 5),
    Setting('5 ms, 20 ms apart', 5, 20),
    Setting('20 ms', 20, 20),
    Setting('50 ms', 50, 50),
)


class Figures(msgspec.Struct):
    """What one run gave.

    Attributes:
      setting: How the appender grouped.
      rate: Requests a second.
      requests: Requests made.
      held: Requests that were let through.
      appends: Appends tried.
      appends_per_request: Appends for each request.
      p50_ms: Median time until a request was let through, in milliseconds.
      p95_ms: 95th percentile of it.
    """

    setting: Setting
    rate: int
    requests: int
    held: int
    appends: int
    appends_per_request: float
    p50_ms: float
    p95_ms: float


class Report(msgspec.Struct):
    """All runs and what they ran under.

    Attributes:
      appends_per_second: What the log service admits.
      run_seconds: How long requests were made in each run.
      seed: Seed of the arrivals.
      processors: Processors of the machine.
      load_before: Load average of the machine over a minute, before.
      load_after: The same, after.
      runs: The figures.
    """

    appends_per_second: int
    run_seconds: float
    seed: int
    processors: int
    load_before: float
    load_after: float
    runs: list[Figures]


async def measure(setting: Setting, rate: int) -> Figures:
    """Make requests at a rate.

    Args:
      setting: How the appender groups.
      rate: Requests a second.

    Returns:
      The figures.
    """
    log = memory_log.MemoryLog(1.0 / APPENDS_PER_SECOND)
    tail = tails.Tail(log, intent_fold)
    appender = appenders.Appender(
        log, tail, setting.group_ms, setting.spacing_ms, setting.group_records
    )
    gate = intents.IntentGate(appender, tail, 'entry')
    gate.key_life_ms = KEY_LIFE_MS
    tasks = [asyncio.create_task(work.run()) for work in (tail, appender)]
    await tail.wait_up_to_date(clock.time_now_ms() + DEADLINE_MS)
    try:
        waits_ms = await _make_requests(gate, rate)
        await appender.flush(clock.time_now_ms() + DEADLINE_MS)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    held = sorted(wait_ms for wait_ms in waits_ms if wait_ms is not None)
    quantiles = statistics.quantiles(held, n=20)
    return Figures(
        setting,
        rate,
        len(waits_ms),
        len(held),
        log.appends,
        round(log.appends / len(waits_ms), 3),
        round(quantiles[9], 1),
        round(quantiles[18], 1),
    )


async def _make_requests(gate, rate) -> list[float | None]:
    """Make requests that arrive at random, and wait for all of them."""
    arrivals = random.Random(SEED)
    loop = asyncio.get_running_loop()
    end = loop.time() + RUN_SECONDS
    due = loop.time()
    requests = []
    while due < end:
        await asyncio.sleep(due - loop.time())
        requests.append(asyncio.create_task(_request(gate)))
        due += arrivals.expovariate(rate)
    return await asyncio.gather(*requests)


async def _request(gate) -> float | None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    deadline_ms = clock.time_now_ms() + DEADLINE_MS
    admission = await gate.acquire('', 'digest', deadline_ms)
    if not isinstance(admission, intents.Held):
        return None
    wait_ms = (loop.time() - began) * clock.MS_PER_SECOND
    gate.record_result(admission, types.Outcome.RUN, 200)
    return wait_ms


async def measure_all() -> Report:
    """Measure every setting at every rate.

    Returns:
      All figures.
    """
    load_before = os.getloadavg()[0]
    runs = [
        await measure(setting, rate) for rate in RATES for setting in SETTINGS
    ]
    return Report(
        APPENDS_PER_SECOND,
        RUN_SECONDS,
        SEED,
        os.cpu_count() or 0,
        load_before,
        os.getloadavg()[0],
        runs,
    )


def write(file: str = 'docs/measurements/append-grouping.json') -> None:
    """Measure and write the figures.

    Args:
      file: Path of the file to write.
    """
    report = asyncio.run(measure_all())
    os.makedirs(os.path.dirname(file) or '.', exist_ok=True)
    with open(file, 'wb') as output:
        output.write(msgspec.json.format(msgspec.json.encode(report)))
        output.write(b'\n')
    for run in report.runs:
        sys.stdout.write(
            f'{run.rate:4}/s {run.setting.name:40} held {run.held}/'
            f'{run.requests} appends {run.appends_per_request:.3f} '
            f'p50 {run.p50_ms} ms p95 {run.p95_ms} ms\n'
        )


if __name__ == '__main__':
    fire.Fire(write)
