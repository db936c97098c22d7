"""The interface of a model engine, independent of the protocol.

The error classes tell whether the engine may have started the request, since
only a request that was not started may be refused as not run.
"""

import typing

import msgspec

from auburnroad_core import errors

CANCELLED_REASON = 'cancelled'


class EngineError(errors.AuburnroadError):
    """Base class of the errors of an engine."""


class EngineUnreachableError(EngineError):
    """No byte was sent to the engine, so the request was not run."""


class EngineBrokenError(EngineError):
    """The engine failed or stopped sending after the request was sent."""


class EngineRejectedError(EngineError):
    """The engine answered with an error status."""

    def __init__(self, status: int, message: str):
        super().__init__(f'{status}: {message}')
        self.status = status


class EngineCancelledError(EngineError):
    """The engine stopped the request because a client cancelled it."""


class StaleFenceError(EngineError):
    """The engine has already executed an order with a higher fencing token."""


class Tokens(msgspec.Struct):
    """Tokens that the engine produced in one event of its stream.

    Attributes:
      text: Text of the tokens.
      tokens: Number of tokens.
      version: Weight version that produced the tokens.
      offset: Index of the first token in the answer.
      finish_reason: Reason why the engine stopped, or None if more tokens
        follow.
    """

    text: str
    tokens: int
    version: int
    offset: int = 0
    finish_reason: str | None = None


class Completion(msgspec.Struct):
    """A request for a completion.

    Attributes:
      request_id: Id of the request, used to resume and cancel it.
      model: Name of the model or adapter.
      prompt: Text of the prompt.
      max_tokens: Number of tokens after which the engine stops.
      resume_at: Index of the first token to send.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    resume_at: int = 0


class Order(msgspec.Struct):
    """An order to an engine.

    Attributes:
      order: Kind of the order, such as 'load_version'.
      model: Name of the model or adapter.
      version: Weight version to load.
      fence: Fencing token; an engine that checks it rejects an order with a
        lower token than that of an earlier order.
      source: Address to fetch the weights from, 'IP address:port'.
      role: New role of the engine, for an order that changes the role.
    """

    order: str
    model: str
    version: int
    fence: int
    source: str
    role: str = ''


class EngineLoad(msgspec.Struct):
    """Load report of an engine; it may be out of date when it arrives.

    Attributes:
      running: Number of requests in the engine's batch.
      waiting: Number of requests in the engine's queue.
      slots: Maximum number of requests in the engine's batch.
      versions: Weight version by model.
      role: Role of the engine.
      at_ms: Time of the report in Unix milliseconds.
    """

    running: int
    waiting: int
    slots: int
    versions: dict[str, int] = {}
    role: str = ''
    at_ms: int = 0


class Engine(typing.Protocol):
    """A model engine."""

    def complete(
        self, completion: Completion
    ) -> typing.AsyncGenerator[list[Tokens], None]:
        """Yield lists of tokens until the engine's stream ends.

        Raises:
          EngineUnreachableError: If no byte was sent to the engine.
          EngineRejectedError: If the engine answers with an error status.
          EngineBrokenError: If the connection fails before the stream ends.
        """

    async def cancel(self, request_id: str) -> None:
        """Cancel a request that no client waits for, ignoring failures."""

    async def order(self, order: Order) -> dict[str, int]:
        """Send an order; return the engine's weight version by model.

        Raises:
          StaleFenceError: If the engine has a higher fencing token.
          EngineError: If the engine did not confirm the order.
        """

    async def read_load(self) -> EngineLoad:
        """Read the engine's load report.

        Raises:
          EngineError: If the engine sends no valid report.
        """
