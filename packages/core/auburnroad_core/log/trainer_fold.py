"""Folds the trainers stream: the owner of each trainer and its sealed steps.

A claim takes effect only if it supersedes the current claim, and a seal or
void only under the newest claim. So a paused owner that resumes changes
nothing, and of two daemons that both act as owner of a trainer only one is
effective.

Rules for the steps of a trainer, and why they bound the memory:
* Sealed steps increase. A request for step N+1 confirms that the trainer
  received step N completely, so no step at or below the newest sealed step
  can be sealed, except the newest step after it was voided. A step may be
  skipped; a skipped or voided step can't be sealed after a later step.
* Only the newest sealed step can be voided, for the same reason.
* A void releases the groups of the step, because the trainer has reported
  that it did not receive them. The step's own groups are submitted again
  under the next generation; the carried groups may be carried again.
* A group, 'step/group', is in at most one seal in force, whichever step
  delivers it. A group of step S can only be in the seal of S or of a later
  step, and may be carried by at most MAX_CARRY_STEPS steps. A new seal of
  step N only contains groups of steps from N - MAX_CARRY_STEPS on, and only
  seals of those steps can contain such groups; N is at least the newest step,
  so older seals can be removed.
"""

import collections

import msgspec

from auburnroad_core import decoding
from auburnroad_core.log import checkpoint
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

STREAM = records.TRAINERS_STREAM
MAX_CARRY_STEPS = 4


class SealedStep(msgspec.Struct):
    """A step whose contents are fixed.

    Attributes:
      generation: Sealed generation of the step.
      offset: Offset of the Seal record.
      claim: Offset of the claim under which the step was sealed.
      groups: Names of the delivered groups, in order.
      carried: Delivered groups that belong to earlier steps, as 'step/group'.
      digest: Hexadecimal xxh3_128 of the contents.
      trainer_version: Trainer's weight version at the time of the seal.
      record_id: Id of the Seal record.
    """

    generation: int
    offset: int
    claim: int
    groups: list[str]
    carried: list[str]
    digest: str
    trainer_version: int
    record_id: str


class TrainerState(msgspec.Struct):
    """State of one trainer.

    Attributes:
      claim: Offset of the newest claim, the fencing number; -1 for none.
      claim_id: Id of the newest Claim record.
      owner: Daemon that owns the trainer.
      incarnation: Incarnation of the owner.
      newest_step: Highest step that was ever sealed, -1 for none.
      sealed: Sealed steps by number, from MAX_CARRY_STEPS below the newest
        one.
      generations: Current generation by step, for voided steps; other steps
        are in generation 0.
    """

    claim: int = -1
    claim_id: str = ''
    owner: str = ''
    incarnation: str = ''
    newest_step: int = -1
    sealed: dict[int, SealedStep] = {}
    generations: dict[int, int] = {}

    def find_generation(self, step: int) -> int:
        """Find the current generation of a step."""
        return self.generations.get(step, 0)


class State(checkpoint.FoldState):
    """State of all trainers after a record.

    Attributes:
      trainers: State of each trainer, by trainer's name.
    """

    trainers: dict[str, TrainerState] = {}

    def find_trainer(self, name: str) -> TrainerState:
        """Find the state of a trainer; an empty one for an unknown name."""
        return self.trainers.get(name) or TrainerState()


def start(batch: log_service.Batch) -> State | None:
    """Find the initial state of a replay.

    Args:
      batch: The oldest records that the log service keeps.

    Returns:
      The state, whose `applied` is the offset of the last record that it
      includes; None when the batch holds no usable checkpoint.
    """
    return checkpoint.find_start(batch, State)


def fold(state: State, entry: records.Entry) -> tuple[State, verdict.Verdict]:
    """Fold one record into the state.

    Args:
      state: State after the previous record; changed in place.
      entry: Log entry of the record.

    Returns:
      The state and the verdict on the record.
    """
    outcome = _apply(state, entry)
    state.applied = entry.offset
    return state, outcome


def build_checkpoint(
    state: State, now_ms: int, key_life_ms: int
) -> records.Checkpoint:
    """Build a checkpoint of a state.

    Args:
      state: State to store.
      now_ms: Current time in Unix milliseconds.
      key_life_ms: Not used by this stream.

    Returns:
      The checkpoint record.
    """
    return checkpoint.build_full_checkpoint(state, now_ms)


def list_group_ids(
    step: int, groups: list[str], carried: list[str]
) -> list[str]:
    """List the groups of a seal by names that are unique across steps.

    Args:
      step: Number of the sealed step.
      groups: Delivered groups; a carried group is listed by its bare name or
        as 'step/group'.
      carried: Delivered groups that belong to earlier steps, as 'step/group'.

    Returns:
      One 'step/group' for each group.
    """
    own_groups = collections.Counter(groups)
    for identity in carried:
        name = identity.partition('/')[2]
        own_groups[identity if own_groups[identity] > 0 else name] -= 1
    own_identities = [f'{step}/{name}' for name in own_groups.elements()]
    return own_identities + list(carried)


def _apply(state, entry) -> verdict.Verdict:
    try:
        record = decoding.decode_json(entry.data, records.TrainerRecord)
    except msgspec.DecodeError:
        return verdict.Verdict.INVALID
    if isinstance(record, records.Checkpoint):
        return checkpoint.apply_checkpoint(state, entry, record)
    trainer = state.trainers.setdefault(record.trainer, TrainerState())
    if isinstance(record, records.Claim):
        return _apply_claim(trainer, entry, record)
    if isinstance(record, records.Seal):
        return _apply_seal(trainer, entry, record)
    return _apply_void(trainer, record)


def _apply_claim(trainer, entry, record) -> verdict.Verdict:
    if entry.record_id == trainer.claim_id:
        return verdict.Verdict.DUPLICATE
    if record.supersedes != trainer.claim:
        return verdict.Verdict.CONFLICT
    trainer.claim = entry.offset
    trainer.claim_id = entry.record_id
    trainer.owner = record.owner
    trainer.incarnation = record.incarnation
    return verdict.Verdict.EFFECTIVE


def _apply_seal(trainer, entry, record) -> verdict.Verdict:
    sealed = trainer.sealed.get(record.step)
    if sealed is not None and sealed.record_id == entry.record_id:
        return verdict.Verdict.DUPLICATE
    if not _may_seal(trainer, record):
        return verdict.Verdict.CONFLICT
    identities = list_group_ids(record.step, record.groups, record.carried)
    if not _are_valid_identities(record.step, identities):
        return verdict.Verdict.INVALID
    if not _list_sealed_identities(trainer).isdisjoint(identities):
        return verdict.Verdict.CONFLICT
    _store_seal(trainer, entry, record)
    return verdict.Verdict.EFFECTIVE


def _may_seal(trainer, record) -> bool:
    if record.claim != trainer.claim or trainer.claim < 0:
        return False
    if record.generation != trainer.find_generation(record.step):
        return False
    return record.step >= trainer.newest_step and (
        record.step not in trainer.sealed
    )


def _are_valid_identities(step: int, identities: list[str]) -> bool:
    """Check that no group is repeated or older than MAX_CARRY_STEPS steps."""
    if len(set(identities)) < len(identities):
        return False
    origins = [identity.partition('/')[0] for identity in identities]
    return all(
        origin.isdecimal() and step - MAX_CARRY_STEPS <= int(origin) <= step
        for origin in origins
    )


def _list_sealed_identities(trainer) -> set[str]:
    return {
        identity
        for step, sealed in trainer.sealed.items()
        for identity in list_group_ids(step, sealed.groups, sealed.carried)
    }


def _store_seal(trainer, entry, record) -> None:
    trainer.sealed[record.step] = SealedStep(
        generation=record.generation,
        offset=entry.offset,
        claim=record.claim,
        groups=record.groups,
        carried=record.carried,
        digest=record.digest,
        trainer_version=record.trainer_version,
        record_id=entry.record_id,
    )
    trainer.newest_step = record.step
    oldest = record.step - MAX_CARRY_STEPS
    for step in [step for step in trainer.sealed if step < oldest]:
        del trainer.sealed[step]
    for step in [step for step in trainer.generations if step < oldest]:
        del trainer.generations[step]


def _apply_void(trainer, record) -> verdict.Verdict:
    sealed = trainer.sealed.get(record.step)
    if (
        record.claim != trainer.claim
        or record.step != trainer.newest_step
        or sealed is None
        or record.generation != sealed.generation
    ):
        return verdict.Verdict.CONFLICT
    del trainer.sealed[record.step]
    trainer.generations[record.step] = record.generation + 1
    return verdict.Verdict.EFFECTIVE
