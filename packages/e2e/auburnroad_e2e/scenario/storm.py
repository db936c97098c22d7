"""A storm: faults chosen by the seed strike, several at a time.

Each fault ends by itself: what was killed is started again, what was frozen
goes on, and what is down comes back. So a scenario needs no plan of its own to
have any two faults meet.
"""

import asyncio
import contextlib
import typing

from auburnroad_core.http import client
from auburnroad_core import registry
from auburnroad_e2e.launch import commands
from auburnroad_e2e.launch import relay
from auburnroad_e2e.scenario import world as worlds

World = worlds.World
Strike = typing.Callable[[World], typing.Awaitable[None]]

STRIKES: registry.Registry[Strike] = registry.Registry('strike')
MIN_SECONDS = 0.5
MAX_SECONDS = 3.0
LOST_ANSWERS = 3
READY_SECONDS = 20.0
POLL_SECONDS = 0.1


@worlds.STEPS.register('storm')
async def raise_storm(world: World, count: int, at_once: int) -> None:
    """Let faults strike, so many at a time."""
    limit = asyncio.Semaphore(at_once)
    chosen = [world.random.choice(STRIKES.names) for _ in range(count)]

    async def strike(name: str) -> None:
        async with limit:
            world.note(name)
            await STRIKES.get(name)(world)

    # A strike that fails ends the others before the scenario is closed.
    try:
        async with asyncio.TaskGroup() as strikes:
            for name in chosen:
                strikes.create_task(strike(name))
    except BaseExceptionGroup as group:
        raise group.exceptions[0] from group


def _choose(world: World, role: str) -> str:
    """Choose a daemon that runs; entries that suffer are excused."""
    able = [
        name
        for name in worlds.list_daemons(world, role)
        if world.cluster.processes[name].responsive
    ]
    name = world.random.choice(able)
    if role == 'entry':
        world.excused.add(world.cluster.address(name))
    return name


async def _pass_time(world: World) -> None:
    await asyncio.sleep(world.random.uniform(MIN_SECONDS, MAX_SECONDS))


async def _kill(world: World, role: str) -> None:
    name = _choose(world, role)
    child = world.cluster.processes[name]
    child.kill()
    world.note_kill(name)
    await child.wait(worlds.STOP_SECONDS)
    await _pass_time(world)
    child.start()
    end = worlds.read_clock() + READY_SECONDS
    while worlds.read_clock() < end:
        if await world.ask_status(name):
            return
        await asyncio.sleep(POLL_SECONDS)
    raise worlds.ScenarioError(f'{name} did not come back')


async def _freeze(world: World, role: str) -> None:
    child = world.cluster.processes[_choose(world, role)]
    child.freeze()
    await _pass_time(world)
    child.thaw()


@STRIKES.register('entry killed')
async def kill_entry(world: World) -> None:
    """Kill an entry and start it again."""
    await _kill(world, 'entry')


@STRIKES.register('side killed')
async def kill_side(world: World) -> None:
    """Kill a side and start it again."""
    await _kill(world, 'side')


@STRIKES.register('entry frozen')
async def freeze_entry(world: World) -> None:
    """Pause an entry."""
    await _freeze(world, 'entry')


@STRIKES.register('side frozen')
async def freeze_side(world: World) -> None:
    """Pause a side."""
    await _freeze(world, 'side')


@STRIKES.register('streams silent')
async def silence_streams(world: World) -> None:
    """Let the open streams of a daemon go silent for good."""
    role = world.random.choice(('entry', 'side'))
    name = world.random.choice(worlds.list_daemons(world, role))
    way = world.random.choice(list(relay.Direction))
    world.cluster.relays[name].silence(way, lasting=False)
    await _pass_time(world)


@STRIKES.register('log cut off')
async def cut_log(world: World) -> None:
    """Cut an entry off from the log service."""
    name = world.random.choice(worlds.list_daemons(world, 'entry'))
    found = world.cluster.relays[f'{name}/log']
    found.cut()
    await _pass_time(world)
    found.heal()


@STRIKES.register('log down')
async def stop_log(world: World) -> None:
    """Let the log service be down."""
    await world.cluster.fault(commands.LOG_SERVICE, 'down')
    await _pass_time(world)
    await world.cluster.fault(commands.LOG_SERVICE, 'none')


@STRIKES.register('log answers lost')
async def lose_answers(world: World) -> None:
    """Let the log service lose answers after their appends."""
    name = commands.LOG_SERVICE
    await world.cluster.fault(name, 'lose_answers', count=LOST_ANSWERS)
    await _pass_time(world)


@STRIKES.register('engine killed')
async def kill_engine(world: World) -> None:
    """Kill an engine and start it again."""
    child = world.cluster.processes[_choose_engine(world)]
    child.kill()
    await child.wait(worlds.STOP_SECONDS)
    await _pass_time(world)
    child.start()


@STRIKES.register('swap fails halfway')
async def fail_swap(world: World) -> None:
    """Let an engine's next swap fail after the weights were changed."""
    name = _choose_engine(world)
    with contextlib.suppress(client.HttpError):
        # An engine that is being killed can't take the command.
        await world.cluster.fault(name, 'swap_half', count=1)
    await _pass_time(world)


def _choose_engine(world: World) -> str:
    kinds = {s.name: s.kind for s in world.cluster.answers.services}
    engines = [
        replica.name
        for settings in world.cluster.daemons
        for replica in settings.replicas
        if kinds[replica.service] == 'model'
    ]
    return world.random.choice(engines)
