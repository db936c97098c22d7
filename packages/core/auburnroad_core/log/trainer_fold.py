"""Folds the trainers stream: who owns a trainer and what each step held.

A claim takes effect only on top of the claim that its writer saw, and a seal
or void only under the newest claim. So a paused owner that wakes up changes
nothing, and of two daemons that believe that they own a trainer one does.

Rules of a trainer's steps, and why they bound the memory:
* Seals go up: asking for step N+1 says that N was taken whole, so nothing at
  or below the newest step seals any more but the newest itself after a void.
  A step may be skipped; a skipped or voided step is then closed for good.
* Only the newest sealed step can be voided, for the same reason.
* A void gives the step's groups free: the trainer has said that it did not
  take them. Its own groups come anew under the next generation; the carried
  ones may be carried again.
* A group, 'step/group', is in at most one seal in force, whichever step hands
  it over. A group of step S can only be in the seal of S or of a later step,
  and may be carried by CARRY_STEPS steps at most. A new seal of step N looks
  only at groups of steps from N - CARRY_STEPS, which only seals of steps from
  there hold; N is at least the newest step, so older seals can be forgotten.
"""

import collections

import msgspec

from auburnroad_core.log import checkpoint
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

STREAM = records.TRAINERS_STREAM
CARRY_STEPS = 4

_DECODER = msgspec.json.Decoder(records.TrainerRecord)


class SealedStep(msgspec.Struct):
    """A step whose contents are fixed.

    Attributes:
      generation: Generation of the step that was sealed.
      offset: Offset of the seal.
      claim: Claim under which it was sealed.
      groups: Names of the groups handed over, in order.
      carried: Groups of earlier steps among them, as 'step/group'.
      digest: Hexadecimal xxh3_128 of the contents.
      trainer_version: Trainer's weight version at the seal.
      record_id: Id of the record that sealed it.
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
    """What holds for one trainer.

    Attributes:
      claim: Offset of the newest claim, its fencing number; -1 for none.
      claim_id: Id of the record that claimed.
      owner: Daemon that owns the trainer.
      incarnation: Incarnation of that daemon.
      newest_step: Highest step that was ever sealed, -1 for none.
      sealed: Sealed steps by number, from CARRY_STEPS below the newest.
      generations: Generations by step of those that were voided; a step that
        is missing is in generation 0.
    """

    claim: int = -1
    claim_id: str = ''
    owner: str = ''
    incarnation: str = ''
    newest_step: int = -1
    sealed: dict[int, SealedStep] = {}
    generations: dict[int, int] = {}

    def find_generation(self, step: int) -> int:
        """Find the generation that a step is in."""
        return self.generations.get(step, 0)


class State(checkpoint.FoldState):
    """What holds for all trainers after a record.

    Attributes:
      trainers: By trainer's name.
    """

    trainers: dict[str, TrainerState] = {}

    def find_trainer(self, name: str) -> TrainerState:
        """Find what holds for a trainer, an empty state for a new one."""
        return self.trainers.get(name) or TrainerState()


def start(batch: log_service.Batch) -> State | None:
    """Find the state to start from.

    Args:
      batch: Oldest records that the log service keeps.

    Returns:
      The state, whose `applied` says from where to fold on; None when the
      batch holds no usable checkpoint.
    """
    return checkpoint.find_start(batch, State)


def fold(state: State, entry: records.Entry) -> tuple[State, verdict.Verdict]:
    """Fold one record in.

    Args:
      state: State after the record before; it is changed in place.
      entry: The record.

    Returns:
      The state and what the record did.
    """
    outcome = _judge(state, entry)
    state.applied = entry.offset
    return state, outcome


def build_checkpoint(
    state: State, now_ms: int, key_life_ms: int
) -> records.Checkpoint:
    """Build the record that carries a state forward.

    Args:
      state: State to carry.
      now_ms: Unix milliseconds.
      key_life_ms: Not needed by this stream.

    Returns:
      The record.
    """
    return checkpoint.build_whole(state, now_ms)


def list_identities(
    step: int, groups: list[str], carried: list[str]
) -> list[str]:
    """List the groups of a seal by the names that count them once.

    Args:
      step: Step that is sealed.
      groups: Groups handed over; a carried one stands there by its bare name
        or as 'step/group'.
      carried: Those of earlier steps, as 'step/group'.

    Returns:
      One 'step/group' for each group.
    """
    own = collections.Counter(groups)
    for identity in carried:
        name = identity.partition('/')[2]
        own[identity if own[identity] > 0 else name] -= 1
    named = [f'{step}/{name}' for name in own.elements()]
    return named + list(carried)


def _judge(state, entry) -> verdict.Verdict:
    try:
        record = _DECODER.decode(entry.data)
    except msgspec.DecodeError:
        return verdict.Verdict.INVALID
    if isinstance(record, records.Checkpoint):
        return checkpoint.judge_checkpoint(state, entry, record)
    trainer = state.trainers.setdefault(record.trainer, TrainerState())
    if isinstance(record, records.Claim):
        return _judge_claim(trainer, entry, record)
    if isinstance(record, records.Seal):
        return _judge_seal(trainer, entry, record)
    return _judge_void(trainer, record)


def _judge_claim(trainer, entry, record) -> verdict.Verdict:
    if entry.record_id == trainer.claim_id:
        return verdict.Verdict.DUPLICATE
    if record.supersedes != trainer.claim:
        return verdict.Verdict.CONFLICT
    trainer.claim = entry.offset
    trainer.claim_id = entry.record_id
    trainer.owner = record.owner
    trainer.incarnation = record.incarnation
    return verdict.Verdict.EFFECTIVE


def _judge_seal(trainer, entry, record) -> verdict.Verdict:
    known = trainer.sealed.get(record.step)
    if known is not None and known.record_id == entry.record_id:
        return verdict.Verdict.DUPLICATE
    if not _may_seal(trainer, record):
        return verdict.Verdict.CONFLICT
    identities = list_identities(record.step, record.groups, record.carried)
    if not _are_sound(record.step, identities):
        return verdict.Verdict.INVALID
    if not _sealed_identities(trainer).isdisjoint(identities):
        return verdict.Verdict.CONFLICT
    _seal(trainer, entry, record)
    return verdict.Verdict.EFFECTIVE


def _may_seal(trainer, record) -> bool:
    if record.claim != trainer.claim or trainer.claim < 0:
        return False
    if record.generation != trainer.find_generation(record.step):
        return False
    return record.step >= trainer.newest_step and (
        record.step not in trainer.sealed
    )


def _are_sound(step: int, identities: list[str]) -> bool:
    """Check that groups are named once and none is carried too far."""
    if len(set(identities)) < len(identities):
        return False
    origins = [identity.partition('/')[0] for identity in identities]
    return all(
        origin.isdecimal() and step - CARRY_STEPS <= int(origin) <= step
        for origin in origins
    )


def _sealed_identities(trainer) -> set[str]:
    return {
        identity
        for step, sealed in trainer.sealed.items()
        for identity in list_identities(step, sealed.groups, sealed.carried)
    }


def _seal(trainer, entry, record) -> None:
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
    oldest = record.step - CARRY_STEPS
    for step in [step for step in trainer.sealed if step < oldest]:
        del trainer.sealed[step]
    for step in [step for step in trainer.generations if step < oldest]:
        del trainer.generations[step]


def _judge_void(trainer, record) -> verdict.Verdict:
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
