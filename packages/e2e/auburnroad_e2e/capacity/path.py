"""Cost of a request and of a token through entry and side.

The same requests go to the same stand-in engine directly in the same run.
What entry and side spend is their own processor time; a line through answers
of several lengths parts what a request costs from what a token costs.
"""

import asyncio
import pathlib
import statistics
import tempfile
import time

import msgspec

from auburnroad_core.http import client
from auburnroad_e2e.capacity import fleet as fleets
from auburnroad_e2e.capacity import lines
from auburnroad_e2e.capacity import registry

CASE_SECONDS = 3.0
LATENCY_REQUESTS = 100
TIMEOUT_SECONDS = 60.0
MS_PER_SECOND = 1000
US_PER_SECOND = 1_000_000

TARGETS = {'request_ms': 3.0, 'token_us': 60.0, 'added_p50_ms': 5.0}


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of several lengths at one pace.

    Attributes:
      token_ms: Time of a token in the engine, in milliseconds.
      streamed: Whether tokens are wanted as they come.
      callers: Requests at a time.
      lengths: Tokens of an answer.
    """

    token_ms: float
    streamed: bool
    callers: int
    lengths: tuple[int, ...]


SERIES = {
    'streamed, a token each 5 ms': Series(
        token_ms=5.0, streamed=True, callers=32, lengths=(1, 32, 128)
    ),
    'streamed, a token each 50 ms': Series(
        token_ms=50.0, streamed=True, callers=96, lengths=(1, 16, 64)
    ),
    'whole, a token each 5 ms': Series(
        token_ms=5.0, streamed=False, callers=32, lengths=(1, 32, 128)
    ),
    'whole, a token each 50 ms': Series(
        token_ms=50.0, streamed=False, callers=96, lengths=(1, 16, 64)
    ),
}


class Case(msgspec.Struct, frozen=True):
    """One length at one pace, through the path and directly.

    Attributes:
      tokens: Tokens of each answer.
      requests: How many requests were made.
      entry_ms: Processor time of the entry for each request.
      side_ms: Processor time of the side for each request.
      engine_ms: Processor time of the stand-in for each request that came
        through the path, to show what it is compared to.
      direct_engine_ms: The same for each direct request.
    """

    tokens: int
    requests: int
    entry_ms: float
    side_ms: float
    engine_ms: float
    direct_engine_ms: float


@registry.MEASUREMENTS.register('path')
async def run() -> dict[str, object]:
    """Measure every series, and the latency that the path adds."""
    found = {}
    for name, series in SERIES.items():
        found[name] = await measure_series(series)
        registry.say(f'{name}: {found[name]}')
    return {'series': found, 'targets': TARGETS}


async def measure_series(series: Series) -> dict[str, object]:
    """Measure one series.

    Args:
      series: What is asked.

    Returns:
      Its cases, the lines of entry, side and both, and latencies.
    """
    shape = fleets.Shape(
        entries=1,
        sides=1,
        slots=1024,
        engine={
            'token_ms': series.token_ms,
            'batch_slowdown': 0.0,
            'prefill_token_ms': 0.0,
        },
    )
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleets.Fleet(shape, pathlib.Path(directory))
        try:
            await fleet.start()
            await _ask_many(fleet, series, 1, fleet.entries[0].http_address)
            cases = [
                await _measure_case(fleet, series, tokens)
                for tokens in series.lengths
            ]
            latency = await _measure_latency(fleet, series)
        finally:
            await fleet.close()
    return {'cases': cases, **build_lines(cases), **latency}


def build_lines(cases: list[Case]) -> dict[str, object]:
    """Fit lines of cost against length.

    Args:
      cases: The cases of one series.

    Returns:
      What a request and a token cost at the entry, at the side and at both.
    """
    parts = {
        'entry': lambda case: case.entry_ms,
        'side': lambda case: case.side_ms,
        'both': lambda case: case.entry_ms + case.side_ms,
    }
    built = {}
    for part, cost in parts.items():
        line = lines.fit_line([(case.tokens, cost(case)) for case in cases])
        built[part] = {
            'request_ms': line.base,
            'token_us': line.slope * MS_PER_SECOND,
        }
    return built


async def _measure_case(fleet, series, tokens) -> Case:
    names = ('entry-0', 'side-0', 'engine-0')
    before = [fleet.read_cpu(name) for name in names]
    through = fleet.entries[0].http_address
    count = await _ask_many(fleet, series, tokens, through)
    middle = [fleet.read_cpu(name) for name in names]
    direct = fleet.engine_address(0)
    direct_count = await _ask_many(fleet, series, tokens, direct)
    engine_after = fleet.read_cpu('engine-0')
    entry, side, engine = (
        MS_PER_SECOND * (end - start) / count
        for start, end in zip(before, middle)
    )
    direct_engine = MS_PER_SECOND * (engine_after - middle[2]) / direct_count
    return Case(tokens, count, entry, side, engine, direct_engine)


async def _ask_many(fleet, series, tokens, address) -> int:
    """Keep callers busy for a while; return how many answers came."""
    end = time.monotonic() + CASE_SECONDS

    async def call() -> int:
        count = 0
        while time.monotonic() < end:
            await _ask(fleet, series, tokens, address)
            count += 1
        return count

    counts = await asyncio.gather(*(call() for _ in range(series.callers)))
    return sum(counts)


async def _ask(fleet, series, tokens, address) -> None:
    body = {
        'model': fleets.MODEL,
        'prompt': 'a prompt of some length',
        'max_tokens': tokens,
        'stream': series.streamed,
    }
    request = client.build_json_request('POST', '/v1/completions', body)
    response = await fleet.http.fetch(address, request, TIMEOUT_SECONDS)
    # The finish reason comes with the last token, streamed or not.
    if response.status != 200 or b'"length"' not in response.body:
        raise RuntimeError(f'{response.status} {response.body[-300:]!r}')


async def _measure_latency(fleet, series) -> dict[str, float]:
    """Measure single requests in turn, directly and through the path."""
    through, direct = [], []
    for _ in range(LATENCY_REQUESTS):
        for address, found in (
            (fleet.engine_address(0), direct),
            (fleet.entries[0].http_address, through),
        ):
            began = time.monotonic()
            await _ask(fleet, series, 1, address)
            found.append(MS_PER_SECOND * (time.monotonic() - began))
    direct_p50 = statistics.median(direct)
    through_p50 = statistics.median(through)
    return {
        'direct_p50_ms': direct_p50,
        'through_p50_ms': through_p50,
        'added_p50_ms': through_p50 - direct_p50,
    }
