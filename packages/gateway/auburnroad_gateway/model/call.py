"""What the gateway reads from the heads of requests and answers."""

import enum

import msgspec


class CallHead(msgspec.Struct, frozen=True):
    """Head of a caller's request.

    Attributes:
      request_id: Names this attempt of the caller.
      patience_ms: How long the caller waits, from its sending; None if it
        doesn't say.
      last_event_id: The caller resumes a stream behind this event.
    """

    request_id: str
    patience_ms: int | None = None
    last_event_id: int | None = None


class Load(msgspec.Struct, frozen=True):
    """A replica's own view of its load.

    Attributes:
      running: Requests that run.
      waiting: Requests in its queue.
      slots: Requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


class AnswerHead(msgspec.Struct, frozen=True):
    """Head of a replica's answer.

    Attributes:
      request_id: The request that it answers; empty if it doesn't say.
      signed: Whether it bears the replica's signature.
      not_run: Whether it says that the request has not run.
      load: The replica's load, if it tells.
      weight_version: Version that generates from the first event on.
      encoded: Whether somebody on the way has encoded the body.
    """

    request_id: str
    signed: bool
    not_run: bool
    load: Load | None = None
    weight_version: int | None = None
    encoded: bool = False


class BatchVerb(enum.Enum):
    """What a call on an existing batch asks for."""

    READ = 'read'
    READ_BODY = 'read body'
    END = 'end'


class BatchCall(msgspec.Struct, frozen=True):
    """A call on an existing batch.

    Attributes:
      verb: What is asked for.
      batch_id: The batch.
      position: First result wanted, for READ.
      wait_ms: How long to wait for a result, for READ.
      item_id: The item, for READ_BODY.
    """

    verb: BatchVerb
    batch_id: str
    position: int = 0
    wait_ms: int = 0
    item_id: str = ''


class Report(msgspec.Struct, frozen=True):
    """A replica's state, as it was some hundred milliseconds ago.

    Attributes:
      order_count: Orders that it has accepted since its start.
      busy: Whether an order is being carried out.
      versions: Weight version by model.
    """

    order_count: int
    busy: bool
    versions: dict[str, int]


class VersionOrder(msgspec.Struct, frozen=True):
    """An order to a replica to change its weights.

    Attributes:
      model: The model.
      version: Version to load.
      interrupt: Whether runs must not go on under the new version.
      holder: Who gives it.
      fence: A replica refuses an order whose number is lower than an earlier
        one's.
      expected_orders: It is only carried out as the next after so many.
    """

    model: str
    version: int
    interrupt: bool
    holder: str
    fence: int
    expected_orders: int
