"""Accepts batches once they are completely written to the log.

A batch is refused only if it certainly is not in the log. If the log
service does not confirm an append, the batch may be in the log: the response
then states an unknown outcome, and the trainer submits the batch again.
"""

import asyncio
import time
import typing
import uuid

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events

# Timeout of an append while the log service is unavailable. Trainers retry
# only a few times, and most outages last a few seconds.
APPEND_TIMEOUT_SECONDS = 3.0
RETRY_AFTER_SECONDS = 1.0
# Timeout of the read that shows which account a batch belongs to; with the
# append, it has to end before a planned stop does.
LOG_READ_TIMEOUT_SECONDS = 0.5


class Intake:
    """Accepts the batches that trainers submit."""

    __slots__ = ('_adapter', '_journal', '_choose_owner', '_match_route')

    def __init__(
        self,
        adapter: adapters.Adapter,
        batch_journal: journal.Journal,
        choose_owner: typing.Callable[[configuration.Route], str],
        match_route: typing.Callable[[str, str], configuration.Route | None],
    ):
        """Initialize the intake.

        Args:
          adapter: Decodes submissions.
          batch_journal: Journal to which batches are appended.
          choose_owner: Returns the incarnation that runs batches of a route.
          match_route: Returns the route of a host and a path, if any.
        """
        self._adapter = adapter
        self._journal = batch_journal
        self._choose_owner = choose_owner
        self._match_route = match_route

    async def submit(
        self,
        route: configuration.Route,
        request: messages.Request,
        account: str | None = None,
    ) -> messages.Response:
        """Accept a batch.

        Args:
          route: Route of the batch.
          request: Request of the trainer.
          account: Name of the trainer's account; empty if it has none, None if
            the deployment has no accounts.

        Returns:
          Status 202 once the batch is in the log, 400 if the request is not
          a valid batch, 404 if its id is that of a batch of another account,
          413 if the log can't hold its records,
          503 if the batch is not in the log and will not be, 504 if the
          outcome is unknown.
        """
        try:
            submission = self._adapter.decode_submission(request)
        except adapters.InvalidMessageError as error:
            events.write('batch_invalid', error=str(error))
            return refusals.build_error(400, 'not_a_batch')
        submission = msgspec.structs.replace(submission, account=account or '')
        if submission.batch_id in self._journal.fold.batches:
            return self._build_response(submission, account)
        started = time.monotonic()
        refusal = self._check_reward_routes(submission)
        if refusal is not None:
            return refusal
        try:
            await self._write_batch(route, submission, started)
        except appender.AppendTimeoutError as error:
            return self._build_timeout_response(submission, error, started)
        except service.LogTooLargeError as error:
            events.write('batch_invalid', error=str(error))
            return refusals.build_error(413, 'batch_too_large')
        if account is not None and not await self._catch_up(submission):
            self._write_event('batch_in_doubt', submission, started)
            return refusals.build_error(504, 'log_silent')
        response = self._build_response(submission, account)
        if response.status == 202:
            self._write_event('batch_accepted', submission, started)
        return response

    def _build_response(
        self, submission: batch.Submission, account: str | None
    ) -> messages.Response:
        """Build the response to the submission of a batch in the log."""
        state = self._journal.fold.batches.get(submission.batch_id)
        if account is None or state is None:
            return messages.Response(202)
        if state.account and state.account != account:
            events.write('batch_of_other_account', batch=submission.batch_id)
            return refusals.build_error(404, 'no_such_batch')
        return messages.Response(202)

    async def _catch_up(self, submission: batch.Submission) -> bool:
        """Read the batch back, since another account may have been first.

        Returns:
          Whether the log was read to its end.
        """
        try:
            async with asyncio.timeout(LOG_READ_TIMEOUT_SECONDS):
                await self._journal.catch_up(submission.batch_id)
        except (service.LogError, TimeoutError):
            return False
        return True

    def _check_reward_routes(
        self, submission: batch.Submission
    ) -> messages.Response | None:
        """Check that the reward calls of a batch can be sent and repeated.

        A reward call without a route is refused with 503, as the route may be
        part of a configuration that this gateway hasn't read yet.

        Returns:
          The response to the trainer; None if all calls can be sent.
        """
        targets = {
            (item.reward.host, item.reward.path.partition('?')[0])
            for item in submission.items
            if item.reward is not None
        }
        for host, path in targets:
            route = self._match_route(host, path)
            if route is None:
                events.write(
                    'reward_route_missing',
                    batch=submission.batch_id,
                    target=f'{host}{path}',
                )
                return refusals.build_refusal(
                    'no_reward_route', RETRY_AFTER_SECONDS
                )
            if not route.repeatable:
                events.write(
                    'batch_invalid',
                    error=f'reward calls of route {route.name} run only once',
                )
                return refusals.build_error(400, 'reward_not_repeatable')
        return None

    async def _write_batch(self, route, submission, started: float) -> None:
        """Append the bodies, if stored separately, and then the batch.

        A batch is not accepted if only its bodies were written.
        """
        submitted_ms = clock.time_now_ms()
        try:
            bodies = await self._journal.write_bodies(
                submission, APPEND_TIMEOUT_SECONDS
            )
        except appender.AppendTimeoutError as error:
            raise appender.AppendTimeoutError(
                appender.AppendState.WITHDRAWN
            ) from error
        encoded = records.build_submission_records(
            submission,
            uuid.uuid4().hex,
            self._choose_owner(route),
            submitted_ms,
            self._journal.record_bytes,
            bodies,
        )
        left_seconds = started + APPEND_TIMEOUT_SECONDS - time.monotonic()
        await self._append(submission.batch_id, encoded, left_seconds)

    async def _append(
        self, batch_id: str, encoded: list[bytes], timeout_seconds: float
    ) -> None:
        """Append records in calls of at most call_bytes bytes.

        The batch is complete in the log once the last call has succeeded.
        """
        calls = [[]]
        left_bytes = self._journal.call_bytes
        for record in encoded:
            size = service.measure_records([record])
            if calls[-1] and left_bytes < size:
                calls.append([])
                left_bytes = self._journal.call_bytes
            calls[-1].append(record)
            left_bytes -= size
        for call in calls:
            await self._journal.append(batch_id, call, timeout_seconds)

    def _build_timeout_response(
        self, submission: batch.Submission, error, started: float
    ) -> messages.Response:
        if error.state is appender.AppendState.WITHDRAWN:
            self._write_event('batch_refused', submission, started)
            return refusals.build_refusal('log_away', RETRY_AFTER_SECONDS)
        self._write_event('batch_in_doubt', submission, started)
        return refusals.build_error(504, 'log_silent')

    def _write_event(self, event: str, submission, started: float) -> None:
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
