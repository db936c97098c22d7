"""Forwards event streams and resumes broken streams of resumable routes.

A stream goes on at replicas of the release that began it, and only with the
event that follows the last one. Which release a replica runs is known from its
registration. A gateway that stood still or was cut off may not have read that
another release was started under the id of a replica, so registrations are
read once more before the events of a resumed stream are believed.
"""

import asyncio
import time

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.forwarding import attempt
from auburnroad_gateway.forwarding import crash_watch
from auburnroad_gateway.forwarding import event_stream
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.forwarding import stream_releases
from auburnroad_gateway.log import shared_refresh
from auburnroad_gateway.log import tail
from auburnroad_gateway.telemetry import events


# Time for which a stream waits until the release of its replica is recorded.
RECORD_SECONDS = 0.5
# Time for which a resumed stream waits for the registrations to be read.
REGISTRATION_READ_SECONDS = 0.5
# While the log service is away, a stream goes on if the registrations were
# read within this time.
MAX_REGISTRATION_AGE_SECONDS = 3.0
# Share of the route's target latency for which the first event of a stream
# waits until the log has the stream's release.
FIRST_EVENT_LATENCY_SHARE = 0.25


class StreamForwarder:
    """Forwards requests whose response is a stream of events."""

    __slots__ = (
        '_adapter',
        '_client',
        '_forwarder',
        '_crash_watch',
        '_releases',
        '_replica_tail',
        '_registrations',
    )

    def __init__(
        self,
        adapter: adapters.Adapter,
        http_client: client.HttpClient,
        forwarder: requests.Forwarder,
        watch: crash_watch.CrashWatch,
        releases: stream_releases.StreamReleases,
        replica_tail: tail.KeyedTail,
    ):
        """Create a forwarder.

        Args:
          adapter: Decodes and builds messages.
          http_client: Connections to replicas.
          forwarder: Chooses replicas.
          watch: What is known of requests that crash replicas.
          releases: Releases that began streams.
          replica_tail: Tail of the registrations.
        """
        self._adapter = adapter
        self._client = http_client
        self._forwarder = forwarder
        self._crash_watch = watch
        self._releases = releases
        self._replica_tail = replica_tail
        self._registrations = shared_refresh.SharedRefresh(
            'registrations_not_read', replica_tail.catch_up
        )

    async def forward(
        self, pending: requests.PendingRequest
    ) -> messages.Response:
        """Open a stream at a replica and relay its events.

        Args:
          pending: Request to forward.

        Returns:
          The replica's response, whose body yields events as they arrive, or
          an error response of the gateway.
        """
        if self._forwarder.must_refuse(pending):
            return self._forwarder.refuse(pending)
        if pending.head.resumes:
            refused = await self._set_release(pending)
            if refused:
                return self._refuse_to_resume(pending, refused)
        return await self._open_at_any(pending)

    async def _open_at_any(
        self, pending: requests.PendingRequest
    ) -> messages.Response:
        """Open a stream at the first replica that accepts it."""
        reason = 'no replica'
        last_event_id = pending.head.last_event_id
        timeout_at = pending.deadline_at
        while (
            time.monotonic() < timeout_at
            and await self._forwarder.may_send_when_probed(pending)
        ):
            target = await self._forwarder.choose_replica(pending)
            if target is None:
                break
            if not await self._may_begin(pending, target):
                pending.tried_replicas |= self._list_same_release(
                    pending, target
                )
                reason = 'release not recorded'
                continue
            try:
                async with asyncio.timeout_at(_to_loop_time(timeout_at)):
                    opened = await self._open_stream(
                        pending, target, last_event_id
                    )
            except TimeoutError:
                return refusals.build_error(504, 'timed_out')
            if isinstance(opened, attempt.OpenResponse):
                return await self._build_response(pending, target, opened)
            reason = opened.reason
            if opened.end is attempt.AttemptOutcomeKind.UNKNOWN:
                pending.possible_runs += 1
                if not pending.may_repeat:
                    return refusals.build_error(502, 'no_answer')
        events.write(
            'stream_refused', request=pending.head.request_id, reason=reason
        )
        if pending.possible_runs:
            return refusals.build_error(502, 'no_answer')
        return refusals.build_refusal('no_replica', pending.retry_seconds)

    async def _may_begin(self, pending, target) -> bool:
        """Tell whether the events of a replica may be the first of a stream.

        Its release has to be in the log before a caller has an event of it.
        """
        if pending.release is not None or not pending.route.resumable:
            return True
        return await self._releases.in_service.record(
            [(pending.route.host, target.release)],
            min(
                RECORD_SECONDS,
                max(0.0, pending.deadline_at - time.monotonic()),
            ),
        )

    def _list_same_release(self, pending, target) -> set[str]:
        """List the ids of the replicas of the same release as another one."""
        return {
            other.id
            for other in self._forwarder.list_candidates(pending)
            if other.release == target.release
        }

    async def _set_release(self, pending: requests.PendingRequest) -> str:
        """Set the release that began a stream which a caller takes up.

        Returns:
          Why the stream can't go on; empty if it can.
        """
        route = pending.route
        if not await self._read_registrations():
            return 'registrations not read'
        origin = await self._releases.find_origin(
            pending.head.begun_by,
            route.host,
            lambda: self._forwarder.list_releases(route),
        )
        if origin.release is None:
            return origin.reason
        pending.release = origin.release
        services = {backend.service for backend in route.backends}
        if origin.release.service in services:
            pending.service = origin.release.service
        if not self._forwarder.list_candidates(pending):
            return 'no replica of its release'
        return ''

    def _refuse_to_resume(
        self, pending: requests.PendingRequest, reason: str
    ) -> messages.Response:
        events.write(
            'stream_not_resumed',
            request=pending.head.request_id,
            begun_by=pending.head.begun_by,
            release=pending.release,
            reason=reason,
        )
        return refusals.build_refusal(
            'release_unavailable', refusals.RETRY_AFTER_OUTAGE_SECONDS
        )

    async def _open_stream(self, pending, target, last_event_id):
        pending.tried_replicas.add(target.id)
        request = self._forwarder.build_request(pending, target, last_event_id)
        self._note_start(pending, target)
        count = self._forwarder.begin_count(pending)
        opened = None
        try:
            opened = await attempt.send_attempt(
                self._client,
                self._adapter,
                target,
                request,
                pending.head.request_id,
                not pending.route.repeatable,
                count.on_send,
            )
        finally:
            self._note_end(pending, target)
            count.note_outcome(opened)
        if isinstance(opened, attempt.Outcome):
            if opened.broken:
                self._crash_watch.note_broken(pending.fingerprint, target)
            return opened
        return self._check_head(target, opened)

    def _check_head(self, target, opened):
        """Return an outcome in place of a response of unknown origin."""
        if opened.reply.status >= attempt.FIRST_SERVER_ERROR_STATUS or (
            opened.head.signed and not opened.head.encoded
        ):
            return opened
        opened.reply.close()
        target.note_failure(time.monotonic())
        return attempt.Outcome(
            attempt.AttemptOutcomeKind.UNKNOWN,
            'unsigned or re-encoded response',
        )

    async def _read_registrations(self) -> bool:
        """Read the registrations; tell whether they are known to be new."""
        if await self._registrations.read_from_now(REGISTRATION_READ_SECONDS):
            return True
        age = clock.read_boot_clock_seconds() - self._replica_tail.complete_at
        return age <= MAX_REGISTRATION_AGE_SECONDS

    async def _build_response(
        self, pending, target, opened
    ) -> messages.Response:
        pending.possible_runs += 1
        headers = attempt.drop_hop_by_hop_headers(opened.reply.headers)
        status = opened.reply.status
        if status != 200:
            try:
                body = await opened.reply.read()
            except client.HttpError:
                return refusals.build_error(502, 'no_answer')
            if opened.head.signed:
                self._crash_watch.note_answer(pending.fingerprint)
            return messages.Response(status, headers, body)
        chunks = self._relay_events(pending, target, opened)
        return messages.Response(status, headers, chunks=chunks)

    async def _relay_events(self, pending, target, opened):
        """Yield raw events and resume on another replica after a break."""
        last_event_id = pending.head.last_event_id
        while True:
            self._note_start(pending, target)
            try:
                if last_event_id is not None:
                    await self._check_release(target)
                async for event in event_stream.iterate_events(
                    opened.reply, self._adapter
                ):
                    if target.superseded:
                        raise ConnectionResetError(
                            'release of the replica is unknown'
                        )
                    if pending.route.resumable:
                        _check_order(event, last_event_id)
                    if event.id is not None:
                        last_event_id = event.id
                    if pending.release is None:
                        await self._note_begun(pending, target)
                    yield event.raw
                target.note_success()
                self._crash_watch.note_answer(pending.fingerprint)
                return
            except client.HttpError as error:
                target.note_failure(time.monotonic())
                self._crash_watch.note_broken(pending.fingerprint, target)
                reason = str(error)
            finally:
                self._note_end(pending, target)
                opened.reply.close()
            events.write(
                'stream_broken',
                request=pending.head.request_id,
                replica=target.id,
                last_event=last_event_id,
                reason=reason,
            )
            target, opened = await self._resume(pending, last_event_id)

    async def _check_release(self, target) -> None:
        """Check that a replica that goes on with a stream is what it was.

        Raises:
          client.BrokenError: It may run another release than the one that it
            was chosen for.
        """
        if not await self._read_registrations() or target.superseded:
            raise client.BrokenError('release of the replica is unknown')

    def _note_start(self, pending, target) -> None:
        target.in_flight += 1
        self._crash_watch.note_run_start(pending.fingerprint)

    def _note_end(self, pending, target) -> None:
        target.note_end()
        self._crash_watch.note_run_end(pending.fingerprint)

    async def _note_begun(self, pending, target) -> None:
        pending.release = target.release
        route = pending.route
        if route.resumable:
            await self._releases.share(
                pending.head.request_id,
                route.host,
                target.release,
                self._forwarder.list_releases(route),
                FIRST_EVENT_LATENCY_SHARE * route.target_latency_ms / 1000,
            )

    async def _resume(self, pending, last_event_id):
        while (
            pending.may_repeat
            and pending.route.resumable
            and await self._forwarder.may_send_when_probed(pending)
        ):
            target = await self._forwarder.choose_replica(pending)
            if target is None:
                break
            opened = await self._open_stream(pending, target, last_event_id)
            if isinstance(opened, attempt.OpenResponse):
                pending.possible_runs += 1
                if opened.reply.status == 200:
                    return target, opened
                opened.reply.close()
            elif opened.end is attempt.AttemptOutcomeKind.UNKNOWN:
                pending.possible_runs += 1
        # The server closes the connection without ending the body, so that
        # the caller can tell that the stream is incomplete.
        raise ConnectionResetError('event stream broke and was not resumed')


def _check_order(event: event_stream.Event, last_event_id: int | None) -> None:
    """Check that an event of a resumable stream follows the last one.

    Raises:
      client.BrokenError: The event has no number, or another one.
    """
    if event.id is None:
        raise client.BrokenError('event without a number')
    if last_event_id is not None and event.id != last_event_id + 1:
        raise client.BrokenError(
            f'event {event.id} does not follow {last_event_id}'
        )


def _to_loop_time(monotonic_at: float) -> float:
    loop = asyncio.get_running_loop()
    return loop.time() + (monotonic_at - time.monotonic())
