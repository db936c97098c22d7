"""State of one trainer: its groups, samples and sealed steps.

A trainer's owner and the holder of its copy have equal ledgers, because both
modify them only by applying the same typed changes in the same order. This
module does no I/O and reads no clock. Only this module decides which of
several attempts at a sample is kept.
"""

import functools
import math
import typing

import msgspec
import xxhash

from auburnroad_core.log import trainer_fold
from auburnroad_core import types


class Prompt(msgspec.Struct, frozen=True):
    """A group as submitted by its trainer.

    Attributes:
      name: Group's name, unique within its step.
      prompt: Prompt from which every sample of the group is generated.
      max_tokens: Maximum number of generated tokens per sample.
    """

    name: str
    prompt: str
    max_tokens: int = 64


class Sample(msgspec.Struct):
    """A completely generated sample.

    Attributes:
      index: Index within its group.
      text: Generated text.
      spans: Weight versions that produced its tokens.
      attempt: Number of the attempt that generated it, from 1.
      replica: Replica that generated it.
      request_id: Id of the request at the side and the engine.
    """

    index: int
    text: str
    spans: list[types.VersionSpan]
    attempt: int
    replica: str
    request_id: str


class Group(msgspec.Struct):
    """A group and the samples generated for it.

    Attributes:
      prompt: The group as submitted.
      step: Step for which it was submitted.
      generation: Generation of that step; voiding a step increments it.
      samples: Complete samples by index.
    """

    prompt: Prompt
    step: int
    generation: int
    samples: dict[int, Sample] = {}

    @property
    def identity(self) -> str:
        """Identity in the log, whose fold counts each identity once."""
        return f'{self.step}/{self.prompt.name}'


class SealedStep(msgspec.Struct):
    """Contents of a step, fixed and ready for delivery.

    Attributes:
      step: Number of the step.
      generation: Generation of the step.
      groups: Names of its own groups and identities of carried groups.
      carried: Identities of those groups that belong to earlier steps.
      body: Encoded response for the trainer.
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
    """Add groups that were submitted for a step."""

    step: int
    generation: int
    prompts: list[Prompt]


class AddSample(msgspec.Struct, tag='sample'):
    """Add a complete sample to its group."""

    group: str
    sample: Sample


class DropSamples(msgspec.Struct, tag='drop'):
    """Remove samples that are too stale; they are generated again."""

    group: str
    indices: list[int]


class PrepareSeal(msgspec.Struct, tag='prepare'):
    """Fix the contents of a step before its seal is appended to the log."""

    sealed: SealedStep


class FinishStep(msgspec.Struct, tag='finish'):
    """Remove the contents of a step that was delivered, voided or expired.

    Attributes:
      step: Number of the step.
      groups: Identities of the groups to remove.
    """

    step: int
    groups: list[str]


class SetVersion(msgspec.Struct, tag='version'):
    """Record the weight version that the trainer reported."""

    version: int


class ReplaceLedger(msgspec.Struct, tag='replace'):
    """Replace the entire ledger; starts a new copy."""

    ledger: 'Ledger'


Change = typing.Union[
    AddGroups,
    AddSample,
    DropSamples,
    PrepareSeal,
    FinishStep,
    SetVersion,
    ReplaceLedger,
]


class Ledger(msgspec.Struct):
    """All state of one trainer outside the log.

    Attributes:
      trainer: Trainer's name.
      version: Highest weight version reported by the trainer, -1 for none.
      groups: Groups that no finished step has consumed, by identity.
      sealed: Prepared or sealed contents by step.
    """

    trainer: str
    version: int = -1
    groups: dict[str, Group] = {}
    sealed: dict[int, SealedStep] = {}

    def find_group(
        self, step: int, generation: int, name: str
    ) -> Group | None:
        """Find a group of one generation of a step by its name."""
        group = self.groups.get(f'{step}/{name}')
        if group is None or group.generation != generation:
            return None
        return group


class GroupDiffersError(Exception):
    """A group was submitted again with a different prompt."""


@functools.singledispatch
def apply(change: Change, ledger: Ledger) -> None:
    """Apply a change to a ledger, in place.

    Args:
      change: The change; applying it is idempotent.
      ledger: The ledger.

    Raises:
      TypeError: If the type of the change is unknown.
    """
    raise TypeError(f'unknown type of change: {change!r}')


@apply.register
def _apply_add_groups(change: AddGroups, ledger: Ledger) -> None:
    for prompt in change.prompts:
        group = Group(prompt, change.step, change.generation)
        ledger.groups.setdefault(group.identity, group)


@apply.register
def _apply_add_sample(change: AddSample, ledger: Ledger) -> None:
    group = ledger.groups.get(change.group)
    if group is not None:
        # The first complete and fresh attempt is kept; later ones are dropped.
        group.samples.setdefault(change.sample.index, change.sample)


@apply.register
def _apply_drop_samples(change: DropSamples, ledger: Ledger) -> None:
    group = ledger.groups.get(change.group)
    for index in change.indices if group else ():
        group.samples.pop(index, None)


@apply.register
def _apply_prepare_seal(change: PrepareSeal, ledger: Ledger) -> None:
    ledger.sealed[change.sealed.step] = change.sealed


@apply.register
def _apply_finish_step(change: FinishStep, ledger: Ledger) -> None:
    ledger.sealed.pop(change.step, None)
    for identity in change.groups:
        ledger.groups.pop(identity, None)


@apply.register
def _apply_set_version(change: SetVersion, ledger: Ledger) -> None:
    ledger.version = max(ledger.version, change.version)


@apply.register
def _apply_replace_ledger(change: ReplaceLedger, ledger: Ledger) -> None:
    for field in ledger.__struct_fields__:
        setattr(ledger, field, getattr(change.ledger, field))


def find_new_prompts(ledger: Ledger, change: AddGroups) -> list[Prompt]:
    """Find the submitted groups that the ledger does not have.

    Args:
      ledger: The ledger.
      change: The submission.

    Returns:
      Prompts of the new groups.

    Raises:
      GroupDiffersError: If a group of the ledger has a different prompt.
    """
    new = []
    for prompt in change.prompts:
        existing = ledger.find_group(
            change.step, change.generation, prompt.name
        )
        if existing is None:
            new.append(prompt)
        elif existing.prompt != prompt:
            raise GroupDiffersError(prompt.name)
    return new


def find_stale_samples(group: Group, oldest_allowed: int) -> list[int]:
    """Find samples of a group that have a token from too old a version.

    Args:
      group: The group.
      oldest_allowed: Lowest allowed weight version of a token.

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
    """Choose the groups of a step, if enough groups are complete.

    Unused groups of earlier steps come first, so that they are used before
    they become stale. Only complete groups are delivered.

    Args:
      ledger: The ledger, without stale samples.
      step: Number of the step.
      generation: Generation of the step.
      samples_per_group: Number of samples in a complete group.
      group_fraction: Fraction of the step's group count that must be complete.

    Returns:
      The groups, or None while too few are complete.
    """
    own = [
        g
        for g in ledger.groups.values()
        if g.step == step and g.generation == generation
    ]
    carried = [
        g
        for g in ledger.groups.values()
        if step - trainer_fold.MAX_CARRY_STEPS <= g.step < step
    ]
    complete = [
        g for g in carried + own if len(g.samples) >= samples_per_group
    ]
    needed = math.ceil(len(own) * group_fraction)
    if not own or len(complete) < needed:
        return None
    return complete[: len(own)]


def build_sealed_step(
    ledger: Ledger,
    step: int,
    generation: int,
    version: int,
    groups: list[Group],
) -> SealedStep:
    """Build the sealed contents of a step.

    Args:
      ledger: The ledger.
      step: Number of the step.
      generation: Generation of the step.
      version: Trainer's weight version when the step is sealed.
      groups: Groups to deliver, all complete and fresh.

    Returns:
      The contents, including the encoded response for the trainer.
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
    return SealedStep(
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
