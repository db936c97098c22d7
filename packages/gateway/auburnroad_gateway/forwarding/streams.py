"""Forwards streams event by event, and resumes them where that is allowed."""

import asyncio
import time

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.forwarding import attempt
from auburnroad_gateway.forwarding import event_stream
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.telemetry import events


class StreamForwarder:
    """Forwards requests whose answer is a stream of events."""

    __slots__ = ('_adapter', '_client', '_forwarder')

    def __init__(
        self,
        adapter: adapters.Adapter,
        http_client: client.HttpClient,
        forwarder: requests.Forwarder,
    ):
        self._adapter = adapter
        self._client = http_client
        self._forwarder = forwarder

    async def forward(self, pending: requests.Call) -> messages.Response:
        """Open a stream at a replica and pass its events on.

        Args:
          pending: The request.

        Returns:
          The replica's answer with its events as they come, or an answer of
          the gateway's own.
        """
        reason = 'no replica'
        last_id = pending.head.last_event_id
        timeout_at = pending.deadline_at
        while time.monotonic() < timeout_at:
            target = self._forwarder.choose(pending)
            if target is None:
                break
            try:
                async with asyncio.timeout_at(_loop_time(timeout_at)):
                    opened = await self._open(pending, target, last_id)
            except TimeoutError:
                return refusals.build_error(504, 'timed_out')
            if isinstance(opened, attempt.Opened):
                return await self._answer(pending, target, opened)
            reason = opened.reason
            if opened.end is attempt.End.UNKNOWN:
                pending.ran += 1
                if not pending.may_repeat:
                    return refusals.build_error(502, 'no_answer')
        events.write(
            'stream_refused', request=pending.head.request_id, reason=reason
        )
        return refusals.refuse('no_replica', refusals.RETRY_SOON_SECONDS)

    async def _open(self, pending, target, last_id):
        pending.tried.add(target.id)
        request = self._forwarder.build_request(pending, target, last_id)
        target.in_flight += 1
        try:
            return await attempt.open_attempt(
                self._client,
                self._adapter,
                target,
                request,
                pending.head.request_id,
                not pending.route.repeatable,
            )
        finally:
            target.in_flight -= 1

    async def _answer(self, pending, target, opened) -> messages.Response:
        pending.ran += 1
        headers = attempt.drop_hop_headers(opened.reply.headers)
        status = opened.reply.status
        if status != 200:
            try:
                body = await opened.reply.read()
            except client.HttpError:
                return refusals.build_error(502, 'no_answer')
            return messages.Response(status, headers, body)
        chunks = self._pass_on(pending, target, opened)
        return messages.Response(status, headers, chunks=chunks)

    async def _pass_on(self, pending, target, opened):
        """Yield raw events; resume at another replica after a break."""
        last_id = pending.head.last_event_id
        while True:
            target.in_flight += 1
            try:
                async for event in event_stream.iterate_events(
                    opened.reply, self._adapter
                ):
                    if event.id is not None:
                        last_id = event.id
                    yield event.raw
                target.note_success()
                return
            except client.HttpError as error:
                target.note_failure(time.monotonic())
                reason = str(error)
            finally:
                target.in_flight -= 1
                opened.reply.close()
            events.write(
                'stream_broken',
                request=pending.head.request_id,
                replica=target.id,
                last_event=last_id,
                reason=reason,
            )
            target, opened = await self._resume(pending, last_id)

    async def _resume(self, pending, last_id):
        while pending.may_repeat and pending.route.resumable:
            target = self._forwarder.choose(pending)
            if target is None:
                break
            opened = await self._open(pending, target, last_id)
            if isinstance(opened, attempt.Opened):
                pending.ran += 1
                if opened.reply.status == 200:
                    return target, opened
                opened.reply.close()
            elif opened.end is attempt.End.UNKNOWN:
                pending.ran += 1
        # The caller sees that the stream has no end.
        raise ConnectionResetError('the stream broke off')


def _loop_time(monotonic_at: float) -> float:
    loop = asyncio.get_running_loop()
    return loop.time() + (monotonic_at - time.monotonic())
