"""Runs one scenario from its first sentence to its last."""

import asyncio
import pathlib
import traceback

import msgspec

from auburnroad_core import errors
from auburnroad_e2e import book_files
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
      recovery_ms: For each daemon that was killed, milliseconds until a
        trainer took its next step.
    """

    passed: bool
    seconds: float
    reason: str = ''
    recovery_ms: list[int] = []


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
    seconds = worlds.read_clock() - began
    return Outcome(not reason, seconds, reason, measure_recovery(world))


def measure_recovery(world: worlds.World) -> list[int]:
    """Measure how long trainers waited after each kill of a daemon.

    Args:
      world: A scenario that has ended.

    Returns:
      Milliseconds from each kill to the next step that a trainer took,
      training included.
    """
    if not world.killed_at_ms:
        return []
    taken = [
        event['at_ms']
        for trainer in book_files.read_books(world.cluster).trainers
        for event in trainer.select('taken')
    ]
    return [
        min(at_ms for at_ms in taken if at_ms > killed_ms) - killed_ms
        for killed_ms in world.killed_at_ms
        if any(at_ms > killed_ms for at_ms in taken)
    ]
