"""Cost of a sample on its way from submission to hand-over.

One trainer for each size takes some steps of it. What the owner, the holder
of its copy, the sides and the log service spend is divided by the samples.
"""

import asyncio
import pathlib
import tempfile
import time

import msgspec

from auburnroad_core.http import messages
from auburnroad_e2e.capacity import fleet as fleets
from auburnroad_e2e.capacity import lines
from auburnroad_e2e.capacity import registry
from auburnroad_e2e.capacity import usage
from auburnroad_e2e.launch import loopback

STEP_SAMPLES = (128, 512, 2048)
GROUP_SAMPLES = 8
STEPS = 3
SIDES = 4
MAX_TOKENS = 24
PROMPT_BYTES = 2000
WAIT_SECONDS = 20
TAKE_SECONDS = 60.0
MS_PER_SECOND = 1000


class Cost(msgspec.Struct):
    """What the steps of one size cost.

    Attributes:
      samples: Samples in a step.
      seconds: Time from submission to hand-over, mean over the steps.
      owner_ms: Processor time of the owner for a step.
      holder_ms: Processor time of the holder of the copy for a step.
      sides_ms: Processor time of all sides for a step.
      holder_bytes: Bytes that came to the holder for a step, with the
        heartbeats of that time.
      answer_bytes: Bytes of a step as it was handed over.
      log_appends: Appends for a step.
      log_records: Records for a step.
      owner_rss_mb: Memory of the owner after the steps.
    """

    samples: int
    seconds: float
    owner_ms: float
    holder_ms: float
    sides_ms: float
    holder_bytes: float
    answer_bytes: float
    log_appends: float
    log_records: float
    owner_rss_mb: float


class _Reading(msgspec.Struct):
    at: float
    cpu_seconds: dict[str, float]
    stream_in: float
    log: dict[str, int]


@registry.MEASUREMENTS.register('steps')
async def run() -> dict[str, object]:
    """Measure steps of every size and fit lines."""
    shape = fleets.Shape(
        entries=2,
        sides=SIDES,
        engines=SIDES,
        slots=64,
        engine={
            'token_ms': 5.0,
            'batch_slowdown': 0.0,
            'prefill_token_ms': 0.0,
        },
        trainers={
            _name(samples): samples // GROUP_SAMPLES
            for samples in STEP_SAMPLES
        },
        samples=GROUP_SAMPLES,
    )
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleets.Fleet(shape, pathlib.Path(directory))
        try:
            await fleet.start()
            costs = []
            for samples in STEP_SAMPLES:
                costs.append(await measure_steps(fleet, samples))
                registry.say(str(costs[-1]))
        finally:
            await fleet.close()
    return {
        'max_tokens': MAX_TOKENS,
        'prompt_bytes': PROMPT_BYTES,
        'sides': SIDES,
        'steps': STEPS,
        'costs': costs,
        'lines': {
            field: lines.fit_line(
                [(cost.samples, getattr(cost, field)) for cost in costs]
            )
            for field in Cost.__struct_fields__
            if field != 'samples'
        },
    }


async def measure_steps(fleet: fleets.Fleet, samples: int) -> Cost:
    """Let one trainer take its steps.

    Args:
      fleet: The running deployment; its first entry becomes the owner.
      samples: Samples in a step.

    Returns:
      What a step cost.
    """
    name = _name(samples)
    await fleet.put_json(f'/v1/trainers/{name}/version', {'version': 0})
    before = await _read(fleet)
    answer_bytes = 0
    for step in range(1, STEPS + 1):
        await _submit(fleet, name, step, samples)
        answer_bytes += len(await _take(fleet, name, step))
    after = await _read(fleet)
    return build_cost(samples, before, after, answer_bytes, _rss(fleet))


def build_cost(samples, before, after, answer_bytes, rss_mb) -> Cost:
    """Build the cost of a step from readings around all steps."""

    def spent_ms(prefix: str) -> float:
        seconds = sum(
            after.cpu_seconds[name] - before.cpu_seconds[name]
            for name in after.cpu_seconds
            if name.startswith(prefix)
        )
        return MS_PER_SECOND * seconds / STEPS

    return Cost(
        samples,
        (after.at - before.at) / STEPS,
        spent_ms('entry-0'),
        spent_ms('entry-1'),
        spent_ms('side-'),
        (after.stream_in - before.stream_in) / STEPS,
        answer_bytes / STEPS,
        (after.log['appends'] - before.log['appends']) / STEPS,
        (after.log['records'] - before.log['records']) / STEPS,
        rss_mb,
    )


def _name(samples: int) -> str:
    return f'trainer-{samples}'


def _rss(fleet) -> float:
    memory = fleet.find_process('entry-0').memory_info()
    return memory.rss / usage.MEGABYTE


async def _read(fleet) -> _Reading:
    counters = await fleet.read_metrics(fleet.entries[1])
    return _Reading(
        time.monotonic(),
        {d.name: fleet.read_cpu(d.name) for d in fleet.daemons},
        counters[usage.STREAM_BYTES.format('in')],
        await fleet.read_books(loopback.LOG_PORT),
    )


async def _submit(fleet, name, step, samples) -> None:
    groups = [
        {
            'name': f'g{index}',
            'prompt': f'{name} {step} {index} '.ljust(PROMPT_BYTES, 'x'),
            'max_tokens': MAX_TOKENS,
        }
        for index in range(samples // GROUP_SAMPLES)
    ]
    target = f'/v1/trainers/{name}/steps/{step}/groups'
    response = await fleet.put_json(target, {'version': 0, 'groups': groups})
    if response.status != 200:
        raise RuntimeError(f'{target}: {response.body[-300:]!r}')


async def _take(fleet, name, step) -> bytes:
    request = messages.Request(
        'GET',
        f'/v1/trainers/{name}/steps/{step}?version=0&generation=0',
        {'prefer': f'wait={WAIT_SECONDS}'},
    )
    address = fleet.entries[0].http_address
    async with asyncio.timeout(TAKE_SECONDS):
        while True:
            response = await fleet.http.fetch(address, request, TAKE_SECONDS)
            if response.status == 200:
                return response.body
            if response.status != 503:
                raise RuntimeError(f'step {step}: {response.body[-300:]!r}')
            await asyncio.sleep(fleets.POLL_SECONDS)
