"""What is to be measured, as data: tables, sessions and their phases.

A session is one deployment that runs for a while. It goes through phases; in
each one policies and a scenario are in force while the trainers take steps,
so that all rows of a table are measured on the same processes.
"""

import random
import typing

import msgspec

from auburnroad_core import registry
from auburnroad_core.settings import deployment

UNLOADED = 'unloaded'
CALM = 'calm'


class Load(msgspec.Struct, frozen=True):
    """Sizes of the work and speeds of the stand-ins.

    Attributes:
      sample_tokens: Tokens of one sample.
      train_ms: Milliseconds that training on a step takes.
      token_ms: Token step of a single request, in milliseconds.
      batch_slowdown: Growth of that time for each further request.
      prefill_token_ms: Time of each prompt token that isn't cached.
      swap_ms: Milliseconds for which a weight swap stops an engine.
      call_tokens: Tokens of an interactive completion.
      calls_per_second: Interactive completions in a burst.
    """

    sample_tokens: int = 24
    train_ms: int = 100
    token_ms: float = 15.0
    batch_slowdown: float = 0.05
    prefill_token_ms: float = 0.2
    swap_ms: float = 20.0
    call_tokens: int = 8
    calls_per_second: float = 20.0


class Phase(msgspec.Struct, frozen=True):
    """Policies and a scenario that are in force for some steps.

    Attributes:
      row: Row of the table that the phase belongs to.
      scenario: Name in the registry of scenarios.
      policies: Policies in force.
      steps: Steps of each trainer that are measured.
      rate: Interactive calls a second, for scenarios with calls.
    """

    row: str
    scenario: str
    policies: deployment.Policies
    steps: int = 3
    rate: float = 0.0


class Session(msgspec.Struct, frozen=True):
    """One deployment and the phases that it goes through.

    Attributes:
      table: Table that it belongs to.
      deployment: Name of the shipped answers.
      seed: Seed of all choices.
      phases: The phases in order.
      load: Sizes and speeds.
      second_trainer: Whether a second trainer shares the engines.
      queue: Requests that wait for each replica at most; 0 for as shipped.
    """

    table: str
    deployment: str
    seed: int
    phases: list[Phase]
    load: Load = Load()
    second_trainer: bool = False
    queue: int = 0


# Builds the sessions of one seed; its docstring is the table's title.
Table = typing.Callable[[int], list[Session]]
TABLES: registry.Registry[Table] = registry.Registry('table')


def shuffle(phases: list[Phase], seed: int) -> list[Phase]:
    """Put phases into another order for each seed.

    Args:
      phases: Phases in the table's order.
      seed: Seed of the session.

    Returns:
      The same phases, so that none always follows the same one.
    """
    return random.Random(seed).sample(phases, len(phases))
