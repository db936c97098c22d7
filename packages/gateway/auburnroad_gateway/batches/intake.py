"""Accepts batches: the whole batch is in the log before the trainer hears.

A batch is refused only while it certainly isn't in the log. When the log
doesn't answer, it may be: the trainer then gets an answer that promises
nothing, and sends the batch again.
"""

import time
import typing
import uuid

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.log import appender
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events

# How long a batch waits for a log service that is away. Trainers come back
# only a few times, and most outages are seconds long.
APPEND_SECONDS = 3.0
RETRY_SECONDS = 1.0


class Intake:
    """Takes batches from trainers."""

    __slots__ = ('_adapter', '_journal', '_choose_owner')

    def __init__(
        self,
        adapter: adapters.Adapter,
        batch_journal: journal.Journal,
        choose_owner: typing.Callable[[configuration.Route], str],
    ):
        """Wire the intake.

        Args:
          adapter: Decodes batches.
          batch_journal: Where they go.
          choose_owner: Chooses the incarnation that runs a batch.
        """
        self._adapter = adapter
        self._journal = batch_journal
        self._choose_owner = choose_owner

    async def submit(
        self, route: configuration.Route, request: messages.Request
    ) -> messages.Response:
        """Accept a batch.

        Args:
          route: The batch's route.
          request: The trainer's request.

        Returns:
          202 once the batch is in the log; 503 if it isn't and won't be; 504
          if that is unknown.
        """
        try:
            submission = self._adapter.decode_submission(request)
        except adapters.InvalidMessageError as error:
            events.write('batch_invalid', error=str(error))
            return refusals.build_error(400, 'not_a_batch')
        if submission.batch_id in self._journal.fold.batches:
            return messages.Response(202)
        started = time.monotonic()
        try:
            await self._write_batch(route, submission, started)
        except appender.AppendTimeoutError as error:
            return self._answer_timeout(submission, error, started)
        self._write('batch_accepted', submission, started)
        return messages.Response(202)

    async def _write_batch(self, route, submission, started: float) -> None:
        """Append the bodies, where they lie apart, and then the batch.

        A batch of which only the bodies were written was not accepted.
        """
        submitted_ms = clock.time_now_ms()
        try:
            bodies = await self._journal.write_bodies(
                submission, APPEND_SECONDS
            )
        except appender.AppendTimeoutError as error:
            raise appender.AppendTimeoutError(
                appender.Fate.WITHDRAWN
            ) from error
        encoded = records.build_submission_records(
            submission,
            uuid.uuid4().hex,
            self._choose_owner(route),
            submitted_ms,
            self._journal.record_bytes,
            bodies,
        )
        left_seconds = started + APPEND_SECONDS - time.monotonic()
        await self._append(submission.batch_id, encoded, left_seconds)

    async def _append(
        self, batch_id: str, encoded: list[bytes], timeout_seconds: float
    ) -> None:
        """Append in calls as large as allowed; the last one completes it."""
        calls = [[]]
        room = self._journal.call_bytes
        for record in encoded:
            if calls[-1] and room < len(record):
                calls.append([])
                room = self._journal.call_bytes
            calls[-1].append(record)
            # Each record is framed by its length.
            room -= len(record) + 4
        for call in calls:
            await self._journal.append(batch_id, call, timeout_seconds)

    def _answer_timeout(
        self, submission: batch.Submission, error, started: float
    ) -> messages.Response:
        if error.fate is appender.Fate.WITHDRAWN:
            self._write('batch_refused', submission, started)
            return refusals.refuse('log_away', RETRY_SECONDS)
        self._write('batch_in_doubt', submission, started)
        return refusals.build_error(504, 'log_silent')

    def _write(self, event: str, submission, started: float) -> None:
        events.write(
            event,
            batch=submission.batch_id,
            step=submission.step,
            model=submission.model,
            minimum_version=submission.minimum_version,
            items=len(submission.items),
            groups_wanted=submission.groups_wanted,
            took_ms=int((time.monotonic() - started) * 1000),
        )
