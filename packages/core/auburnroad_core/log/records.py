"""Types of the records in the log service.

Each stream of the log has its own union of record types. The writer chooses a
record's id, so that a record whose append response was lost can be found by
reading the stream. The log service assigns the offset, which serves as
configuration revision and as fencing number.
"""

import typing

import msgspec

CONFIGURATION_STREAM = 'configuration'
TRAINERS_STREAM = 'trainers'
INTENTS_STREAM = 'intents'


class Record(msgspec.Struct):
    """Base class of all records; not a record type itself."""


class Publish(Record, tag='publish'):
    """A configuration, effective only if its base revision is in force.

    Attributes:
      base_revision: Revision in force when the operator made the change, -1
        for none.
      author: Operator's name.
      at_ms: Unix milliseconds of the publication, by the operator's clock.
      summary: Description of the change, for the audit trail.
      deployment: The generated deployment; see settings/deployment.py.
      answers: Questionnaire answers from which the deployment was generated:
        a JSON string of compressed JSON, or plain JSON.
    """

    base_revision: int
    author: str
    at_ms: int
    summary: str
    deployment: msgspec.Raw
    answers: msgspec.Raw


class HostOrder(Record, tag='host-order'):
    """An operator's order to drain a host or to end its draining.

    Attributes:
      host: Host's name.
      draining: True to drain the host, False to return it to service.
      author: Operator's name.
      at_ms: Unix milliseconds of the order, by the operator's clock.
    """

    host: str
    draining: bool
    author: str
    at_ms: int


class Checkpoint(Record, tag='checkpoint'):
    """A stored state that allows older records to expire.

    Attributes:
      covers: Offset of the last record that the state includes.
      state: The folded state as JSON, with the original offsets.
      at_ms: Unix milliseconds of the checkpoint, by the writer's clock.
    """

    covers: int
    state: msgspec.Raw
    at_ms: int = 0


class Claim(Record, tag='claim'):
    """An entry's claim to own a trainer; its offset is the fencing number.

    Attributes:
      trainer: Trainer's name.
      owner: Name of the claiming daemon.
      incarnation: Incarnation of the claiming daemon.
      supersedes: Offset of the claim to replace, -1 for none. The record has
        no effect unless this is the current claim.
    """

    trainer: str
    owner: str
    incarnation: str
    supersedes: int


class Seal(Record, tag='seal'):
    """Fixes the contents of a step before they are delivered to the trainer.

    Attributes:
      trainer: Trainer's name.
      step: Number of the step.
      generation: Generation of the step.
      claim: Offset of the owner's claim; a seal under a superseded claim has
        no effect.
      trainer_version: Trainer's weight version at the time of the seal.
      groups: Names of the delivered groups, in order.
      digest: Hexadecimal xxh3_128 of the delivered contents.
      carried: Delivered groups that belong to earlier steps, as 'step/group'.
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
    """Invalidates a sealed step whose contents were lost.

    The record is written after the trainer has reported that it did not
    receive the step.

    Attributes:
      trainer: Trainer's name.
      step: Number of the step.
      generation: Invalidated generation of the step.
      claim: Offset of the claim of the owner that writes the record.
    """

    trainer: str
    step: int
    generation: int
    claim: int


class Intent(Record, tag='intent'):
    """Announces that a non-idempotent request will be sent to a target.

    Attributes:
      key: Caller's idempotency key, or a key built for the request.
      attempt: Random id of this attempt to acquire the key.
      digest: Hexadecimal xxh3_128 of the request's method, path and body.
      entry: Daemon that will send the request.
      expires_ms: Unix milliseconds after which the key is rejected because of
        its age.
    """

    key: str
    attempt: str
    digest: str
    entry: str
    expires_ms: int


class Result(Record, tag='result'):
    """The outcome of a non-idempotent request.

    Attributes:
      key: Key of the Intent.
      attempt: Attempt of the Intent.
      outcome: A value of types.Outcome.
      status: HTTP status of the target's response, zero for no response.
    """

    key: str
    attempt: str
    outcome: str
    status: int


ConfigurationRecord = typing.Union[Publish, HostOrder, Checkpoint]
TrainerRecord = typing.Union[Claim, Seal, Void, Checkpoint]
IntentRecord = typing.Union[Intent, Result, Checkpoint]


class Entry(msgspec.Struct):
    """A record with its position in the log.

    Attributes:
      offset: Position in the stream, assigned by the log service.
      record_id: Id chosen by the writer.
      data: The record as JSON.
    """

    offset: int
    record_id: str
    data: msgspec.Raw
