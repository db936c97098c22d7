"""Options of a trainer, and the prompts that it submits.

The prompts depend on the options alone, so a restarted trainer submits the
same prompts.
"""

import random

import msgspec

CONTEXT_WORDS = 200


class Options(msgspec.Struct, frozen=True):
    """Options of one trainer.

    Attributes:
      name: Name of the trainer.
      model: Model whose weights it publishes.
      entries: Addresses of the entries, in the order in which they are tried.
      weight_store: Address of the weight store.
      books_file: Path of the file for its books.
      steps: Number of steps to train; 0 to train until SIGTERM.
      groups: Number of groups in a step.
      samples: Number of samples in a group.
      max_tokens: Number of tokens in a sample.
      train_ms: Training time of a step in milliseconds.
      versions_per_step: Number of weight versions published after each step.
      wait_seconds: Longest time that an entry may hold the request for a
        step, in seconds.
      ask_twice: Whether each received step is read again from another entry,
        to compare the bodies.
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
    """A group of a submitted step; its samples share the prompt."""

    name: str
    prompt: str
    max_tokens: int


def build_groups(options: Options, step: int) -> list[Group]:
    """Build the groups of a step.

    Args:
      options: The trainer's options.
      step: Number of the step.

    Returns:
      The groups, equal for equal arguments. All prompts begin with the same
      long context, and the last two groups have the same prompt.
    """
    rng = random.Random(f'{options.seed}/{options.name}/{step}')
    context = ' '.join(f'w{rng.randrange(9999)}' for _ in range(CONTEXT_WORDS))
    groups = []
    for index in range(options.groups):
        prompt_index = min(index, max(0, options.groups - 2))
        prompt = f'{context} {options.name} step {step} item {prompt_index}'
        groups.append(Group(f'g{index}', prompt, options.max_tokens))
    return groups
