"""How a trainer behaves, and the prompts that it submits.

The prompts follow from the options alone, so that a trainer that restarts
submits the same ones again.
"""

import random

import msgspec

CONTEXT_WORDS = 200


class Options(msgspec.Struct, frozen=True):
    """How one trainer behaves.

    Attributes:
      name: Trainer's name.
      model: Model whose weights it publishes.
      entries: Addresses of the entries, asked in this order.
      weight_store: Address of the weight store.
      books_file: Path of its books.
      steps: Steps to take; 0 for as many as come until SIGTERM.
      groups: Groups in a step.
      samples: Samples in a group.
      max_tokens: Tokens of a sample.
      train_ms: Milliseconds that training on a step takes.
      versions_per_step: Versions that it publishes after each step.
      wait_seconds: How long an entry may hold the question for a step.
      ask_twice: Whether each step that came is asked for again at another
        entry, to compare the bytes.
      seed: Seed of the prompts.
    """

    name: str
    model: str
    entries: tuple[str, ...]
    weight_store: str
    books_file: str
    steps: int = 5
    groups: int = 4
    samples: int = 2
    max_tokens: int = 24
    train_ms: int = 300
    versions_per_step: int = 1
    wait_seconds: float = 2.0
    ask_twice: bool = False
    seed: int = 1


class Group(msgspec.Struct):
    """A group as it is submitted."""

    name: str
    prompt: str
    max_tokens: int


def build_groups(options: Options, step: int) -> list[Group]:
    """Build the groups of a step.

    Args:
      options: The trainer's options.
      step: Number of the step.

    Returns:
      The groups, the same ones for each call. They share a long context, and
      the last two share their whole prompt.
    """
    rng = random.Random(f'{options.seed}/{options.name}/{step}')
    context = ' '.join(f'w{rng.randrange(9999)}' for _ in range(CONTEXT_WORDS))
    groups = []
    for index in range(options.groups):
        twin = min(index, max(0, options.groups - 2))
        prompt = f'{context} {options.name} step {step} item {twin}'
        groups.append(Group(f'g{index}', prompt, options.max_tokens))
    return groups
