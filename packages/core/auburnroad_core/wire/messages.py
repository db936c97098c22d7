"""Messages of the streams between entry and side, and between entries.

Each class is one message type. Messages are encoded as arrays with small
integer tags to keep control traffic small. Field order is therefore part of
the protocol: a new field is added at the end and has a default. A message is
never encoded as a map.
"""

import typing

import msgspec

from auburnroad_core import types


class Message(msgspec.Struct, array_like=True):
    """Base class of all messages; not a message type itself."""


class Hello(Message, tag=1):
    """First message from each end of a stream.

    Attributes:
      daemon: Daemon's name.
      incarnation: Random text generated at the start of the process.
      role: 'entry' or 'side'.
      host: Host's name.
      failure_domain: Failure domain of the host.
      revision: Highest known configuration revision, -1 for none.
      services: Services of a side's replicas.
      leaving: Whether the daemon rejects new requests.
      http_address: Address at which a side relays weights to other sides;
        empty from other daemons.
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
    """Sent by both ends at each heartbeat interval to detect dead streams.

    Attributes:
      revision: Highest known configuration revision, -1 for none.
      leaving: Whether the daemon rejects new requests.
      loads: Loads of a side's replicas; empty from an entry.
      versions: Weight version by model. From an entry, the highest announced
        version; from a side, the oldest version that a ready replica serves.
    """

    revision: int
    leaving: bool
    loads: list[types.HostLoad] = []
    versions: dict[str, int] = {}


class Configuration(Message, tag=3):
    """A configuration, sent to a peer with a lower revision.

    Attributes:
      revision: Offset of the Publish record.
      document: The deployment as JSON.
      draining: Hosts that operators have ordered to drain.
      orders_offset: Offset of the last record of which the host orders are
        included, -1 from a daemon that does not read host orders.
    """

    revision: int
    document: bytes
    draining: list[str] = []
    orders_offset: int = -1


class Submit(Message, tag=4):
    """A request for one of the side's replicas.

    Attributes:
      request_id: Id of the attempt, unique for each attempt.
      service: Service's name.
      request_class: Scheduling class of the request.
      deadline_ms: Deadline in Unix milliseconds.
      idempotent: Whether the request may be run more than once.
      streamed: Whether tokens are sent as they are generated.
      method: HTTP method of the request to the target.
      target: HTTP path with its query of the request to the target.
      headers: HTTP headers to forward, by lower-case name.
      body: HTTP body in bytes.
      model: Model or adapter that runs the request; empty for a plain
        service.
      trainer: Trainer for which the sample is generated, or empty.
      step: Step for which the sample is generated, zero without a trainer.
      group: Group of the sample, or empty; also the prefix affinity key.
      minimum_version: Lowest weight version of the model that may run the
        request; -1 for any.
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
    """Tokens of a streamed response; may combine several engine events.

    Attributes:
      request_id: Id of the attempt.
      index: Index of this chunk from 0, to detect missing and repeated chunks
        after a reconnection.
      text: Text of the tokens.
      spans: Weight versions of these tokens, with token indices counted from
        the first token of the response.
    """

    request_id: str
    index: int
    text: str
    spans: list[types.VersionSpan]


class Done(Message, tag=6):
    """The complete response of a target, or the end of a streamed one.

    Attributes:
      request_id: Id of the attempt.
      outcome: Outcome of the request as known to the side.
      status: HTTP status of the target's response, zero for no response.
      headers: HTTP headers of the target's response, by lower-case name.
      body: HTTP body from a plain service; empty for a model.
      text: Complete text from a model, empty when it was streamed.
      spans: Weight versions of all tokens.
      finish_reason: Reason for the end of a model's output, such as 'length'.
      replica: Replica that ran the request.
      chunks: Number of chunks sent before this message.
      error: Error description, or empty.
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
    """The side rejected a request: it was not run and will not be run.

    Attributes:
      request_id: Id of the attempt.
      code: Reason, one of the codes in refusals.py.
      retry_at_ms: Unix milliseconds after which to retry.
      loads: Current load of the host.
    """

    request_id: str
    code: str
    retry_at_ms: int
    loads: list[types.HostLoad] = []


class Cancel(Message, tag=8):
    """Cancels a request whose response is no longer needed."""

    request_id: str


class Resume(Message, tag=9):
    """Asks a side over a new connection for the rest of a response.

    Attributes:
      request_id: Id of the attempt.
      next_index: Index of the first chunk that was not received.
    """

    request_id: str
    next_index: int


class UnknownRequest(Message, tag=10):
    """Response to Resume: this incarnation never received the request."""

    request_id: str


class Acknowledge(Message, tag=11):
    """The entry received the complete response; the side may drop it."""

    request_id: str


class Forward(Message, tag=12):
    """A trainer's HTTP request, forwarded to the trainer's owner.

    Attributes:
      request_id: Id that is unique for each forwarded request.
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
    """The owner's response to Forward."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


class CopyUpdate(Message, tag=14):
    """A change to a trainer's ledger, for the daemon that keeps a copy.

    Attributes:
      trainer: Trainer's name.
      claim: Offset of the sender's claim on the trainer.
      sequence: Sequence number of the change within the claim, from 1.
      change: One change as defined in ledger.py, encoded as msgpack.
    """

    trainer: str
    claim: int
    sequence: int
    change: bytes


class CopyAcknowledge(Message, tag=15):
    """Acknowledges all changes up to a sequence number."""

    trainer: str
    claim: int
    sequence: int


class CopyRequest(Message, tag=16):
    """A new owner's request to a peer for its copy of a trainer's ledger."""

    request_id: str
    trainer: str


class CopyAnswer(Message, tag=17):
    """A peer's copy of a trainer's ledger.

    Attributes:
      request_id: Id of the CopyRequest.
      claim: Offset of the claim under which the copy was made, -1 for no
        copy.
      sequence: Sequence number of the last change in the copy.
      ledger: The ledger, encoded as msgpack; empty for no copy.
    """

    request_id: str
    claim: int
    sequence: int
    ledger: bytes


class Alive(Message, tag=18):
    """Repeats the sender's last Heartbeat on this stream without change."""


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
    UnknownRequest,
    Acknowledge,
    Forward,
    Forwarded,
    CopyUpdate,
    CopyAcknowledge,
    CopyRequest,
    CopyAnswer,
    Alive,
]
