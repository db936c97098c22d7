"""Lets each non-idempotent request through at most once, by its key.

The request's Intent is read back in force before the request may leave, and
only the attempt that holds the key leaves, once. What the gate answers speaks
of the request at hand:

* held: send it, once, and settle the key with what became of it;
* taken: the key's holder has run it, or nobody can say;
* refused: this request is not sent. When the fate of its Intent is unknown,
  a Result of 'not-run' is appended as soon as the log can be reached. It
  spends the attempt in either order, so that the caller's repetition of the
  key finds it free. Should this daemon die before, the key stays taken by an
  attempt that nobody runs, and a repetition is told 'unknown'.

A key that is too old is refused as 'unknown', never as 'not-run': its first
use may have been run, and its records are gone.
"""

import asyncio
import uuid

import msgspec

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import intent_fold
from auburnroad_core.log import keys
from auburnroad_core.log import records
from auburnroad_core.log import tail as tails
from auburnroad_core.log import verdict
from auburnroad_core import types
from auburnroad_daemon.process import entry_metrics as metrics

APPEND_LIMIT_MS = 5000
# How long a repetition waits for the attempt that holds its key.
HOLDER_LIMIT_MS = 2000
RELEASE_LIMIT_MS = 1000
RETRY_MS = 1000


class Held(msgspec.Struct, frozen=True):
    """The key is ours: the request may leave, once.

    Attributes:
      key: The key in canonical form.
      attempt: Attempt that holds it.
      expires_ms: Unix milliseconds after which the key is refused by its age.
    """

    key: str
    attempt: str
    expires_ms: int


class Taken(msgspec.Struct, frozen=True):
    """The key is another attempt's.

    Attributes:
      outcome: What became of that attempt; unknown also while it runs.
      status: HTTP status that it got, zero for none.
    """

    outcome: types.Outcome
    status: int


class Refused(msgspec.Struct, frozen=True):
    """The request is not sent.

    Attributes:
      status: HTTP status of the refusal.
      code: Reason as a name for programs.
      message: Reason for people.
      outcome: Whether a request of this key was run, as far as is known.
      retry_at_ms: Unix milliseconds at which to come back, zero for never.
    """

    status: int
    code: str
    message: str
    outcome: types.Outcome
    retry_at_ms: int


Admission = Held | Taken | Refused


def check_key(key: str, now_ms: int, life_ms: int) -> Refused | None:
    """Check a caller's key by itself.

    Args:
      key: The key as the caller sent it.
      now_ms: Unix milliseconds.
      life_ms: Age in milliseconds above which a key is refused.

    Returns:
      The refusal, or None when the key may be used.
    """
    canonical = keys.parse_key(key)
    if canonical is None:
        return _refuse(400, 'bad_key', 'the key is no UUID of version 7')
    key_ms = keys.read_time_ms(canonical)
    if key_ms > now_ms + intent_fold.FUTURE_MARGIN_MS:
        return _refuse(400, 'key_from_future', "the key's time is to come")
    if key_ms + life_ms < now_ms:
        return build_expired()
    return None


def build_expired() -> Refused:
    """Build the refusal of a key that is too old to know its history."""
    return _refuse(
        409,
        'key_expired',
        'the key is too old to know whether it was used',
        types.Outcome.UNKNOWN,
    )


def judge_held(
    held: intent_fold.Held | None, attempt: str, digest: str
) -> Admission | None:
    """Judge what the fold knows of a key, before or after an Intent.

    Args:
      held: What the fold holds of the key, None for nothing.
      attempt: Our attempt.
      digest: Digest of our request.

    Returns:
      Refused for another request's key, Taken when another attempt holds it;
      None when the key is free or ours.
    """
    if held is None:
        return None
    if held.digest not in ('', digest):
        return _refuse(
            422, 'key_reused', 'the key was used for another request'
        )
    if held.attempt in ('', attempt):
        return None
    return Taken(
        types.Outcome(held.outcome or types.Outcome.UNKNOWN), held.status
    )


def _refuse(
    status, code, message, outcome=types.Outcome.NOT_RUN, retry_at_ms=0
) -> Refused:
    return Refused(status, code, message, outcome, retry_at_ms)


class IntentGate:
    """Gives out keys through the log.

    Attributes:
      key_life_ms: Age in milliseconds above which a key is refused; from the
        configuration in force.
    """

    __slots__ = ('_appender', '_tail', '_daemon', 'key_life_ms')

    def __init__(
        self, appender: appenders.Appender, tail: tails.Tail, daemon_name: str
    ):
        self._appender = appender
        self._tail = tail
        self._daemon = daemon_name
        self.key_life_ms = 0

    async def acquire(
        self, key: str, digest: str, deadline_ms: int
    ) -> Admission:
        """Take a key for a request.

        Args:
          key: The caller's key, or empty to have one made.
          digest: Hexadecimal xxh3_128 of the request.
          deadline_ms: Unix milliseconds by which the answer is of use.

        Returns:
          Whether the request may leave.
        """
        now_ms = clock.time_now_ms()
        key = key or keys.build_key(now_ms)
        admission = check_key(key, now_ms, self.key_life_ms)
        if admission is None:
            key = keys.parse_key(key)
            admission = await self._acquire(key, digest, deadline_ms)
        metrics.INTENTS.labels(type(admission).__name__.lower()).inc()
        return admission

    async def settle(
        self, held: Held, outcome: types.Outcome, status: int
    ) -> None:
        """Record what became of a request.

        A key whose request was not run becomes free. That is waited for, up
        to RELEASE_LIMIT_MS, so that the caller who is told so can come again
        at once; other outcomes are recorded while nobody waits.

        Args:
          held: What `acquire` returned.
          outcome: What became of the request.
          status: HTTP status of the target, zero for none.
        """
        self.record_result(held, outcome, status)
        if outcome != types.Outcome.NOT_RUN:
            return
        deadline_ms = clock.time_now_ms() + RELEASE_LIMIT_MS
        while self._holder(held.key) == held.attempt:
            if not await self._tail.wait_change(deadline_ms):
                return

    def record_result(
        self, held: Held, outcome: types.Outcome, status: int
    ) -> None:
        """Record what became of a request, without waiting.

        Args:
          held: What `acquire` returned.
          outcome: What became of the request.
          status: HTTP status of the target, zero for none.
        """
        self._appender.append_later(
            records.Result(held.key, held.attempt, outcome, status),
            held.expires_ms,
        )

    async def _acquire(self, key, digest, deadline_ms) -> Admission:
        limit_ms = clock.time_now_ms() + HOLDER_LIMIT_MS
        while True:
            held = self._find(key)
            admission = judge_held(held, '', digest)
            if admission is None:
                admission = await self._intend(key, digest, deadline_ms)
            if admission is None:
                continue
            if not _is_running(admission):
                return admission
            # The holder's result may come, or its release.
            change_ms = min(limit_ms, deadline_ms)
            if not await self._tail.wait_change(change_ms):
                return admission

    async def _intend(self, key, digest, deadline_ms) -> Admission | None:
        """Append an Intent and judge by what it did.

        Returns:
          The admission; None when the key was held then and is free now.
        """
        now_ms = clock.time_now_ms()
        if not self._tail.up:
            return self._build_unavailable(now_ms)
        expires_ms = keys.read_time_ms(key) + self.key_life_ms
        held = Held(key, uuid.uuid4().hex, expires_ms)
        fate = await self._append_intent(
            held, digest, min(deadline_ms, now_ms + APPEND_LIMIT_MS)
        )
        if isinstance(fate, appenders.NotAppended):
            if fate.may_appear:
                self.record_result(held, types.Outcome.NOT_RUN, 0)
            return self._build_unavailable(clock.time_now_ms())
        if fate.verdict == verdict.Verdict.EFFECTIVE:
            return held
        if fate.verdict == verdict.Verdict.INVALID:
            return build_expired()
        return judge_held(self._find(key), held.attempt, digest)

    async def _append_intent(self, held, digest, deadline_ms):
        intent = records.Intent(
            held.key, held.attempt, digest, self._daemon, held.expires_ms
        )
        try:
            return await self._appender.append(intent, deadline_ms)
        except asyncio.CancelledError:
            # Nobody is left to send the request.
            self.record_result(held, types.Outcome.NOT_RUN, 0)
            raise

    def _build_unavailable(self, now_ms: int) -> Refused:
        return _refuse(
            503,
            'log_unavailable',
            'the log that keeps requests from running twice is not there',
            retry_at_ms=now_ms + RETRY_MS,
        )

    def _find(self, key: str) -> intent_fold.Held | None:
        state = self._tail.state
        return state.keys.get(key) if state is not None else None

    def _holder(self, key: str) -> str:
        held = self._find(key)
        return held.attempt if held is not None else ''


def _is_running(admission: Admission) -> bool:
    """Whether the key's holder may still settle it."""
    return (
        isinstance(admission, Taken)
        and admission.outcome == types.Outcome.UNKNOWN
    )
