"""The trainers' stream of the log as owners use it."""

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import records
from auburnroad_core.log import tail as tails
from auburnroad_core.log import trainer_fold
from auburnroad_core.platform import log_service

APPEND_TIMEOUT_MS = 3000


class TrainerLog:
    """Reads the folded state of trainers and appends their records."""

    __slots__ = ('_tail', '_appender')

    def __init__(self, tail: tails.Tail, appender: appenders.Appender):
        self._tail = tail
        self._appender = appender

    def find(self, trainer: str) -> trainer_fold.TrainerState:
        """Find the folded state of a trainer.

        Args:
          trainer: Trainer's name.

        Returns:
          The state; that of an unknown trainer before anything was read.
        """
        if self._tail.state is None:
            return trainer_fold.TrainerState()
        return self._tail.state.find_trainer(trainer)

    async def append(self, record: records.Record) -> int:
        """Append a record and wait until it is folded in.

        Args:
          record: The record.

        Returns:
          Its offset; whether it had an effect shows in the folded state.

        Raises:
          LogUnavailableError: If it could not be read back in time; it may
            still appear, and what depends on it must allow for that.
        """
        if not self._tail.up:
            # Known to be down: whoever waits is told at once.
            raise log_service.LogUnavailableError('the stream is not read')
        deadline_ms = clock.time_now_ms() + APPEND_TIMEOUT_MS
        fate = await self._appender.append(record, deadline_ms)
        if isinstance(fate, appenders.NotAppended):
            raise log_service.LogUnavailableError('not read back in time')
        return fate.offset
