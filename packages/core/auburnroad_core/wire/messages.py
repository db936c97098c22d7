"""Messages of the streams between entry and side, and between entries.

Each class is one message. The array form and the short integer tags keep
control traffic small; field order is therefore part of the protocol, and a
new field goes to the end with a default. A message is never a bare map.
"""

import typing

import msgspec

from auburnroad_core import types


class Message(msgspec.Struct, array_like=True):
    """Base of all messages; never sent itself."""


class Hello(Message, tag=1):
    """First message of each end of a stream.

    Attributes:
      daemon: Daemon's name.
      incarnation: Random text chosen at the start of the process.
      role: 'entry' or 'side'.
      host: Host's name.
      failure_domain: Failure domain of the host.
      revision: Highest configuration revision seen, -1 for none.
      services: Services of the replicas behind a side.
      leaving: Whether the daemon refuses new work.
      http_address: Where a side relays weights to others; empty otherwise.
    """

    daemon: str
    incarnation: str
    role: str
    host: str
    failure_domain: str
    revision: int
    services: list[str]
    leaving: bool = False
    http_address: str = ''


class Heartbeat(Message, tag=2):
    """Sent each heartbeat interval by both ends; silence means a dead stream.

    Attributes:
      revision: Highest configuration revision seen, -1 for none.
      leaving: Whether the daemon refuses new work.
      loads: Loads of the replicas behind a side; empty from an entry.
      versions: Highest announced weight version by model, from an entry; the
        oldest one served by a ready replica, from a side.
    """

    revision: int
    leaving: bool
    loads: list[types.HostLoad] = []
    versions: dict[str, int] = {}


class Configuration(Message, tag=3):
    """A configuration, sent to a peer that is known to have a lower one.

    Attributes:
      revision: Offset of the record that published it.
      document: The deployment as JSON.
      draining: Hosts that operators have ordered to drain.
      orders_offset: Offset up to which the orders are known, -1 from a daemon
        that doesn't follow them.
    """

    revision: int
    document: bytes
    draining: list[str] = []
    orders_offset: int = -1


class Submit(Message, tag=4):
    """A request for a replica behind the side.

    Attributes:
      request_id: Unique for each attempt.
      service: Service's name.
      request_class: Who waits for it.
      deadline_ms: Unix milliseconds.
      idempotent: Whether it may be run more than once.
      streamed: Whether tokens are wanted as they come.
      method: HTTP method towards the target.
      target: HTTP path with its query towards the target.
      headers: HTTP headers to pass on, by lower-case name.
      body: HTTP body in bytes.
      model: Model or adapter whose weights are to answer; empty for a plain
        service.
      trainer: Trainer that waits for the sample, or empty.
      step: Step that waits for the sample, zero without a trainer.
      group: Group of the sample, or empty; also the prefix affinity key.
      minimum_version: A replica that serves an older weight version of the
        model is not given this request; -1 when any will do.
    """

    request_id: str
    service: str
    request_class: types.RequestClass
    deadline_ms: int
    idempotent: bool
    streamed: bool
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    model: str = ''
    trainer: str = ''
    step: int = 0
    group: str = ''
    minimum_version: int = -1


class Chunk(Message, tag=5):
    """Tokens of a streamed answer, several engine events in one message.

    Attributes:
      request_id: Attempt that it belongs to.
      index: Number of this chunk from 0, so that a gap or a repetition after
        a new connection is seen.
      text: Text of the tokens.
      spans: Weight versions over these tokens, counted from the answer's
        first token.
    """

    request_id: str
    index: int
    text: str
    spans: list[types.VersionSpan]


class Done(Message, tag=6):
    """The whole answer of a target, or the end of a streamed one.

    Attributes:
      request_id: Attempt that it belongs to.
      outcome: What became of the request, as far as the side can know.
      status: HTTP status of the target, zero when there is none.
      headers: HTTP headers of the target, by lower-case name.
      body: HTTP body of a plain service; empty for a model.
      text: Whole text of a model's answer, empty when it was streamed.
      spans: Weight versions over all tokens.
      finish_reason: Why a model stopped, such as 'length'.
      replica: Replica that ran it.
      chunks: How many chunks were sent before.
      error: What went wrong, or empty.
      loads: Load of the host after this request.
    """

    request_id: str
    outcome: types.Outcome
    status: int
    headers: dict[str, str] = {}
    body: bytes = b''
    text: str = ''
    spans: list[types.VersionSpan] = []
    finish_reason: str = ''
    replica: str = ''
    chunks: int = 0
    error: str = ''
    loads: list[types.HostLoad] = []


class Refused(Message, tag=7):
    """A request that the side did not run and will not run.

    Attributes:
      request_id: Attempt that it belongs to.
      code: Reason as one of the names in refusals.py.
      retry_at_ms: Unix milliseconds at which to come back.
      loads: Load of the host at this moment.
    """

    request_id: str
    code: str
    retry_at_ms: int
    loads: list[types.HostLoad] = []


class Cancel(Message, tag=8):
    """Nobody waits for this request any more."""

    request_id: str


class Resume(Message, tag=9):
    """Asks a side, over a new connection, what became of a request.

    Attributes:
      request_id: Attempt that is asked about.
      next_index: Number of the first chunk that did not arrive.
    """

    request_id: str
    next_index: int


class NotHere(Message, tag=10):
    """Answer to Resume: this incarnation never received the request."""

    request_id: str


class Acknowledge(Message, tag=11):
    """The entry holds the whole answer; the side may forget it."""

    request_id: str


class Forward(Message, tag=12):
    """A trainer's HTTP request on its way to the trainer's owner.

    Attributes:
      request_id: Unique for each forwarding.
      method: HTTP method.
      target: HTTP path with its query.
      headers: HTTP headers by lower-case name.
      body: HTTP body in bytes.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Forwarded(Message, tag=13):
    """The owner's answer to Forward."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


class CopyUpdate(Message, tag=14):
    """A change of a trainer's ledger, for the daemon that holds its copy.

    Attributes:
      trainer: Trainer's name.
      claim: Offset of the sender's claim on the trainer.
      sequence: Number of the change within the claim, from 1.
      change: One change of ledger.py, encoded by msgpack.
    """

    trainer: str
    claim: int
    sequence: int
    change: bytes


class CopyAcknowledge(Message, tag=15):
    """All changes up to a number are held."""

    trainer: str
    claim: int
    sequence: int


class CopyRequest(Message, tag=16):
    """A new owner asks its peers for what they hold of a trainer."""

    request_id: str
    trainer: str


class CopyAnswer(Message, tag=17):
    """What a peer holds of a trainer.

    Attributes:
      request_id: Request that it answers.
      claim: Claim under which the copy was made, -1 when there is none.
      sequence: Number of the last change held.
      ledger: The ledger, encoded by msgpack; empty when there is none.
    """

    request_id: str
    claim: int
    sequence: int
    ledger: bytes


class Alive(Message, tag=18):
    """All that the sender's last Heartbeat on this stream said still holds."""


AnyMessage = typing.Union[
    Hello,
    Heartbeat,
    Configuration,
    Submit,
    Chunk,
    Done,
    Refused,
    Cancel,
    Resume,
    NotHere,
    Acknowledge,
    Forward,
    Forwarded,
    CopyUpdate,
    CopyAcknowledge,
    CopyRequest,
    CopyAnswer,
    Alive,
]
