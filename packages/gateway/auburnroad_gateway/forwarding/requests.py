"""Forwards single requests to replicas, with retries and hedging.

Hedging covers the case of one replica that is slow or silent while the other
replicas of its service are idle. A repeatable request is sent to a second
replica if the first has not responded within a share of the route's target
latency. The first response wins and the other attempt is cancelled.
"""

import asyncio
import random
import time

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement
from auburnroad_gateway.directory import replica
from auburnroad_gateway.forwarding import admission
from auburnroad_gateway.forwarding import attempt
from auburnroad_gateway.forwarding import crash_records
from auburnroad_gateway.forwarding import crash_watch
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.forwarding import service_fallback
from auburnroad_gateway.members import permits as all_permits
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import registration
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics
from auburnroad_gateway.usage import attempts as usage_attempts
from auburnroad_gateway.usage import counting

# Share of the route's target latency after which the hedged attempt starts:
# most responses have arrived by then, and the hedged attempt can still meet
# the target.
HEDGE_LATENCY_SHARE = 0.5
# Attempts allowed beyond max_attempts, for replicas that did not run the
# request.
EXTRA_ATTEMPTS = 4
UNCOUNTED = usage_attempts.AttemptCounts()


class PendingRequest:
    """A caller's request that the gateway has not answered yet.

    Attributes:
      request: Request as the caller sent it.
      head: Decoded head of the request.
      route: Route that the request matched.
      service: Service of the next attempt, drawn by weight.
      deadline_at: Monotonic time in seconds by which the gateway responds.
      tried_replicas: Ids of the replicas that the request was sent to.
      possible_runs: Number of attempts that may have run the request.
      server_errors: Number of answers with status 500.
      retry_seconds: Seconds after which the caller should return if the
        request is refused.
      release: Release at which the request has to run, since it has events of
        it; None for any.
      fingerprint: Fingerprint of the request; empty for a request of the
        gateway itself, which is never suspected of crashing replicas.
      account: Name of the account that replicas are told; empty for a request
        without an account, None if the deployment has no accounts.
      usage: What the usage report counts of the request.
      priority: Priority of the request; zero is the highest.
    """

    __slots__ = (
        'request',
        'head',
        'route',
        'service',
        'deadline_at',
        'tried_replicas',
        'possible_runs',
        'server_errors',
        'retry_seconds',
        'release',
        'fingerprint',
        'account',
        'usage',
        'priority',
        '_caller_deadline_at',
    )

    def __init__(
        self,
        request: messages.Request,
        head: call.CallHead,
        route: configuration.Route,
        now: float,
        fingerprint: str = '',
        account: str | None = None,
        priority: int | None = None,
    ):
        self.request = request
        self.head = head
        self.route = route
        self.service = configuration.choose_service(route, random.random())
        self.deadline_at = now + route.timeout_ms / 1000
        self._caller_deadline_at = None
        if head.patience_ms is not None:
            self._caller_deadline_at = now + head.patience_ms / 1000
            self.deadline_at = min(self.deadline_at, self._caller_deadline_at)
        self.tried_replicas: set[str] = set()
        self.possible_runs = 0
        self.server_errors = 0
        self.retry_seconds = refusals.RETRY_AFTER_SECONDS
        self.release: registration.Release | None = None
        self.fingerprint = fingerprint
        self.account = account
        self.usage = counting.ClientAttempt()
        self.priority = route.priority if priority is None else priority

    @property
    def may_repeat(self) -> bool:
        """Whether a retry is allowed after an attempt that may have run."""
        return (
            self.route.repeatable
            and self.possible_runs < self.route.max_attempts
        )

    def compute_remaining_ms(self, now: float) -> int | None:
        """Compute the time left until the caller's deadline.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Milliseconds, at least 1; None if the caller set no deadline.
        """
        if self._caller_deadline_at is None:
            return None
        return max(1, int((self._caller_deadline_at - now) * 1000))


class Forwarder:
    """Forwards requests to replicas."""

    __slots__ = (
        '_adapter',
        '_client',
        '_directory',
        '_failure_domain',
        '_permits',
        '_crash_watch',
        '_usage',
        '_admission',
    )

    def __init__(
        self,
        adapter: adapters.Adapter,
        http_client: client.HttpClient,
        replicas: directory.Directory,
        failure_domain: str,
        permits: all_permits.Permits,
        watch: crash_watch.CrashWatch,
        usage: usage_attempts.AttemptCounts = UNCOUNTED,
        admissions: admission.Admission | None = None,
    ):
        self._adapter = adapter
        self._client = http_client
        self._directory = replicas
        self._failure_domain = failure_domain
        self._permits = permits
        self._crash_watch = watch
        self._usage = usage
        self._admission = admissions

    async def choose_replica(
        self, pending: PendingRequest
    ) -> replica.Replica | None:
        """Choose a replica that the request was not sent to yet, if any.

        A replica that limits its rate is chosen only with a permit, and only
        if all others are busy.
        """
        now = time.monotonic()
        service_fallback.update_service(pending, self._directory)
        best = self._choose_unlimited(pending, now)
        limited = [
            target
            for target in self.list_candidates(pending)
            if target.rate_limit is not None
            and target.id not in pending.tried_replicas
        ]
        is_free = best is not None and (
            best.count_free(now) > 0 and best.avoid_until <= now
        )
        if is_free or not limited:
            return best
        target, retry_seconds = await self._permits.acquire(
            pending.service,
            placement.order_by_load(limited, self._failure_domain, now),
        )
        if target is not None and self._directory.is_ready(target):
            return target
        pending.retry_seconds = max(
            refusals.RETRY_AFTER_SECONDS, retry_seconds
        )
        return best

    def list_candidates(
        self, pending: PendingRequest
    ) -> list[replica.Replica]:
        """List the replicas that accept work and may run a request."""
        return placement.list_with_release(
            self._directory.list_ready(pending.service), pending.release
        )

    def list_releases(
        self, route: configuration.Route
    ) -> set[registration.Release]:
        """List the releases of all replicas of a route's services."""
        return {
            target.release
            for backend in route.backends
            for target in self._directory.list_all(backend.service)
        }

    def _choose_unlimited(
        self, pending: PendingRequest, now: float
    ) -> replica.Replica | None:
        return placement.choose_replica(
            [
                target
                for target in self.list_candidates(pending)
                if target.rate_limit is None
            ],
            self._failure_domain,
            now,
            pending.tried_replicas,
        )

    def build_request(
        self, pending: PendingRequest, target, last_event_id: int | None
    ) -> messages.Request:
        """Build the request for one attempt at a replica.

        Args:
          pending: Request to forward.
          target: Replica that the attempt is sent to.
          last_event_id: Event after which a stream resumes; None to start
            from the beginning.

        Returns:
          The request with the headers of this attempt.
        """
        remaining_ms = pending.compute_remaining_ms(time.monotonic())
        headers = self._adapter.build_attempt_headers(
            attempt.drop_hop_by_hop_headers(pending.request.headers),
            target.id,
            remaining_ms,
            last_event_id,
            pending.account,
        )
        source = pending.request
        return messages.Request(
            source.method, source.target, headers, source.body
        )

    async def forward(self, pending: PendingRequest) -> messages.Response:
        """Forward a request whose response is not a stream.

        Args:
          pending: Request to forward.

        Returns:
          The replica's response, or an error response of the gateway.
        """
        if self.must_refuse(pending):
            return self.refuse(pending)
        service_fallback.update_service(pending, self._directory)
        if self._admission is not None:
            refusal = await self._admission.enter(pending)
            if refusal is not None:
                return refusal
        attempts: set[asyncio.Task] = set()
        try:
            return await self._run_attempts(pending, attempts)
        finally:
            for task in attempts:
                task.cancel()

    def begin_count(
        self, pending: PendingRequest
    ) -> usage_attempts.AttemptCount:
        """Begin the count of one attempt for the usage report."""
        return self._usage.begin(pending.account, pending.usage)

    def must_refuse(self, pending: PendingRequest) -> bool:
        """Tell whether a request must not be sent, as it crashes replicas."""
        verdict = self._crash_watch.find_verdict(pending.fingerprint)
        return verdict is crash_records.Verdict.REFUSED

    def refuse(self, pending: PendingRequest) -> messages.Response:
        """Refuse a request that crashes replicas and was not sent now."""
        metrics.REQUESTS_QUARANTINED.inc()
        events.write(
            'request_quarantined',
            request=pending.head.request_id,
            fingerprint=pending.fingerprint,
        )
        return refusals.build_refusal(
            'crashes_replicas',
            self._crash_watch.find_retry_seconds(pending.fingerprint),
        )

    async def may_send_when_probed(self, pending: PendingRequest) -> bool:
        """Tell whether crashes allow that a request is sent once more.

        Waits until it is known whether the replica under which a run of the
        request has just broken off has ended.
        """
        await self._crash_watch.wait_until_probed(
            pending.fingerprint, pending.deadline_at
        )
        return self._may_send(pending)

    def _may_send(self, pending: PendingRequest) -> bool:
        verdict = self._crash_watch.find_verdict(pending.fingerprint)
        if verdict is crash_records.Verdict.SUSPECT and pending.possible_runs:
            return False
        return (
            verdict is not crash_records.Verdict.REFUSED
            and not self._crash_watch.is_held(pending.fingerprint)
            and self._may_risk_replica(pending)
        )

    def _may_risk_replica(self, pending: PendingRequest) -> bool:
        if not self._crash_watch.has_crashes(pending.fingerprint):
            return True
        if self._crash_watch.may_risk_replica(
            pending.fingerprint, self._directory.list_ready(pending.service)
        ):
            return True
        pending.retry_seconds = max(
            pending.retry_seconds, refusals.RETRY_AFTER_OUTAGE_SECONDS
        )
        events.write(
            'request_held',
            request=pending.head.request_id,
            service=pending.service,
            fingerprint=pending.fingerprint,
        )
        return False

    async def _run_attempts(
        self, pending: PendingRequest, attempts
    ) -> messages.Response:
        outcome = attempt.Outcome(
            attempt.AttemptOutcomeKind.NOT_RUN, 'no replica'
        )
        hedge_at = time.monotonic() + (
            HEDGE_LATENCY_SHARE * pending.route.target_latency_ms / 1000
        )
        await self._start_next(pending, attempts)
        while attempts:
            now = time.monotonic()
            if now >= pending.deadline_at:
                self._write_failure(pending, 'timed_out', 'deadline')
                return refusals.build_error(504, 'timed_out')
            wait_until = pending.deadline_at
            may_hedge = pending.may_repeat and len(attempts) == 1
            if may_hedge:
                wait_until = min(wait_until, max(hedge_at, now))
            done, _ = await asyncio.wait(
                attempts,
                timeout=wait_until - now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            attempts -= done
            if not done and may_hedge and time.monotonic() >= hedge_at:
                hedge_at = pending.deadline_at
                self._start_hedge(pending, attempts)
            for task in done:
                outcome = task.result()
                metrics.ATTEMPTS.labels(outcome.end.value).inc()
                if outcome.succeeded:
                    return outcome.response
                pending.server_errors += outcome.is_server_error
                await self._retry_if_allowed(pending, attempts, outcome)
        return self._build_failure(pending, outcome)

    async def _start_next(self, pending: PendingRequest, attempts) -> None:
        """Start an attempt while no other one is in flight."""
        await self._crash_watch.wait_until_probed(
            pending.fingerprint, pending.deadline_at
        )
        if self._may_try(pending):
            target = await self.choose_replica(pending)
            # A run of the same request may have broken off meanwhile.
            if target is not None and self._may_try(pending):
                self._start_attempt(pending, attempts, target)

    def _start_hedge(self, pending: PendingRequest, attempts) -> None:
        """Start a hedged attempt; permits are left to first attempts."""
        if self._may_try(pending):
            target = self._choose_unlimited(pending, time.monotonic())
            if target is not None:
                self._start_attempt(pending, attempts, target)

    def _may_try(self, pending: PendingRequest) -> bool:
        """Tell whether a request may be sent to one more replica."""
        limit = pending.route.max_attempts + EXTRA_ATTEMPTS
        return len(pending.tried_replicas) < limit and self._may_send(pending)

    def _start_attempt(
        self, pending: PendingRequest, attempts, target: replica.Replica
    ) -> None:
        pending.tried_replicas.add(target.id)
        pending.possible_runs += 1
        request = self.build_request(
            pending, target, pending.head.last_event_id
        )
        task = asyncio.ensure_future(
            self._fetch_response(pending, target, request)
        )
        # Counted before the task starts, so that other requests of the same
        # iteration of the event loop choose other replicas.
        target.in_flight += 1
        task.add_done_callback(lambda _: self._note_end(pending, target))
        self._crash_watch.note_run_start(pending.fingerprint)
        attempts.add(task)

    def _note_end(
        self, pending: PendingRequest, target: replica.Replica
    ) -> None:
        target.note_end()
        self._crash_watch.note_run_end(pending.fingerprint)
        if self._admission is not None:
            self._admission.note_end(target.registration.service)

    async def _fetch_response(
        self, pending: PendingRequest, target: replica.Replica, request
    ) -> attempt.Outcome:
        count = self.begin_count(pending)
        outcome = None
        try:
            outcome = await attempt.fetch_response(
                self._client,
                self._adapter,
                target,
                request,
                pending.head.request_id,
                not pending.route.repeatable,
                count.on_send,
            )
        finally:
            count.note_outcome(outcome)
        if outcome.broken:
            self._crash_watch.note_broken(pending.fingerprint, target)
        elif outcome.response is not None and self._is_signed(outcome):
            self._crash_watch.note_answer(pending.fingerprint)
        return outcome

    def _is_signed(self, outcome: attempt.Outcome) -> bool:
        head = self._adapter.decode_response_head(outcome.response.headers)
        return head.signed

    async def _retry_if_allowed(
        self, pending: PendingRequest, attempts, outcome: attempt.Outcome
    ) -> None:
        if outcome.end is attempt.AttemptOutcomeKind.NOT_RUN:
            pending.possible_runs -= 1
            if not attempts:
                await self._start_next(pending, attempts)
        elif pending.may_repeat and not attempts:
            await self._start_next(pending, attempts)

    def _build_failure(
        self, pending: PendingRequest, outcome
    ) -> messages.Response:
        if outcome.end is attempt.AttemptOutcomeKind.ANSWERED:
            return outcome.response
        if (
            outcome.end is attempt.AttemptOutcomeKind.NOT_RUN
            and not pending.possible_runs
        ):
            self._write_failure(pending, 'refused', outcome.reason)
            return refusals.build_refusal('no_replica', pending.retry_seconds)
        self._write_failure(pending, 'failed', outcome.reason)
        return refusals.build_error(502, 'no_answer')

    def _write_failure(
        self, pending: PendingRequest, outcome: str, reason: str
    ) -> None:
        events.write(
            'request_failed',
            request=pending.head.request_id,
            route=pending.route.name,
            service=pending.service,
            outcome=outcome,
            reason=reason,
            replicas=sorted(pending.tried_replicas),
            fingerprint=pending.fingerprint,
        )
