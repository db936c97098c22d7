"""The ledger of one trainer: its groups, samples and sealed steps.

Owner and copy hold equal ledgers, because both only change them by applying
the same typed changes in the same order. Nothing here does I/O or reads a
clock; whether a sample counts is decided here and nowhere else.
"""

import functools
import math
import typing

import msgspec
import xxhash

from auburnroad_core.log import trainer_fold
from auburnroad_core import types


class Prompt(msgspec.Struct, frozen=True):
    """A group as its trainer submits it.

    Attributes:
      name: Group's name, unique in its step.
      prompt: Text that every sample of the group answers.
      max_tokens: Tokens after which a sample ends.
    """

    name: str
    prompt: str
    max_tokens: int = 64


class Sample(msgspec.Struct):
    """A whole sample.

    Attributes:
      index: Place within its group.
      text: Generated text.
      spans: Weight versions that produced its tokens.
      attempt: Number of the attempt that counts, from 1.
      replica: Replica that generated it.
      request_id: Identity of the request at the side and the engine.
    """

    index: int
    text: str
    spans: list[types.VersionSpan]
    attempt: int
    replica: str
    request_id: str


class Group(msgspec.Struct):
    """A group and what has been generated for it.

    Attributes:
      prompt: The group as submitted.
      step: Step that it was submitted for.
      generation: Generation of that step.
      samples: Whole samples by index.
    """

    prompt: Prompt
    step: int
    generation: int
    samples: dict[int, Sample] = {}

    @property
    def identity(self) -> str:
        """Name under which the log's fold counts the group once."""
        return f'{self.step}/{self.prompt.name}'


class Sealed(msgspec.Struct):
    """Contents of a step, fixed and ready to be handed over.

    Attributes:
      step: Number of the step.
      generation: Generation of the step.
      groups: Names of its own groups and identities of carried ones.
      carried: Identities of groups of earlier steps among them.
      body: What the trainer receives, in bytes.
      digest: Hexadecimal xxh3_128 of the body without the digest itself.
      oldest_version: Lowest weight version of any token.
    """

    step: int
    generation: int
    groups: list[str]
    carried: list[str]
    body: bytes
    digest: str
    oldest_version: int


class AddGroups(msgspec.Struct, tag='groups'):
    """Groups were submitted for a step."""

    step: int
    generation: int
    prompts: list[Prompt]


class AddSample(msgspec.Struct, tag='sample'):
    """A sample of a group is whole."""

    group: str
    sample: Sample


class DropSamples(msgspec.Struct, tag='drop'):
    """Samples of a group are too stale and will be generated anew."""

    group: str
    indices: list[int]


class Prepare(msgspec.Struct, tag='prepare'):
    """Contents of a step are fixed; its seal is about to be appended."""

    sealed: Sealed


class Finish(msgspec.Struct, tag='finish'):
    """A step was taken whole, or given up: what it used up is dropped.

    Attributes:
      step: Number of the step.
      groups: Identities of the groups that are dropped.
    """

    step: int
    groups: list[str]


class SetVersion(msgspec.Struct, tag='version'):
    """The trainer told its weight version."""

    version: int


class Replace(msgspec.Struct, tag='replace'):
    """A whole ledger, for a copy that begins."""

    ledger: 'Ledger'


Change = typing.Union[
    AddGroups, AddSample, DropSamples, Prepare, Finish, SetVersion, Replace
]


class Ledger(msgspec.Struct):
    """Everything that is kept of one trainer.

    Attributes:
      trainer: Trainer's name.
      version: Highest weight version that the trainer told, -1 for none.
      groups: Groups that no sealed step has used up, by identity.
      sealed: Prepared or sealed contents by step.
    """

    trainer: str
    version: int = -1
    groups: dict[str, Group] = {}
    sealed: dict[int, Sealed] = {}

    def find_group(
        self, step: int, generation: int, name: str
    ) -> Group | None:
        """Find a group as submitted for one generation of a step."""
        group = self.groups.get(f'{step}/{name}')
        if group is None or group.generation != generation:
            return None
        return group


class GroupDiffersError(Exception):
    """A group was submitted again with another prompt."""


@functools.singledispatch
def apply(change: Change, ledger: Ledger) -> None:
    """Apply a change to a ledger, in place.

    Args:
      change: The change; applying it twice has the effect of once.
      ledger: The ledger.

    Raises:
      TypeError: If the change is of no known type.
    """
    raise TypeError(f'no change: {change!r}')


@apply.register
def _apply_groups(change: AddGroups, ledger: Ledger) -> None:
    for prompt in change.prompts:
        group = Group(prompt, change.step, change.generation)
        ledger.groups.setdefault(group.identity, group)


@apply.register
def _apply_sample(change: AddSample, ledger: Ledger) -> None:
    group = ledger.groups.get(change.group)
    if group is not None:
        # The first whole and fresh attempt counts; later ones are dropped.
        group.samples.setdefault(change.sample.index, change.sample)


@apply.register
def _apply_drop(change: DropSamples, ledger: Ledger) -> None:
    group = ledger.groups.get(change.group)
    for index in change.indices if group else ():
        group.samples.pop(index, None)


@apply.register
def _apply_prepare(change: Prepare, ledger: Ledger) -> None:
    ledger.sealed[change.sealed.step] = change.sealed


@apply.register
def _apply_finish(change: Finish, ledger: Ledger) -> None:
    ledger.sealed.pop(change.step, None)
    for identity in change.groups:
        ledger.groups.pop(identity, None)


@apply.register
def _apply_version(change: SetVersion, ledger: Ledger) -> None:
    ledger.version = max(ledger.version, change.version)


@apply.register
def _apply_replace(change: Replace, ledger: Ledger) -> None:
    for field in ledger.__struct_fields__:
        setattr(ledger, field, getattr(change.ledger, field))


def find_new_prompts(ledger: Ledger, change: AddGroups) -> list[Prompt]:
    """Find which submitted groups are not known yet.

    Args:
      ledger: The ledger.
      change: The submission.

    Returns:
      Prompts of the unknown groups.

    Raises:
      GroupDiffersError: If a known group has another prompt.
    """
    new = []
    for prompt in change.prompts:
        known = ledger.find_group(change.step, change.generation, prompt.name)
        if known is None:
            new.append(prompt)
        elif known.prompt != prompt:
            raise GroupDiffersError(prompt.name)
    return new


def find_stale_samples(group: Group, oldest_allowed: int) -> list[int]:
    """Find samples of a group that are older than allowed.

    Args:
      group: The group.
      oldest_allowed: Lowest weight version that a token may come from.

    Returns:
      Indices of the samples.
    """
    return [
        index
        for index, sample in group.samples.items()
        if (types.oldest_version(sample.spans) or 0) < oldest_allowed
    ]


def choose_groups(
    ledger: Ledger,
    step: int,
    generation: int,
    samples_per_group: int,
    group_fraction: float,
) -> list[Group] | None:
    """Choose the groups that a step is made of, if there are enough.

    Groups of earlier steps that came late go first, so that they are used
    while they are fresh. A group is whole or not handed over.

    Args:
      ledger: The ledger; its samples are fresh.
      step: Number of the step.
      generation: Generation of the step.
      samples_per_group: Samples that make a group whole.
      group_fraction: Share of the step's groups that is waited for.

    Returns:
      The groups, or None while too few are whole.
    """
    own = [
        g
        for g in ledger.groups.values()
        if g.step == step and g.generation == generation
    ]
    late = [
        g
        for g in ledger.groups.values()
        if step - trainer_fold.CARRY_STEPS <= g.step < step
    ]
    whole = [g for g in late + own if len(g.samples) >= samples_per_group]
    needed = math.ceil(len(own) * group_fraction)
    if not own or len(whole) < needed:
        return None
    return whole[: len(own)]


def build_sealed(
    ledger: Ledger,
    step: int,
    generation: int,
    version: int,
    groups: list[Group],
) -> Sealed:
    """Fix the contents of a step.

    Args:
      ledger: The ledger.
      step: Number of the step.
      generation: Generation of the step.
      version: Trainer's weight version at the seal.
      groups: Groups to hand over, all whole and fresh.

    Returns:
      The contents with the body that the trainer receives.
    """
    samples = [s for group in groups for s in group.samples.values()]
    contents = msgspec.json.encode(
        {
            'trainer': ledger.trainer,
            'step': step,
            'generation': generation,
            'trainer_version': version,
            'groups': [_describe_group(group) for group in groups],
        }
    )
    digest = xxhash.xxh3_128_hexdigest(contents)
    body = contents[:-1] + b',"digest":"' + digest.encode() + b'"}'
    oldest = [types.oldest_version(sample.spans) for sample in samples]
    return Sealed(
        step,
        generation,
        [g.prompt.name if g.step == step else g.identity for g in groups],
        [group.identity for group in groups if group.step != step],
        body,
        digest,
        min((v for v in oldest if v is not None), default=version),
    )


def _describe_group(group: Group) -> dict:
    ordered = sorted(group.samples.values(), key=lambda s: s.index)
    return {
        'name': group.prompt.name,
        'step': group.step,
        'samples': ordered,
    }
