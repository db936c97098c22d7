"""Carries the log's states past the horizon at which records expire.

Any entry whose state is as new as the log may append a checkpoint: two of
them are equal in effect. Each entry draws a delay, so that mostly one does,
and looks again before it appends. A quarter of the retention leaves room for
an outage of the log service that lasts for half of it.
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

APPEND_LIMIT_MS = 10_000
LOOK_SECONDS = 1.0
# Entries that see the same need spread out over such a time. The first
# checkpoint may wait, as long as an entry runs for longer than that.
FIRST_SPREAD_MS = 600_000
MISSING_SPREAD_MS = 1_000


class Plan(msgspec.Struct):
    """When the next checkpoint of one stream is due.

    Attributes:
      checkpoint: Offset of the checkpoint that it follows, -1 for none.
      missing: Whether a reader could no longer start from that one.
      due_ms: Unix milliseconds.
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
    spread: float,
) -> Plan | None:
    """Keep a plan that still fits the stream, or make a new one.

    Args:
      plan: The plan so far.
      state: Folded state of the stream, None when it is unknown.
      first_offset: Oldest offset that the log service keeps.
      retention_ms: How long the log service keeps records, in milliseconds.
      now_ms: Unix milliseconds.
      spread: A number from 0 to 1 drawn for this call.

    Returns:
      The plan; None when there is nothing to carry.
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
        due_ms = now_ms + int(spread * MISSING_SPREAD_MS)
    elif state.checkpoint < 0:
        spread_ms = min(FIRST_SPREAD_MS, retention_ms // 8)
        due_ms = now_ms + int((1 + spread) * spread_ms)
    else:
        # The writer's clock may be ahead of ours.
        written_ms = min(state.checkpoint_ms, now_ms)
        due_ms = written_ms + retention_ms // 4
        due_ms += int(spread * (retention_ms // 8))
    return Plan(state.checkpoint, missing, due_ms)


class Checkpointer:
    """Appends the checkpoints of one stream while they are needed."""

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
            await asyncio.sleep(LOOK_SECONDS)

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
        if self._tail.state is None or not self._tail.up:
            return
        checkpoint = self._tail.fold.build_checkpoint(
            self._tail.state, now_ms, self._read_limits().key_life_ms
        )
        fate = await self._appender.append(
            checkpoint, now_ms + APPEND_LIMIT_MS
        )
        if isinstance(fate, appenders.Appended):
            logging.info(
                'log stream %s: checkpoint %d covers %d',
                self._tail.fold.STREAM,
                fate.offset,
                checkpoint.covers,
            )
