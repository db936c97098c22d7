"""The scenarios that a phase runs under, by name.

Each is an asynchronous context manager around the steps of a phase. Those
that strike in each step are told of every step that was taken.
"""

import asyncio
import contextlib
import random
import typing

from auburnroad_core import clock
from auburnroad_core import registry
from auburnroad_e2e.bench import clusters
from auburnroad_e2e.bench import plan
from auburnroad_e2e.launch import commands

SLOW_FACTOR = 4.0
ENGINE_DOWN_SECONDS = 0.3
OUTAGE_AFTER_SECONDS = 0.5
OUTAGE_SECONDS = 3.0
CALLS_STOP_SECONDS = 15.0


class Scene:
    """What a scenario works on, and what it notes for the figures.

    Attributes:
      cluster: The deployment.
      phase: The phase.
      load: Sizes and speeds of the session.
      rng: Source of its choices.
      step_taken: Is set whenever a trainer has taken a step.
      outages_ms: Beginning and end of each outage, in Unix milliseconds.
      callers: Names of the callers that were started.
    """

    __slots__ = (
        'cluster',
        'phase',
        'load',
        'rng',
        'step_taken',
        'outages_ms',
        'callers',
    )

    def __init__(
        self,
        cluster: clusters.BenchCluster,
        phase: plan.Phase,
        load: plan.Load,
        rng: random.Random,
    ):
        self.cluster = cluster
        self.phase = phase
        self.load = load
        self.rng = rng
        self.step_taken = asyncio.Event()
        self.outages_ms: list[tuple[int, int]] = []
        self.callers: list[str] = []


Scenario = typing.Callable[[Scene], typing.AsyncContextManager[None]]
SCENARIOS: registry.Registry[Scenario] = registry.Registry('scenario')


@SCENARIOS.register('calm')
@SCENARIOS.register('swaps')
@contextlib.asynccontextmanager
async def run_calm(scene: Scene):
    """Leave all as it is; weights change with each step anyway."""
    yield


@SCENARIOS.register('straggler')
@contextlib.asynccontextmanager
async def run_straggler(scene: Scene):
    """Let one engine take several times as long for everything."""
    name = scene.rng.choice(scene.cluster.list_engines())
    await scene.cluster.fault(name, 'slow', factor=SLOW_FACTOR)
    try:
        yield
    finally:
        await scene.cluster.fault(name, 'none')


@SCENARIOS.register('engine-dies')
@contextlib.asynccontextmanager
async def run_dying(scene: Scene):
    """Kill an engine in each step and start it again a moment later."""
    task = asyncio.create_task(_kill_engines(scene))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for name in scene.cluster.list_engines():
            child = scene.cluster.processes[name]
            if not child.running:
                child.start()
        await scene.cluster.wait_engines()


async def _kill_engines(scene: Scene) -> None:
    while True:
        scene.step_taken.clear()
        name = scene.rng.choice(scene.cluster.list_engines())
        child = scene.cluster.processes[name]
        child.kill()
        await child.wait(ENGINE_DOWN_SECONDS)
        await asyncio.sleep(ENGINE_DOWN_SECONDS)
        child.start()
        await scene.step_taken.wait()


@SCENARIOS.register('log-outage')
@contextlib.asynccontextmanager
async def run_outage(scene: Scene):
    """Take the log service down for a few seconds."""
    task = asyncio.create_task(_interrupt_log(scene))
    try:
        yield
    finally:
        await task


async def _interrupt_log(scene: Scene) -> None:
    await asyncio.sleep(OUTAGE_AFTER_SECONDS)
    begun_ms = clock.time_now_ms()
    await scene.cluster.fault(commands.LOG_SERVICE, 'down')
    await asyncio.sleep(OUTAGE_SECONDS)
    await scene.cluster.fault(commands.LOG_SERVICE, 'none')
    scene.outages_ms.append((begun_ms, clock.time_now_ms()))


@SCENARIOS.register('unloaded')
@SCENARIOS.register('burst')
@SCENARIOS.register('capacity')
@SCENARIOS.register('twice')
@contextlib.asynccontextmanager
async def run_calls(scene: Scene):
    """Let interactive callers come at the phase's rate."""
    name = f'callers-{len(scene.cluster.callers)}'
    child = scene.cluster.start_caller(
        name,
        kinds='completion',
        rate=scene.phase.rate,
        max_tokens=scene.load.call_tokens,
        seed=scene.rng.randrange(1 << 20),
    )
    scene.callers.append(name)
    try:
        yield
    finally:
        child.terminate()
        await child.wait(CALLS_STOP_SECONDS)
