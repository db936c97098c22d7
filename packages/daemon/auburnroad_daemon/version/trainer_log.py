"""Gives owners access to the trainers' log stream."""

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import records
from auburnroad_core.log import tail as tails
from auburnroad_core.log import trainer_fold
from auburnroad_core.platform import log_service

APPEND_TIMEOUT_MS = 3000


class TrainerLog:
    """Finds the folded state of trainers and appends their records."""

    __slots__ = ('_tail', '_appender')

    def __init__(self, tail: tails.Tail, appender: appenders.Appender):
        self._tail = tail
        self._appender = appender

    def find(self, trainer: str) -> trainer_fold.TrainerState:
        """Find the folded state of a trainer.

        Args:
          trainer: Trainer's name.

        Returns:
          The state; an empty state if the stream has not been read yet.
        """
        if self._tail.state is None:
            return trainer_fold.TrainerState()
        return self._tail.state.find_trainer(trainer)

    async def append(self, record: records.Record) -> int:
        """Append a record and wait until it is folded.

        Args:
          record: The record.

        Returns:
          Offset of the record; the folded state shows whether it took effect.

        Raises:
          LogUnavailableError: If the record was not read back in time. The
            record may still appear in the log and take effect later, so
            callers must not treat it as absent.
        """
        if not self._tail.is_up_to_date:
            # Fails at once instead of letting the caller wait for the timeout.
            raise log_service.LogUnavailableError(
                "the trainers' log stream cannot be read"
            )
        deadline_ms = clock.time_now_ms() + APPEND_TIMEOUT_MS
        result = await self._appender.append(record, deadline_ms)
        if isinstance(result, appenders.NotAppended):
            raise log_service.LogUnavailableError(
                'the record was not read back in time'
            )
        return result.offset
