"""Sentences that start, stop and disturb processes."""

import asyncio
import pathlib

from auburnroad_core import clock
from auburnroad_e2e import cluster as clusters
from auburnroad_e2e.launch import commands
from auburnroad_e2e.launch import relay
from auburnroad_e2e.launch import shape
from auburnroad_e2e.scenario import references
from auburnroad_e2e.scenario import world as worlds

World = worlds.World

CALLERS = 'callers'
OPTION_KINDS = {'engine': 'engine', 'plain': 'plain'}
WAYS = {
    None: relay.Direction.BOTH,
    'both ways': relay.Direction.BOTH,
    'towards it': relay.Direction.TO,
    'from it': relay.Direction.FROM,
}


@worlds.STEPS.register('start_deployment')
async def start_deployment(world: World, name: str, settings) -> None:
    """Start a deployment, small and on loopback."""
    engine = {'seed': world.seed}
    plain = {}
    replicas = 1
    lag_ms = 0
    for kind, option, value in settings or ():
        if kind == 'engine':
            engine[option] = value
        elif kind == 'plain':
            plain[option] = value
        elif kind == 'host-list':
            lag_ms = value
        elif option == 'replicas':
            replicas = value
        else:
            raise worlds.ScenarioError(f'unknown setting {option}')
    answers = shape.shrink(shape.load_answers(name), replicas)
    options = commands.Options(engine, plain, lag_ms)
    directory = pathlib.Path(world.directory)
    world.cluster = clusters.Cluster(answers, directory, options)
    await world.cluster.start()


@worlds.STEPS.register('start_trainer')
async def start_trainer(
    world: World, name: str, steps: int, asking, train_ms, stride
) -> None:
    """Start a trainer that takes a number of steps."""
    flags = {'steps': steps, 'seed': world.seed}
    if asking:
        flags['ask_twice'] = True
    if train_ms is not None:
        flags['train_ms'] = train_ms
    if stride is not None:
        flags['versions_per_step'] = stride
    world.cluster.start_trainer(name, **flags)
    world.users.append(name)


@worlds.STEPS.register('run_trainer')
async def run_trainer(
    world: World, name: str, asking, train_ms, stride
) -> None:
    """Start a trainer that takes steps until its end."""
    await start_trainer(world, name, 0, asking, train_ms, stride)


@worlds.STEPS.register('start_callers')
async def start_callers(world: World, rate: int, kinds, try_seconds) -> None:
    """Start interactive callers."""
    flags = {'rate': float(rate), 'seed': world.seed}
    if kinds:
        flags['kinds'] = ','.join(kinds)
    if try_seconds:
        flags['try_seconds'] = try_seconds
    world.cluster.start_caller(CALLERS, **flags)
    world.users.append(CALLERS)


@worlds.STEPS.register('end_users')
async def end_users(world: World) -> None:
    """Let the users end what they began."""
    await world.end_users()


@worlds.STEPS.register('kill')
async def kill(world: World, phrase) -> None:
    """End a process at once."""
    name = await world.find(phrase)
    world.cluster.processes[name].kill()
    world.note_kill(name)
    await world.cluster.processes[name].wait(worlds.STOP_SECONDS)


@worlds.STEPS.register('freeze')
async def freeze(world: World, phrase, seconds) -> None:
    """Pause a process, and let it go on after a time if one is named."""
    name = await world.find(phrase)
    child = world.cluster.processes[name]
    child.freeze()
    if seconds is not None:
        await asyncio.sleep(seconds)
        child.thaw()


@worlds.STEPS.register('thaw')
async def thaw(world: World, phrase) -> None:
    """Let a paused process go on."""
    world.cluster.processes[await world.find(phrase)].thaw()


@worlds.STEPS.register('stop')
async def stop(world: World, phrase) -> None:
    """Ask a process to leave; it may take its time."""
    name = await world.find(phrase)
    world.left_at_ms[name] = clock.time_now_ms()
    world.cluster.processes[name].terminate()


@worlds.STEPS.register('replace')
async def replace(world: World, phrase) -> None:
    """Ask a process to leave, wait for it, and start it again."""
    name = await world.find(phrase)
    child = world.cluster.processes[name]
    child.terminate()
    status = await child.wait(worlds.STOP_SECONDS)
    if status != 0:
        raise worlds.ScenarioError(f'{name} left with status {status}')
    child.start()
    await world.cluster.wait_ready(name)


@worlds.STEPS.register('start_again')
async def start_again(world: World, phrase) -> None:
    """Start a process that has ended."""
    name = await world.find(phrase)
    world.cluster.processes[name].start()


@worlds.STEPS.register('cut')
async def cut(world: World, link) -> None:
    """Break a link and refuse new connections on it."""
    (await references.find_relay(world, link)).cut()


@worlds.STEPS.register('silence')
async def silence(world: World, link, way, lasting) -> None:
    """Let the open connections of a link go silent for good."""
    found = await references.find_relay(world, link)
    found.silence(WAYS[way], lasting is not None)


@worlds.STEPS.register('heal')
async def heal(world: World, link) -> None:
    """Let new connections of a link work."""
    (await references.find_relay(world, link)).heal()


@worlds.STEPS.register('pause')
async def pause(world: World, seconds: float) -> None:
    """Let a time pass."""
    await asyncio.sleep(seconds)
