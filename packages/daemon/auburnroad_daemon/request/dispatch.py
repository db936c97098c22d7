"""Runs a call on a side, with host selection and retries.

Idempotent calls are retried even if the outcome of an attempt is unknown. A
refusal by a side means that the request was not run, so that any call can be
retried on another host. Retries are limited by a budget; when it is exhausted
the call fails immediately, unless a part of its answer was delivered.
"""

import asyncio
import random
import typing
import uuid

import msgspec

from auburnroad_core import clock
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import side_link
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.process import history
from auburnroad_daemon.request import entry_attempt
from auburnroad_daemon.request import retry_budget
from auburnroad_daemon.request import routing

MIN_RETRY_DELAY_MS = 500
MAX_ATTEMPTS = 4
# Delay before a partially delivered answer is retried although the retry
# limits are reached or no host accepts requests.
RESUME_DELAY_SECONDS = 0.1

OnChunk = typing.Callable[
    [str, list[types.VersionSpan]], typing.Awaitable[None]
]


class Call(msgspec.Struct):
    """A request to be run, independent of its attempts.

    Attributes:
      submit: The message for a side. Each attempt gets its own request id,
        derived from the id of the call.
      prefix: Prompt whose first bytes determine the preferred host; empty if
        the call has no prompt.
      avoid: Names of hosts to use only if no other host is available.
      tried: Names of the hosts of all attempts, appended during the run.
    """

    submit: messages.Submit
    prefix: bytes = b''
    avoid: frozenset[str] = frozenset()
    tried: list[str] = []


class Result(msgspec.Struct):
    """The result of a call.

    Attributes:
      outcome: Whether the call was run, not run, or has an unknown outcome.
      request_id: Id of the last attempt.
      attempts: Number of attempts sent to a side.
      status: HTTP status returned by the target, zero for none.
      headers: HTTP headers returned by the target.
      body: HTTP body returned by a plain service.
      text: Complete text of a model's answer unless it was streamed.
      spans: Weight versions of all tokens.
      finish_reason: Reason why the model stopped.
      replica: Name of the replica that answered.
      code: Machine-readable reason of a failure; empty if a target answered.
      retry_at_ms: Earliest time to retry in Unix milliseconds, zero if the
        call was answered.
    """

    outcome: types.Outcome
    request_id: str = ''
    attempts: int = 0
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b''
    text: str = ''
    spans: list[types.VersionSpan] = []
    finish_reason: str = ''
    replica: str = ''
    code: str = ''
    retry_at_ms: int = 0


class HostDirectory(typing.Protocol):
    """Hosts that accept requests now; see process/membership.py."""

    def find_links(self, service: str) -> list[side_link.SideLink]:
        """Find the links to hosts that accept requests of a service."""


class Dispatcher:
    """Sends calls to sides on behalf of one entry."""

    __slots__ = (
        '_hosts',
        '_failure_domain',
        '_history',
        '_budgets',
        '_rng',
        '_routed_calls',
        'policy',
        'retry_fraction',
    )

    def __init__(
        self,
        hosts: HostDirectory,
        failure_domain: str,
        events: history.History,
    ):
        self._hosts = hosts
        self._failure_domain = failure_domain
        self._history = events
        self._budgets: dict[tuple[str, str], retry_budget.RetryBudget] = {}
        self._rng = random.Random()
        self._routed_calls = 0
        self.policy = routing.POLICIES.get('affinity')
        self.retry_fraction = 0.2

    def configure(self, current: deployment.Deployment) -> None:
        """Apply a new configuration and reset the retry budgets."""
        self.policy = routing.POLICIES.get(current.policies.routing)
        self.retry_fraction = current.limits.retry_budget
        self._budgets.clear()

    async def run(self, call: Call, on_chunk: OnChunk | None = None) -> Result:
        """Run a call until it has a result or its deadline has passed.

        Args:
          call: The call; its deadline covers all attempts.
          on_chunk: Called with the text and the spans of each chunk of a
            streamed call.

        Returns:
          The result or a failure, at the latest shortly after the deadline.
        """
        execution = _CallExecution(self, call, on_chunk)
        metrics.CALLS.labels(call.submit.service).inc()
        if call.submit.deadline_ms <= clock.time_now_ms():
            # A request sent after its deadline could still be run although no
            # caller waits for its answer.
            return self._record_outcome(
                call, execution.build_failure('deadline_passed')
            )
        try:
            async with asyncio.timeout(
                clock.seconds_until(call.submit.deadline_ms)
            ):
                result = await execution.complete()
        except TimeoutError:
            result = execution.build_failure('deadline_passed')
        finally:
            execution.cancel()
        return self._record_outcome(call, result)

    def _record_outcome(self, call: Call, result: Result) -> Result:
        metrics.OUTCOMES.labels(call.submit.service, result.outcome).inc()
        return result

    def choose_link(
        self, call: Call, avoid: set[str]
    ) -> side_link.SideLink | None:
        """Choose the host for the next attempt.

        Args:
          call: The call.
          avoid: Names of the hosts that refused or lost the call; used only
            if no other host is available.

        Returns:
          A connected link, or None if no host accepts requests of the
          service.
        """
        service = call.submit.service
        links = self._hosts.find_links(service)
        preferred = [link for link in links if link.host.name not in avoid]
        links = preferred or links
        if not links:
            return None
        by_host = {link.host.name: link for link in links}
        candidates = [build_candidate(link, service) for link in links]
        key = routing.hash_prefix(call.prefix) if call.prefix else 0
        self._routed_calls += 1
        context = routing.RoutingContext(
            key, self._failure_domain, self._routed_calls
        )
        return by_host[self.policy(candidates, context, self._rng).host]

    def get_budget(self, call: Call) -> retry_budget.RetryBudget:
        """Return the retry budget of a call's service and request class.

        Callers and trainers have separate budgets, so that many refused
        samples don't exhaust the budget of the callers.
        """
        key = (call.submit.service, call.submit.request_class)
        if key not in self._budgets:
            self._budgets[key] = retry_budget.RetryBudget(self.retry_fraction)
        return self._budgets[key]

    def record_event(self, key: str, event: str, detail: str = '') -> None:
        """Record an event of a request for `auburnroad explain`."""
        self._history.add(key, clock.time_now_ms(), event, detail)


def build_candidate(
    link: side_link.SideLink, service: str
) -> routing.Candidate:
    """Build the routing candidate of a host.

    Args:
      link: Link to the host.
      service: Name of the service.

    Returns:
      The candidate.
    """
    load = link.loads.get(service)
    return routing.Candidate(
        link.host.name,
        link.host.failure_domain,
        load.slots if load else 1,
        link.estimate_outstanding(service),
        link.count_sent(service),
    )


class _CallExecution:
    """The sequential attempts of one call."""

    __slots__ = (
        '_dispatcher',
        '_call',
        '_on_chunk',
        '_call_id',
        '_attempt_count',
        '_may_have_run',
        '_avoided_hosts',
        '_spans',
        '_delivered_texts',
        '_current_attempt',
    )

    def __init__(self, dispatcher: Dispatcher, call: Call, on_chunk):
        self._dispatcher = dispatcher
        self._call = call
        self._on_chunk = on_chunk
        self._call_id = call.submit.request_id or uuid.uuid4().hex
        self._attempt_count = 0
        self._may_have_run = False
        self._avoided_hosts: set[str] = set(call.avoid)
        self._spans: list[types.VersionSpan] = []
        self._delivered_texts: list[str] = []
        self._current_attempt: tuple | None = None

    @property
    def request_id(self) -> str:
        """Id of the newest attempt."""
        return f'{self._call_id}.{self._attempt_count}'

    def cancel(self) -> None:
        """Cancel the unfinished attempt, if any, at its side."""
        if self._current_attempt is not None:
            link, attempt = self._current_attempt
            link.cancel(attempt)
            self._current_attempt = None

    def build_failure(self, code: str, retry_at_ms: int = 0) -> Result:
        """Record the failure of a call and build its result."""
        unknown = self._may_have_run or self._current_attempt is not None
        outcome = types.Outcome.UNKNOWN if unknown else types.Outcome.NOT_RUN
        now_ms = clock.time_now_ms()
        self._dispatcher.record_event(
            self._call_id, 'given up', f'{code}, {outcome}'
        )
        return Result(
            outcome,
            self.request_id,
            self._attempt_count,
            spans=self._spans,
            code=code,
            retry_at_ms=max(retry_at_ms, now_ms + MIN_RETRY_DELAY_MS),
        )

    async def complete(self) -> Result:
        """Make attempts until the call has a result.

        A call can't be refused after a part of its answer was delivered to
        the caller; it is then retried until its deadline, regardless of the
        retry budget and the maximum number of attempts.
        """
        budget = self._dispatcher.get_budget(self._call)
        budget.record_request()
        while True:
            link = self._dispatcher.choose_link(
                self._call, self._avoided_hosts
            )
            if link is None:
                if not self._delivered_texts:
                    return self.build_failure('no_replica')
                await asyncio.sleep(RESUME_DELAY_SECONDS)
                continue
            attempt_end = await self._make_attempt(link)
            if isinstance(attempt_end, Result):
                return attempt_end
            code, retry_at_ms = attempt_end
            self._avoided_hosts.add(link.host.name)
            if self._may_have_run and not self._call.submit.idempotent:
                return self.build_failure(code)
            if self._attempt_count >= MAX_ATTEMPTS or not budget.spend():
                if not self._delivered_texts:
                    return self.build_failure(code, retry_at_ms)
                await asyncio.sleep(RESUME_DELAY_SECONDS)
            metrics.RETRIES.labels(self._call.submit.service).inc()

    async def _make_attempt(self, link) -> Result | tuple[str, int]:
        """Make one attempt; return its result, or a code and a retry time."""
        self._attempt_count += 1
        self._call.tried.append(link.host.name)
        attempt = entry_attempt.Attempt(self._build_submit(), link.host.name)
        self._current_attempt = (link, attempt)
        link.submit(attempt)
        self._dispatcher.record_event(
            self._call_id,
            'attempt',
            f'{self._attempt_count} at {link.host.name}',
        )
        token_offset = self._spans[-1].end if self._spans else 0
        while True:
            event = await attempt.next_event()
            if isinstance(event, messages.Chunk):
                await self._deliver(event, token_offset)
                continue
            self._current_attempt = None
            return self._handle_end(event, token_offset)

    def _build_submit(self) -> messages.Submit:
        submit = msgspec.structs.replace(
            self._call.submit, request_id=self.request_id
        )
        if self._delivered_texts:
            submit.body = build_resume_body(
                submit.body, self._count_delivered_tokens()
            )
        return submit

    def _count_delivered_tokens(self) -> int:
        return self._spans[-1].end if self._spans else 0

    async def _deliver(self, chunk: messages.Chunk, token_offset: int) -> None:
        spans = shift_spans(chunk.spans, token_offset)
        for span in spans:
            types.append_span(self._spans, span.version, span.end - span.start)
        self._delivered_texts.append(chunk.text)
        await self._on_chunk(chunk.text, spans)

    def _handle_end(
        self, event, token_offset: int
    ) -> Result | tuple[str, int]:
        if isinstance(event, messages.Refused):
            return event.code, event.retry_at_ms
        if isinstance(event, entry_attempt.Lost):
            self._may_have_run = True
            self._dispatcher.record_event(self._call_id, 'lost', event.reason)
            return 'attempt_lost', 0
        if event.outcome is not types.Outcome.RUN:
            self._may_have_run |= event.outcome is types.Outcome.UNKNOWN
            return event.error or 'target_failed', 0
        return self._build_result(event, token_offset)

    def _build_result(self, done: messages.Done, token_offset: int) -> Result:
        self._dispatcher.record_event(
            self._call_id, 'answered', f'{done.status} by {done.replica}'
        )
        streamed = bool(self._delivered_texts)
        return Result(
            types.Outcome.RUN,
            done.request_id,
            self._attempt_count,
            done.status,
            done.headers,
            done.body,
            done.text,
            self._spans if streamed else shift_spans(done.spans, token_offset),
            done.finish_reason,
            done.replica,
        )


def shift_spans(
    spans: list[types.VersionSpan], tokens: int
) -> list[types.VersionSpan]:
    """Shift spans by the number of tokens that earlier attempts delivered.

    Args:
      spans: Spans relative to the first token of the attempt.
      tokens: Number of tokens delivered by earlier attempts.

    Returns:
      Spans relative to the first token of the answer.
    """
    return [
        types.VersionSpan(s.version, s.start + tokens, s.end + tokens)
        for s in spans
    ]


def build_resume_body(body: bytes, tokens: int) -> bytes:
    """Build a request that resumes a completion after delivered tokens.

    Args:
      body: The completion request as JSON.
      tokens: Number of tokens already delivered to the caller.

    Returns:
      The request as JSON with the index of the token to resume at.
    """
    request = msgspec.json.decode(body)
    request['resume_at'] = tokens
    return msgspec.json.encode(request)
