"""Records of the log service, as typed data.

Each stream of the log has its own union. A record's identity is its id, so
that an append whose answer was lost is found again by reading; its offset is
assigned by the log service and serves as revision and as fencing number.
"""

import typing

import msgspec

CONFIGURATION_STREAM = 'configuration'
TRAINERS_STREAM = 'trainers'
INTENTS_STREAM = 'intents'


class Record(msgspec.Struct):
    """Base of all records; never appended itself."""


class Publish(Record, tag='publish'):
    """A configuration, valid only on top of the revision it was made from.

    Attributes:
      base_revision: Revision that the operator saw, -1 for none.
      author: Operator's name.
      at_ms: Unix milliseconds of the publication, by the operator's clock.
      summary: What was changed, for the audit trail.
      deployment: The deployment as generated; see settings/deployment.py.
      answers: The answers that it was generated from: a JSON string of
        compressed JSON, or plain JSON.
    """

    base_revision: int
    author: str
    at_ms: int
    summary: str
    deployment: msgspec.Raw
    answers: msgspec.Raw


class HostOrder(Record, tag='host-order'):
    """An operator's order to drain a host or to take it back.

    Attributes:
      host: Host's name.
      draining: True to drain, False to take back.
      author: Operator's name.
      at_ms: Unix milliseconds, by the operator's clock.
    """

    host: str
    draining: bool
    author: str
    at_ms: int


class Checkpoint(Record, tag='checkpoint'):
    """State carried forward, so that older records may expire.

    Attributes:
      covers: Offset of the last record that the state includes.
      state: The folded state as JSON, with the original revisions.
      at_ms: Unix milliseconds, by the writer's clock.
    """

    covers: int
    state: msgspec.Raw
    at_ms: int = 0


class Claim(Record, tag='claim'):
    """An entry takes a trainer over; its offset is the fencing number.

    Attributes:
      trainer: Trainer's name.
      owner: Daemon's name.
      incarnation: Incarnation of the daemon.
      supersedes: Offset of the claim that it replaces, -1 for none; a claim
        that names another one than the current has no effect.
    """

    trainer: str
    owner: str
    incarnation: str
    supersedes: int


class Seal(Record, tag='seal'):
    """Fixes which samples a step consists of, before they are handed over.

    Attributes:
      trainer: Trainer's name.
      step: Number of the step.
      generation: Generation of the step.
      claim: Claim of the owner that seals; an older one has no effect.
      trainer_version: Trainer's weight version at the seal.
      groups: Names of the groups that are handed over, in order.
      digest: Hexadecimal xxh3_128 of the contents handed over.
      carried: Groups of earlier steps among them, as 'step/group'.
    """

    trainer: str
    step: int
    generation: int
    claim: int
    trainer_version: int
    groups: list[str]
    digest: str
    carried: list[str] = []


class Void(Record, tag='void'):
    """Gives up a sealed step whose contents were lost, at the trainer's word.

    Attributes:
      trainer: Trainer's name.
      step: Number of the step.
      generation: Generation that is given up.
      claim: Claim of the owner that records it.
    """

    trainer: str
    step: int
    generation: int
    claim: int


class Intent(Record, tag='intent'):
    """A non-idempotent request is about to leave for a target.

    Attributes:
      key: Caller's idempotency key, or one made for the request.
      attempt: Random id of this attempt to take the key.
      digest: Hexadecimal xxh3_128 of the request's method, path and body.
      entry: Daemon that will send it.
      expires_ms: Unix milliseconds after which the key is refused by its age.
    """

    key: str
    attempt: str
    digest: str
    entry: str
    expires_ms: int


class Result(Record, tag='result'):
    """What became of a non-idempotent request.

    Attributes:
      key: Key of the intent.
      attempt: Attempt that held the key.
      outcome: A value of types.Outcome.
      status: HTTP status of the target, zero when there is none.
    """

    key: str
    attempt: str
    outcome: str
    status: int


ConfigurationRecord = typing.Union[Publish, HostOrder, Checkpoint]
TrainerRecord = typing.Union[Claim, Seal, Void, Checkpoint]
IntentRecord = typing.Union[Intent, Result, Checkpoint]


class Entry(msgspec.Struct):
    """A record where the log service put it.

    Attributes:
      offset: Place in its stream, assigned by the log service.
      record_id: Identity chosen by the writer.
      data: The record as JSON.
    """

    offset: int
    record_id: str
    data: msgspec.Raw
