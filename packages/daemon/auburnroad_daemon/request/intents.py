"""Refuses every non-idempotent request, until the gate proper is there."""

import msgspec

from auburnroad_core import types


class Held(msgspec.Struct, frozen=True):
    """The key is ours."""

    key: str


class Taken(msgspec.Struct, frozen=True):
    """The key is another's."""

    outcome: types.Outcome
    status: int


class Refused(msgspec.Struct, frozen=True):
    """The request can't be run now."""

    status: int
    code: str
    message: str
    outcome: types.Outcome
    retry_at_ms: int


class IntentGate:
    """Lets nothing through."""

    def __init__(self, appender, tail, daemon_name):
        self.key_life_ms = 0

    async def acquire(self, key, digest, deadline_ms):
        """Refuse."""
        return Refused(
            503, 'not_built', 'not built yet', types.Outcome.NOT_RUN, 0
        )

    def record_result(self, held, outcome, status):
        """Record nothing."""
