"""Carries one call to a result: chooses hosts, retries, and says the outcome.

Only idempotent calls are tried again after their outcome became unknown; a
refusal by a side is 'not run' and lets any call try another host. Retries
draw on a budget, and a call that is given up is answered at once.
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

COME_BACK_MS = 500
MAX_ATTEMPTS = 4
# Between attempts at an answer that has begun, beyond what is budgeted.
BEGUN_PAUSE_SECONDS = 0.1

OnChunk = typing.Callable[
    [str, list[types.VersionSpan]], typing.Awaitable[None]
]


class Call(msgspec.Struct):
    """A request before any attempt at it.

    Attributes:
      submit: The message for a side; its request id is set anew for each
        attempt, from the call's own.
      prefix: Start of the prompt, for prefix affinity; empty for none.
      avoid: Hosts that are taken only if there is no other.
      tried: Hosts that attempts were made at, filled while it runs.
    """

    submit: messages.Submit
    prefix: bytes = b''
    avoid: frozenset[str] = frozenset()
    tried: list[str] = []


class Result(msgspec.Struct):
    """What became of a call.

    Attributes:
      outcome: Run, not run, or unknown.
      request_id: Identity of the last attempt.
      attempts: How many attempts reached a side.
      status: HTTP status of the target, zero when there is none.
      headers: HTTP headers of the target.
      body: HTTP body of a plain service.
      text: Whole text of a model's answer, when it was not streamed.
      spans: Weight versions over all tokens.
      finish_reason: Why a model stopped.
      replica: Replica that answered.
      code: Why there is no answer; empty when there is one.
      retry_at_ms: Unix milliseconds at which to come back, zero for never.
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


class Hosts(typing.Protocol):
    """Who can take work now; see process/membership.py."""

    def find_links(self, service: str) -> list[side_link.SideLink]:
        """Find the links to hosts that take work of a service."""


class Dispatcher:
    """Sends calls to sides on behalf of one entry."""

    __slots__ = (
        '_hosts',
        '_failure_domain',
        '_history',
        '_budgets',
        '_rng',
        '_turn',
        'policy',
        'retry_fraction',
    )

    def __init__(
        self, hosts: Hosts, failure_domain: str, events: history.History
    ):
        self._hosts = hosts
        self._failure_domain = failure_domain
        self._history = events
        self._budgets: dict[tuple[str, str], retry_budget.RetryBudget] = {}
        self._rng = random.Random()
        self._turn = 0
        self.policy = routing.POLICIES.get('affinity')
        self.retry_fraction = 0.2

    def configure(self, current: deployment.Deployment) -> None:
        """Take a new configuration over."""
        self.policy = routing.POLICIES.get(current.policies.routing)
        self.retry_fraction = current.limits.retry_budget
        self._budgets.clear()

    async def run(self, call: Call, on_chunk: OnChunk | None = None) -> Result:
        """Carry a call to its result.

        Args:
          call: The call; its deadline is that of all attempts together.
          on_chunk: Takes the tokens of a streamed call as they come.

        Returns:
          The result; never later than shortly after the call's deadline.
        """
        run = _Run(self, call, on_chunk)
        metrics.CALLS.labels(call.submit.service).inc()
        if call.submit.deadline_ms <= clock.time_now_ms():
            # Sent on, it might run although nobody waits for it.
            return self._count(call, run.give_up('deadline_passed'))
        try:
            async with asyncio.timeout(
                clock.seconds_until(call.submit.deadline_ms)
            ):
                result = await run.complete()
        except TimeoutError:
            result = run.give_up('deadline_passed')
        finally:
            run.cancel()
        return self._count(call, result)

    def _count(self, call: Call, result: Result) -> Result:
        metrics.OUTCOMES.labels(call.submit.service, result.outcome).inc()
        return result

    def choose_link(
        self, call: Call, avoid: set[str]
    ) -> side_link.SideLink | None:
        """Choose the host for the next attempt.

        Args:
          call: The call.
          avoid: Hosts that refused or lost it; taken only if all did.

        Returns:
          A connected link, or None when no host takes the service's work.
        """
        service = call.submit.service
        links = self._hosts.find_links(service)
        fresh = [link for link in links if link.host.name not in avoid]
        links = fresh or links
        if not links:
            return None
        by_host = {link.host.name: link for link in links}
        candidates = [build_candidate(link, service) for link in links]
        key = routing.hash_prefix(call.prefix) if call.prefix else 0
        self._turn += 1
        choice = routing.Choice(key, self._failure_domain, self._turn)
        return by_host[self.policy(candidates, choice, self._rng).host]

    def find_budget(self, call: Call) -> retry_budget.RetryBudget:
        """Find the retry budget that a call draws on.

        Callers and trainers have budgets of their own, so that samples that
        are refused in plenty leave the callers theirs.
        """
        key = (call.submit.service, call.submit.request_class)
        if key not in self._budgets:
            self._budgets[key] = retry_budget.RetryBudget(self.retry_fraction)
        return self._budgets[key]

    def record(self, key: str, event: str, detail: str = '') -> None:
        """Note an event of a request for `auburnroad explain`."""
        self._history.add(key, clock.time_now_ms(), event, detail)


def build_candidate(
    link: side_link.SideLink, service: str
) -> routing.Candidate:
    """Describe a host to the routing policy.

    Args:
      link: Link to the host.
      service: Service's name.

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


class _Run:
    """The attempts at one call, one after the other."""

    __slots__ = (
        '_dispatcher',
        '_call',
        '_on_chunk',
        '_call_id',
        '_attempts',
        '_maybe_run',
        '_avoid',
        '_spans',
        '_delivered',
        '_current',
    )

    def __init__(self, dispatcher: Dispatcher, call: Call, on_chunk):
        self._dispatcher = dispatcher
        self._call = call
        self._on_chunk = on_chunk
        self._call_id = call.submit.request_id or uuid.uuid4().hex
        self._attempts = 0
        self._maybe_run = False
        self._avoid: set[str] = set(call.avoid)
        self._spans: list[types.VersionSpan] = []
        self._delivered: list[str] = []
        self._current: tuple | None = None

    @property
    def request_id(self) -> str:
        """Identity of the newest attempt."""
        return f'{self._call_id}.{self._attempts}'

    def cancel(self) -> None:
        """Tell the side of an unfinished attempt that nobody waits."""
        if self._current is not None:
            link, attempt = self._current
            link.cancel(attempt)
            self._current = None

    def give_up(self, code: str, retry_at_ms: int = 0) -> Result:
        """Build the final answer of a call that got none from a target."""
        unknown = self._maybe_run or self._current is not None
        outcome = types.Outcome.UNKNOWN if unknown else types.Outcome.NOT_RUN
        now_ms = clock.time_now_ms()
        self._dispatcher.record(
            self._call_id, 'given up', f'{code}, {outcome}'
        )
        return Result(
            outcome,
            self.request_id,
            self._attempts,
            spans=self._spans,
            code=code,
            retry_at_ms=max(retry_at_ms, now_ms + COME_BACK_MS),
        )

    async def complete(self) -> Result:
        """Make attempts until one gives the result.

        A call whose caller has a part of the answer can't be refused any
        more: it goes on until its deadline, whatever the budget says.
        """
        budget = self._dispatcher.find_budget(self._call)
        budget.record_request()
        while True:
            link = self._dispatcher.choose_link(self._call, self._avoid)
            if link is None:
                if not self._delivered:
                    return self.give_up('no_replica')
                await asyncio.sleep(BEGUN_PAUSE_SECONDS)
                continue
            end = await self._attempt(link)
            if isinstance(end, Result):
                return end
            code, retry_at_ms = end
            self._avoid.add(link.host.name)
            if self._maybe_run and not self._call.submit.idempotent:
                return self.give_up(code)
            if self._attempts >= MAX_ATTEMPTS or not budget.spend():
                if not self._delivered:
                    return self.give_up(code, retry_at_ms)
                await asyncio.sleep(BEGUN_PAUSE_SECONDS)
            metrics.RETRIES.labels(self._call.submit.service).inc()

    async def _attempt(self, link) -> Result | tuple[str, int]:
        """Make one attempt; return its result, or why there is none."""
        self._attempts += 1
        self._call.tried.append(link.host.name)
        attempt = entry_attempt.Attempt(self._build_submit(), link.host.name)
        self._current = (link, attempt)
        link.submit(attempt)
        self._dispatcher.record(
            self._call_id, 'attempt', f'{self._attempts} at {link.host.name}'
        )
        base = self._spans[-1].end if self._spans else 0
        while True:
            event = await attempt.next_event()
            if isinstance(event, messages.Chunk):
                await self._deliver(event, base)
                continue
            self._current = None
            return self._judge(event, base)

    def _build_submit(self) -> messages.Submit:
        submit = msgspec.structs.replace(
            self._call.submit, request_id=self.request_id
        )
        if self._delivered:
            submit.body = resume_body(submit.body, self._count_tokens())
        return submit

    def _count_tokens(self) -> int:
        return self._spans[-1].end if self._spans else 0

    async def _deliver(self, chunk: messages.Chunk, base: int) -> None:
        spans = shift_spans(chunk.spans, base)
        for span in spans:
            types.append_span(self._spans, span.version, span.end - span.start)
        self._delivered.append(chunk.text)
        await self._on_chunk(chunk.text, spans)

    def _judge(self, event, base: int) -> Result | tuple[str, int]:
        if isinstance(event, messages.Refused):
            return event.code, event.retry_at_ms
        if isinstance(event, entry_attempt.Lost):
            self._maybe_run = True
            self._dispatcher.record(self._call_id, 'lost', event.reason)
            return 'attempt_lost', 0
        if event.outcome is not types.Outcome.RUN:
            self._maybe_run |= event.outcome is types.Outcome.UNKNOWN
            return event.error or 'target_failed', 0
        return self._build_result(event, base)

    def _build_result(self, done: messages.Done, base: int) -> Result:
        self._dispatcher.record(
            self._call_id, 'answered', f'{done.status} by {done.replica}'
        )
        streamed = bool(self._delivered)
        return Result(
            types.Outcome.RUN,
            done.request_id,
            self._attempts,
            done.status,
            done.headers,
            done.body,
            done.text,
            self._spans if streamed else shift_spans(done.spans, base),
            done.finish_reason,
            done.replica,
        )


def shift_spans(
    spans: list[types.VersionSpan], tokens: int
) -> list[types.VersionSpan]:
    """Move spans behind tokens that an earlier attempt delivered.

    Args:
      spans: Spans counted from the attempt's first token.
      tokens: How many tokens were delivered before.

    Returns:
      Spans counted from the answer's first token.
    """
    return [
        types.VersionSpan(s.version, s.start + tokens, s.end + tokens)
        for s in spans
    ]


def resume_body(body: bytes, tokens: int) -> bytes:
    """Ask an engine to go on behind the tokens that were delivered.

    Args:
      body: The completion request as JSON.
      tokens: How many tokens the caller has.

    Returns:
      The request with its place to resume at.
    """
    request = msgspec.json.decode(body)
    request['resume_at'] = tokens
    return msgspec.json.encode(request)
