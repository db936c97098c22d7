"""Conditions that a scenario waits for."""

import asyncio

from auburnroad_core.http import client
from auburnroad_e2e.scenario import script
from auburnroad_e2e.scenario import steps
from auburnroad_e2e.scenario import world as worlds
from auburnroad_standins import record_file

World = worlds.World

WAIT_SECONDS = 30.0
POLL_SECONDS = 0.1


@worlds.STEPS.register('wait_until')
async def wait_until(
    world: World, phrase: script.Phrase, seconds: float | None
) -> None:
    """Wait for a condition; a scenario without it fails."""
    condition = worlds.CONDITIONS.get(phrase.name)
    limit = WAIT_SECONDS if seconds is None else seconds
    end = worlds.read_clock() + limit
    while not await condition(world, phrase, *phrase.arguments):
        if worlds.read_clock() > end:
            raise worlds.ScenarioError(
                f'{phrase.name} {phrase.arguments} did not come in {limit:g} s'
            )
        await asyncio.sleep(POLL_SECONDS)


def count_user_events(world: World, name: str, event: str) -> int:
    """Count events in a user's books.

    Args:
      world: The scenario.
      name: User's name.
      event: Event's name.

    Returns:
      How many there are.
    """
    path = world.cluster.books_path(name)
    return worlds.count_events(record_file.read_records(path), event)


@worlds.CONDITIONS.register('steps_taken')
async def has_taken(world: World, phrase, trainer: str, count: int) -> bool:
    """Tell whether a trainer has taken so many steps."""
    return count_user_events(world, trainer, 'taken') >= count


@worlds.CONDITIONS.register('more_steps')
async def has_taken_more(
    world: World, phrase, trainer: str, count: int
) -> bool:
    """Tell whether a trainer has taken so many steps since now."""
    taken = count_user_events(world, trainer, 'taken')
    return taken >= world.marks.setdefault(phrase, taken) + count


@worlds.CONDITIONS.register('more_answers')
async def have_more_answers(world: World, phrase, count: int) -> bool:
    """Tell whether callers had so many answers since now."""
    answered = count_user_events(world, steps.CALLERS, 'answered')
    return answered >= world.marks.setdefault(phrase, answered) + count


@worlds.CONDITIONS.register('is_ready')
async def is_ready(world: World, phrase, process) -> bool:
    """Tell whether a process says that it is ready."""
    name = await world.find(process)
    daemons = [settings.name for settings in world.cluster.daemons]
    target = '/health/ready' if name in daemons else '/health'
    try:
        response = await world.cluster.get(name, target)
    except client.HttpError:
        return False
    return response.status == 200


@worlds.CONDITIONS.register('has_left')
async def has_left(world: World, phrase, process) -> bool:
    """Tell whether a process has ended."""
    return not world.cluster.processes[await world.find(process)].running


@worlds.CONDITIONS.register('in_force')
async def is_in_force(world: World, phrase) -> bool:
    """Tell whether every daemon that runs has the last accepted change."""
    for settings in world.cluster.daemons:
        if not world.cluster.processes[settings.name].running:
            continue
        status = await world.ask_status(settings.name)
        if status.get('revision', -1) < world.revision:
            return False
    return True


@worlds.CONDITIONS.register('users_done')
async def are_done(world: World, phrase) -> bool:
    """Tell whether all users have ended."""
    return not any(
        world.cluster.processes[name].running for name in world.users
    )
