"""Decoded heads of requests and answers, and calls to replicas."""

import enum

import msgspec


class CallHead(msgspec.Struct, frozen=True):
    """Head of a caller's request.

    Attributes:
      request_id: Id of this attempt of the caller.
      patience_ms: Milliseconds that the caller waits after sending the
        request; None if not stated.
      last_event_id: Id of the last event that the caller received before it
        resumed a stream; None for a new request.
      begun_by: Id of the caller's attempt that brought the first event of the
        resumed stream; empty for a new request, or if not stated.
      key: API key; None if no key was sent or none can be read.
    """

    request_id: str
    patience_ms: int | None = None
    last_event_id: int | None = None
    begun_by: str = ''
    key: str | None = None

    def __repr__(self) -> str:
        # A traceback or a log line must not contain the key.
        return f'CallHead({self.request_id!r})'

    @property
    def resumes(self) -> bool:
        """Whether the caller takes up a stream of which it has events."""
        return self.last_event_id is not None or bool(self.begun_by)


class Load(msgspec.Struct, frozen=True):
    """Load that a replica reports.

    Attributes:
      running: Number of running requests.
      waiting: Number of queued requests.
      slots: Maximum number of concurrent requests.
      slowness: Time that work takes at this moment relative to the usual, 1.0
        as usual; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """Head of a replica's answer.

    Attributes:
      request_id: Id of the answered request; empty if not stated.
      signature: The replica's signature of the answer; empty if the answer
        has none.
      not_run: Whether the answer states that the request was not run.
      load: Load of the replica, if reported.
      weight_version: Weight version that generates the first event.
      encoded: Whether an intermediary has encoded the body.
      leaving: Whether the replica states that it is about to exit.
      rate_limit: Requests per second that the replica accepts from all
        gateways together; None if it states no limit.
    """

    request_id: str
    signature: str
    not_run: bool
    load: Load | None = None
    weight_version: int | None = None
    encoded: bool = False
    leaving: bool = False
    rate_limit: float | None = None

    @property
    def signed(self) -> bool:
        """Whether the answer has the replica's signature."""
        return bool(self.signature)


class RewardCall(msgspec.Struct, frozen=True, array_like=True):
    """Request whose signed answer is the score of a complete text.

    Attributes:
      id: Id of the request, unique within a batch.
      host: Value of the Host header.
      path: Request path.
      body: Request body, decoded from the submission.
      body_hash: Hash that identifies a body stored in another record; zero if
        the body is present.
    """

    id: str
    host: str
    path: str
    body: bytes
    body_hash: int = 0


class BatchVerb(enum.Enum):
    """Operation of a call on an existing batch."""

    READ = 'read'
    READ_BODY = 'read body'
    END = 'end'


class BatchCall(msgspec.Struct, frozen=True):
    """A call on an existing batch.

    Attributes:
      verb: Requested operation.
      batch_id: Id of the batch.
      position: Position of the first requested result, for READ.
      wait_ms: Milliseconds to wait for a result, for READ.
      item_id: Id of the item, for READ_BODY.
    """

    verb: BatchVerb
    batch_id: str
    position: int = 0
    wait_ms: int = 0
    item_id: str = ''


class Report(msgspec.Struct, frozen=True):
    """State of a replica, some hundred milliseconds old when received.

    Attributes:
      order_count: Number of orders accepted since the replica's start.
      busy: Whether an order is being executed.
      versions: Weight version by model.
    """

    order_count: int
    busy: bool
    versions: dict[str, int]


class VersionOrder(msgspec.Struct, frozen=True):
    """An order to a replica to change its weights.

    Attributes:
      model: Model whose weights change.
      version: Weight version to load.
      interrupt: Whether runs must end instead of continuing with the new
        version.
      holder: Name of the gateway that sends the order.
      fence: Fencing number; a replica refuses an order whose number is lower
        than the number of an earlier order.
      expected_orders: Number of orders that the replica must have accepted
        before; otherwise the order has no effect.
    """

    model: str
    version: int
    interrupt: bool
    holder: str
    fence: int
    expected_orders: int
