"""Sentences in which operators act, through their client."""

import asyncio

import msgspec

from auburnroad_e2e.launch import commands
from auburnroad_e2e.scenario import world as worlds

World = worlds.World

PERCENTS = (10, 20, 30, 40)
CLIENT_SECONDS = 40.0


@worlds.STEPS.register('publish')
async def publish(world: World, operator: str) -> None:
    """Let one operator change an answer and publish it."""
    printed = await _publish(world, operator, None)
    if world.statuses[operator] != 0:
        raise worlds.ScenarioError(f'{operator} was refused: {printed}')


@worlds.STEPS.register('race')
async def race(world: World, operators: tuple[str, ...]) -> None:
    """Let operators publish changes made from the same revision."""
    world.statuses.clear()
    base = world.revision
    await asyncio.gather(
        *(_publish(world, operator, base) for operator in operators)
    )


async def _publish(world: World, operator: str, base: int | None) -> str:
    answers = world.cluster.answers
    tolerances = answers.tolerances
    others = [p for p in PERCENTS if p != tolerances.caller_percent]
    changed = msgspec.structs.replace(
        answers,
        tolerances=msgspec.structs.replace(
            tolerances, caller_percent=world.random.choice(others)
        ),
    )
    path = world.cluster.directory / f'answers-{operator}.json'
    path.write_bytes(msgspec.json.encode(changed))
    arguments = ['publish', f'--file={path}', f'--author={operator}', '--json']
    if base is not None:
        arguments.append(f'--base={base}')
    name = f'operator-{operator}-{len(world.cluster.processes)}'
    child = world.cluster.spawn(name, commands.build_client(tuple(arguments)))
    status = await child.wait(CLIENT_SECONDS)
    world.statuses[operator] = -1 if status is None else status
    printed = child.read_log()
    if status == 0:
        # Progress may have been printed before the document.
        document = printed[printed.index('{') :]
        world.revision = msgspec.json.decode(document)['revision']
    return printed
