"""Runs one session: starts the deployment, goes through the phases.

What a phase gave is worked out from the users' books afterwards; here only
its time window and what its scenario did are noted.
"""

import asyncio
import pathlib
import random

import msgspec

from auburnroad_e2e.bench import clusters
from auburnroad_e2e.bench import plan
from auburnroad_e2e.bench import scenarios
from auburnroad_e2e.bench import taken
from auburnroad_e2e import book_files
from auburnroad_e2e import book_types

POLL_SECONDS = 0.03
STEP_SECONDS = 20.0
STOP_SECONDS = 15.0
WARM_STEPS = 1
CALLS_SECONDS = 6.0
CALL_SCENARIOS = ('unloaded', 'capacity', 'twice')


class Window(msgspec.Struct):
    """When a phase was measured, and what its scenario did.

    Attributes:
      phase: The phase.
      taken: Events 'taken' of each trainer that bound its measured steps:
        index of the one before the first, and of the last.
      outages_ms: Outages of the log service in Unix milliseconds.
      callers: Names of the callers that ran.
      failed: Why the phase gave no figures; empty when it did.
    """

    phase: plan.Phase
    taken: dict[str, tuple[int, int]] = {}
    outages_ms: list[tuple[int, int]] = []
    callers: list[str] = []
    failed: str = ''


class Outcome(msgspec.Struct):
    """What a session gave.

    Attributes:
      session: The session.
      windows: Its phases' windows.
      books: All books.
      trainers: Settings of its trainers.
      engines: Number of its engines.
      slots: Slots of each engine.
    """

    session: plan.Session
    windows: list[Window]
    books: book_types.Books
    trainers: list
    engines: int
    slots: int


async def run_session(
    session: plan.Session, directory: pathlib.Path
) -> Outcome:
    """Run a session.

    Args:
      session: The session.
      directory: Where its files go.

    Returns:
      What it gave.
    """
    cluster = clusters.BenchCluster(session, directory)
    try:
        await cluster.start()
        windows = await _run_phases(session, cluster)
        books = await book_files.read_all(cluster)
    finally:
        await cluster.close()
    service = cluster.deployment.find_service(
        cluster.deployment.trainers[0].service
    )
    return Outcome(
        session,
        windows,
        books,
        cluster.deployment.trainers,
        len(cluster.list_engines()),
        service.slots_per_replica,
    )


async def _run_phases(session, cluster) -> list[Window]:
    rng = random.Random(f'{session.table}/{session.seed}')
    counters = {
        trainer.name: taken.TakenCounter(cluster.books_path(trainer.name))
        for trainer in cluster.deployment.trainers
    }
    windows = []
    for phase in session.phases:
        scene = scenarios.Scene(cluster, phase, session.load, rng)
        await cluster.change_policies(phase.policies)
        if phase.scenario in CALL_SCENARIOS:
            windows.append(await _run_calls(scene))
        else:
            _start_trainers(session, cluster)
            windows.append(await _run_steps(scene, counters))
    await _stop_trainers(cluster)
    return windows


def _start_trainers(session, cluster) -> None:
    for trainer in cluster.deployment.trainers:
        if trainer.name in cluster.processes:
            continue
        cluster.start_trainer(
            trainer.name,
            steps=0,
            seed=session.seed,
            max_tokens=session.load.sample_tokens,
            train_ms=session.load.train_ms,
        )


async def _stop_trainers(cluster) -> None:
    names = [t.name for t in cluster.deployment.trainers]
    running = [cluster.processes[n] for n in names if n in cluster.processes]
    for child in running:
        child.terminate()
    for child in running:
        await child.wait(STOP_SECONDS)


async def _run_calls(scene: scenarios.Scene) -> Window:
    """Run a phase in which no trainer takes steps."""
    async with scenarios.SCENARIOS.get(scene.phase.scenario)(scene):
        await asyncio.sleep(CALLS_SECONDS)
    return Window(scene.phase, {}, [], scene.callers)


async def _run_steps(scene: scenarios.Scene, counters) -> Window:
    """Run a phase: a step that isn't measured, then those that are."""
    window = Window(scene.phase)
    try:
        async with scenarios.SCENARIOS.get(scene.phase.scenario)(scene):
            first = await _wait_steps(scene, counters, WARM_STEPS)
            last = await _wait_steps(scene, counters, scene.phase.steps)
    except TimeoutError:
        window.failed = 'the steps did not come in time'
        return window
    window.taken = {name: (first[name], last[name]) for name in first}
    window.outages_ms = scene.outages_ms
    window.callers = scene.callers
    return window


async def _wait_steps(
    scene: scenarios.Scene, counters, steps: int
) -> dict[str, int]:
    """Wait until each trainer has taken so many steps more.

    Returns:
      Index of the last of these events by trainer.
    """
    goals = {name: one.count() + steps for name, one in counters.items()}
    known = 0
    async with asyncio.timeout(STEP_SECONDS + STEP_SECONDS * steps / 4):
        while True:
            counts = {name: one.count() for name, one in counters.items()}
            if sum(counts.values()) != known:
                known = sum(counts.values())
                scene.step_taken.set()
            if all(counts[name] >= goals[name] for name in goals):
                return {name: goals[name] - 1 for name in goals}
            await asyncio.sleep(POLL_SECONDS)
