"""Forwards single requests: attempts, second attempts, and the answer.

Pattern: one replica in a group is slow or silent while the others are idle.
A request that may be repeated is sent to a second replica when the first has
not answered for a good part of the caller's aim; whichever answers first is
taken, and the other is cancelled.
"""

import asyncio
import random
import time

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement
from auburnroad_gateway.forwarding import attempt
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

# A second attempt begins after this share of the caller's aim: late enough
# for most answers, early enough to be in time itself.
SECOND_ATTEMPT_SHARE = 0.5
# Tries at replicas that did not run the request, besides max_attempts.
REFUSED_TRIES = 4


class Call:
    """A request on its way.

    Attributes:
      request: As the caller sent it.
      head: Its decoded head.
      route: Its route.
      service: The service that was drawn for it.
      deadline_at: The gateway answers by then, in monotonic seconds.
      tried: Ids of the replicas that it was sent to.
      ran: How many of them may have run it.
    """

    __slots__ = (
        'request',
        'head',
        'route',
        'service',
        'deadline_at',
        'tried',
        'ran',
        '_patience_at',
    )

    def __init__(
        self,
        request: messages.Request,
        head: call.CallHead,
        route: configuration.Route,
        now: float,
    ):
        self.request = request
        self.head = head
        self.route = route
        self.service = configuration.pick_service(route, random.random())
        self.deadline_at = now + route.timeout_ms / 1000
        self._patience_at = None
        if head.patience_ms is not None:
            self._patience_at = now + head.patience_ms / 1000
            self.deadline_at = min(self.deadline_at, self._patience_at)
        self.tried: set[str] = set()
        self.ran = 0

    @property
    def may_repeat(self) -> bool:
        """Whether one more attempt is allowed after one that may have run."""
        return self.route.repeatable and self.ran < self.route.max_attempts

    def find_patience_ms(self, now: float) -> int | None:
        """Find what is left of the caller's patience, in milliseconds."""
        if self._patience_at is None:
            return None
        return max(1, int((self._patience_at - now) * 1000))


class Forwarder:
    """Forwards requests to replicas."""

    __slots__ = ('_adapter', '_client', '_directory', '_failure_domain')

    def __init__(
        self,
        adapter: adapters.Adapter,
        http_client: client.HttpClient,
        replicas: directory.Directory,
        failure_domain: str,
    ):
        self._adapter = adapter
        self._client = http_client
        self._directory = replicas
        self._failure_domain = failure_domain

    def choose(self, pending: Call):
        """Choose a replica that the request was not sent to yet."""
        return placement.choose_replica(
            self._directory.list_ready(pending.service),
            self._failure_domain,
            time.monotonic(),
            pending.tried,
        )

    def build_request(
        self, pending: Call, target, last_event_id: int | None
    ) -> messages.Request:
        """Build the request for one attempt."""
        patience_ms = pending.find_patience_ms(time.monotonic())
        headers = self._adapter.build_attempt_headers(
            attempt.drop_hop_headers(pending.request.headers),
            target.id,
            patience_ms,
            last_event_id,
        )
        source = pending.request
        return messages.Request(
            source.method, source.target, headers, source.body
        )

    async def forward(self, pending: Call) -> messages.Response:
        """Forward a request that is answered with one whole body.

        Args:
          pending: The request.

        Returns:
          The replica's answer, or one of the gateway's own.
        """
        running: set[asyncio.Task] = set()
        try:
            return await self._race(pending, running)
        finally:
            for task in running:
                task.cancel()

    async def _race(self, pending: Call, running) -> messages.Response:
        last = attempt.Outcome(attempt.End.NOT_RUN, 'no replica')
        second_at = time.monotonic() + (
            SECOND_ATTEMPT_SHARE * pending.route.target_latency_ms / 1000
        )
        self._launch(pending, running)
        while running:
            now = time.monotonic()
            if now >= pending.deadline_at:
                return self._give_up(pending, 'deadline')
            until = pending.deadline_at
            hedging = pending.may_repeat and len(running) == 1
            if hedging:
                until = min(until, max(second_at, now))
            done, _ = await asyncio.wait(
                running,
                timeout=until - now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            running -= done
            if not done and hedging and time.monotonic() >= second_at:
                second_at = pending.deadline_at
                self._launch(pending, running)
            for task in done:
                last = task.result()
                metrics.ATTEMPTS.labels(last.end.value).inc()
                if last.succeeded:
                    return last.response
                self._retry(pending, running, last)
        return self._answer_failure(pending, last)

    def _launch(self, pending: Call, running) -> None:
        if len(pending.tried) >= pending.route.max_attempts + REFUSED_TRIES:
            return
        target = self.choose(pending)
        if target is None:
            return
        pending.tried.add(target.id)
        pending.ran += 1
        request = self.build_request(
            pending, target, pending.head.last_event_id
        )
        running.add(
            asyncio.ensure_future(
                attempt.send_whole(
                    self._client,
                    self._adapter,
                    target,
                    request,
                    pending.head.request_id,
                    not pending.route.repeatable,
                )
            )
        )

    def _retry(self, pending: Call, running, last: attempt.Outcome) -> None:
        if last.end is attempt.End.NOT_RUN:
            pending.ran -= 1
            if not running:
                self._launch(pending, running)
        elif pending.may_repeat and not running:
            self._launch(pending, running)

    def _answer_failure(self, pending: Call, last) -> messages.Response:
        if last.end is attempt.End.ANSWERED:
            return last.response
        if last.end is attempt.End.NOT_RUN and not pending.ran:
            self._write(pending, 'refused', last.reason)
            return refusals.refuse('no_replica', refusals.RETRY_SOON_SECONDS)
        self._write(pending, 'failed', last.reason)
        return refusals.build_error(502, 'no_answer')

    def _give_up(self, pending: Call, reason: str) -> messages.Response:
        self._write(pending, 'timed_out', reason)
        return refusals.build_error(504, 'timed_out')

    def _write(self, pending: Call, outcome: str, reason: str) -> None:
        events.write(
            'request_failed',
            request=pending.head.request_id,
            route=pending.route.name,
            service=pending.service,
            outcome=outcome,
            reason=reason,
            replicas=sorted(pending.tried),
        )
