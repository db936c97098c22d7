"""What the product needs of a model engine, apart from any wire.

The errors keep apart what a caller must know: whether the engine can have
begun to run the request.
"""

import typing

import msgspec

from auburnroad_core import errors

CANCELLED_REASON = 'cancelled'


class EngineError(errors.AuburnroadError):
    """Base of an engine's failures."""


class EngineUnreachableError(EngineError):
    """Nothing was sent: the request was not run."""


class EngineBrokenError(EngineError):
    """The engine failed or fell silent after it had the request."""


class EngineRejectedError(EngineError):
    """The engine answered that it does not run the request."""

    def __init__(self, status: int, message: str):
        super().__init__(f'{status}: {message}')
        self.status = status


class EngineCancelledError(EngineError):
    """The engine stopped the request because somebody cancelled it."""


class OldFenceError(EngineError):
    """The engine has obeyed an order with a higher fencing number."""


class Tokens(msgspec.Struct):
    """Tokens that the engine has just produced.

    Attributes:
      text: Their text.
      tokens: How many they are.
      version: Weight version that produced them.
      offset: Index of the first one in the answer.
      finish_reason: Why the engine stopped, or None when it goes on.
    """

    text: str
    tokens: int
    version: int
    offset: int = 0
    finish_reason: str | None = None


class Completion(msgspec.Struct):
    """A request for a completion.

    Attributes:
      request_id: Names it for resuming and cancelling.
      model: Model or adapter.
      prompt: The prompt's text.
      max_tokens: Tokens after which the engine stops.
      resume_at: Index of the first token that is wanted.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    resume_at: int = 0


class Order(msgspec.Struct):
    """An order to an engine.

    Attributes:
      order: Its kind, such as 'load_version'.
      model: Model or adapter that it is about.
      version: Weight version to load.
      fence: Fencing number; an engine that checks refuses an older one.
      source: 'IP number:port' that the weights are fetched from.
      role: Role to take, for an order of that kind.
    """

    order: str
    model: str
    version: int
    fence: int
    source: str
    role: str = ''


class EngineLoad(msgspec.Struct):
    """What an engine says of itself, some time ago.

    Attributes:
      running: Requests in its batch.
      waiting: Requests in its own queue.
      slots: Requests that its batch takes.
      versions: Weight version by model.
      role: Role that it has.
      at_ms: Unix milliseconds of the report.
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
        """Yield lists of tokens until the engine says why it stopped.

        Raises:
          EngineUnreachableError: If nothing was sent.
          EngineRejectedError: If the engine does not run it.
          EngineBrokenError: If it ends early.
        """

    async def cancel(self, request_id: str) -> None:
        """Stop a request that nobody waits for; failures don't matter."""

    async def order(self, order: Order) -> dict[str, int]:
        """Give an order and return the versions it led to.

        Raises:
          OldFenceError: If the engine obeys a higher fencing number.
          EngineError: If it is not known to be carried out.
        """

    async def read_load(self) -> EngineLoad:
        """Read what the engine says of itself.

        Raises:
          EngineError: If it says nothing.
        """
