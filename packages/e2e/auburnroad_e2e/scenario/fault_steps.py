"""Sentences that command the stand-ins' faults."""

import asyncio

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.platform import host_list
from auburnroad_e2e.scenario import world as worlds

World = worlds.World

SLOW_FACTOR = 4.0


@worlds.STEPS.register('command_fault')
async def command_fault(
    world: World, phrase, fault: str, delay_ms, seconds
) -> None:
    """Let a stand-in be down or slow, for a time if one is named."""
    name = await world.find(phrase)
    arguments = {}
    if fault == 'slow':
        arguments = {'factor': SLOW_FACTOR, 'delay_ms': delay_ms or 0}
    await world.cluster.fault(name, fault, **arguments)
    if seconds is not None:
        await asyncio.sleep(seconds)
        await world.cluster.fault(name, 'none')


@worlds.STEPS.register('end_faults')
async def end_faults(world: World, phrase) -> None:
    """End all faults of a stand-in."""
    await world.cluster.fault(await world.find(phrase), 'none')


@worlds.STEPS.register('lose_answers')
async def lose_answers(world: World, phrase, count: int) -> None:
    """Let the log service lose answers whose append took effect."""
    name = await world.find(phrase)
    await world.cluster.fault(name, 'lose_answers', count=count)


@worlds.STEPS.register('fail_swaps')
async def fail_swaps(world: World, phrase, count: int, halfway) -> None:
    """Let an engine fail its next swaps."""
    name = await world.find(phrase)
    fault = 'swap_half' if halfway else 'swap_fails'
    await world.cluster.fault(name, fault, count=count)


@worlds.STEPS.register('run_and_die')
async def run_and_die(world: World, phrase, count: int) -> None:
    """Let a plain service run calls whose answers are lost."""
    name = await world.find(phrase)
    await world.cluster.fault(name, 'run_then_die', count=count)


@worlds.STEPS.register('truncate')
async def truncate(world: World, phrase, keep: int, stream: str) -> None:
    """Let the log service forget all but the last records of a stream."""
    name = await world.find(phrase)
    target = f'/streams/{stream}/records?from=0&wait_ms=0'
    response = await world.cluster.get(name, target)
    following = msgspec.json.decode(response.body)['next_offset']
    await world.cluster.fault(
        name, 'truncate', stream=stream, before=max(0, following - keep)
    )


@worlds.STEPS.register('late_order')
async def late_order(world: World, phrase, version: int) -> None:
    """Give an engine an order as a former holder would, too late."""
    name = await world.find(phrase)
    cluster = world.cluster
    order = {
        'order': 'load_version',
        'model': cluster.answers.trainers[0].model,
        'version': version,
        'fence': version,
        'source': cluster.answers.platform.weight_store,
        'role': '',
    }
    request = client.build_json_request('POST', '/orders', order)
    await cluster.http.fetch(cluster.address(name), request, 10.0)


@worlds.STEPS.register('say_leaving')
async def say_leaving(world: World, phrase) -> None:
    """Let the host list say, with its lag, that a host leaves."""
    name = await world.find(phrase)
    world.left_at_ms[name] = clock.time_now_ms()
    leaving = {name: host_list.HostState.LEAVING}
    await world.cluster.write_hosts(leaving)


@worlds.STEPS.register('drain')
async def drain(world: World, phrase) -> None:
    """Drain a host with the operators' client."""
    name = await world.find(phrase)
    await world.cluster.run_client(
        'drain', f'--host={name}', f'--answers={world.cluster.answers_path}'
    )
    world.left_at_ms[name] = clock.time_now_ms()
