"""Runs one scenario from its first sentence to its last."""

import asyncio
import pathlib
import traceback

import msgspec

from auburnroad_core import errors
from auburnroad_e2e.scenario import claims
from auburnroad_e2e.scenario import conditions
from auburnroad_e2e.scenario import fault_steps
from auburnroad_e2e.scenario import operator_steps
from auburnroad_e2e.scenario import script
from auburnroad_e2e.scenario import steps
from auburnroad_e2e.scenario import storm
from auburnroad_e2e.scenario import world as worlds

LIMIT_SECONDS = 150.0

# Importing a module registers its sentences.
MODULES = (claims, conditions, fault_steps, operator_steps, steps, storm)


class Outcome(msgspec.Struct):
    """How a scenario ended.

    Attributes:
      passed: Whether all its claims held.
      seconds: How long it took.
      reason: What went wrong, and in which line.
    """

    passed: bool
    seconds: float
    reason: str = ''


async def run_script(
    scenario: script.Script, directory: pathlib.Path, seed: int
) -> Outcome:
    """Run a scenario with real processes.

    Args:
      scenario: The scenario.
      directory: Where logs and books go.
      seed: Seed of all choices.

    Returns:
      How it ended.
    """
    world = worlds.World(directory, seed)
    began = worlds.read_clock()
    line = 0
    reason = ''
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            for phrase in scenario.steps:
                line = phrase.line
                await worlds.STEPS.get(phrase.name)(world, *phrase.arguments)
    except errors.AuburnroadError as error:
        reason = f'line {line}: {error}'
    except TimeoutError:
        reason = f'line {line}: the time is up'
    except Exception:
        reason = f'line {line}: {traceback.format_exc()}'
    finally:
        await world.close()
    if reason and world.notes:
        reason += f'; struck: {", ".join(world.notes)}'
    return Outcome(not reason, worlds.read_clock() - began, reason)
