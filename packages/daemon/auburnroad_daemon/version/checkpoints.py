"""Appends checkpoints, so that folded states outlive the log's retention.

Any entry whose state is up to date may append a checkpoint; a duplicate has
no further effect. Each entry draws a random delay, so that usually only one
appends, and rechecks the stream first. An interval of a quarter of the
retention tolerates a log outage of half the retention.
"""

import asyncio
import random
import typing

from absl import logging
import msgspec

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import tail as tails
from auburnroad_core.settings import deployment

APPEND_TIMEOUT_MS = 10_000
CHECK_INTERVAL_SECONDS = 1.0
# Upper bounds of the random delay that spreads the appends of several entries.
# The first checkpoint may be appended up to twice MAX_FIRST_JITTER_MS late,
# provided that an entry runs for longer than this time.
MAX_FIRST_JITTER_MS = 600_000
MAX_MISSING_JITTER_MS = 1_000


class Plan(msgspec.Struct):
    """Schedule of the next checkpoint of one stream.

    Attributes:
      checkpoint: Offset of the previous checkpoint, -1 for none.
      missing: Whether the log no longer retains the previous checkpoint or a
        record that the checkpoint does not cover, so that a new reader can't
        start from it.
      due_ms: Due time in Unix milliseconds.
    """

    checkpoint: int
    missing: bool
    due_ms: int


def update_plan(
    plan: Plan | None,
    state: typing.Any,
    first_offset: int,
    retention_ms: int,
    now_ms: int,
    jitter: float,
) -> Plan | None:
    """Keep a plan that still matches the stream, or build a new one.

    Args:
      plan: The previous plan, or None.
      state: Folded state of the stream, None if it is unknown.
      first_offset: Oldest offset that the log service retains.
      retention_ms: Retention of the log service, in milliseconds.
      now_ms: Current time in Unix milliseconds.
      jitter: Random number from 0 to 1, drawn for this call.

    Returns:
      The plan; None if the state has no records to preserve.
    """
    if state is None or state.applied < 0:
        return None
    missing = first_offset > 0 and (
        state.checkpoint < first_offset
        or state.checkpoint_covers + 1 < first_offset
    )
    if plan is not None and (
        (plan.checkpoint, plan.missing) == (state.checkpoint, missing)
    ):
        return plan
    if missing:
        due_ms = now_ms + int(jitter * MAX_MISSING_JITTER_MS)
    elif state.checkpoint < 0:
        jitter_ms = min(MAX_FIRST_JITTER_MS, retention_ms // 8)
        due_ms = now_ms + int((1 + jitter) * jitter_ms)
    else:
        # The writer's clock may be ahead of the local clock.
        written_ms = min(state.checkpoint_ms, now_ms)
        due_ms = written_ms + retention_ms // 4
        due_ms += int(jitter * (retention_ms // 8))
    return Plan(state.checkpoint, missing, due_ms)


class Checkpointer:
    """Appends checkpoints to one stream when they are due."""

    __slots__ = ('_tail', '_appender', '_read_limits', '_plan')

    def __init__(
        self,
        tail: tails.Tail,
        appender: appenders.Appender,
        read_limits: typing.Callable[[], deployment.Limits],
    ):
        self._tail = tail
        self._appender = appender
        self._read_limits = read_limits
        self._plan: Plan | None = None

    async def run(self) -> None:
        """Append checkpoints until cancelled."""
        while True:
            now_ms = clock.time_now_ms()
            self._update(now_ms)
            if self._plan is not None and self._plan.due_ms <= now_ms:
                await self._append(now_ms)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _update(self, now_ms: int) -> None:
        self._plan = update_plan(
            self._plan,
            self._tail.state,
            self._tail.first_offset,
            self._read_limits().retention_ms,
            now_ms,
            random.random(),
        )

    async def _append(self, now_ms: int) -> None:
        if self._tail.state is None or not self._tail.is_up_to_date:
            return
        checkpoint = self._tail.fold.build_checkpoint(
            self._tail.state, now_ms, self._read_limits().key_life_ms
        )
        result = await self._appender.append(
            checkpoint, now_ms + APPEND_TIMEOUT_MS
        )
        if isinstance(result, appenders.Appended):
            logging.info(
                'log stream %s: checkpoint %d covers records up to %d',
                self._tail.fold.STREAM,
                result.offset,
                checkpoint.covers,
            )
