"""Sends each non-idempotent request at most once, by its idempotency key.

Before a request is sent, its Intent is appended to the log and read back as
effective. Only the attempt that holds the key sends the request, and only
once. Acquiring a key has one of three results, each about the current
request:

* Held: the request may be sent once; its outcome is then recorded.
* Taken: another attempt holds the key; its request was run or its outcome is
  unknown.
* Refused: the request is not sent. If it is unknown whether its Intent was
  appended, a Result of 'not-run' is appended as soon as the log service is
  available. That Result voids the attempt whether it precedes or follows the
  Intent, so that a retry by the caller can acquire the key. If this daemon
  terminates before it appends the Result, the key may stay held by an attempt
  that never runs, and a retry is answered with outcome 'unknown'.

An expired key is refused with outcome 'unknown', never 'not-run': its first
request may have been run, and its records have been deleted from the log.
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

APPEND_TIMEOUT_MS = 5000
# Maximum time that a retry waits for the result of the attempt that holds its
# key.
HOLDER_WAIT_LIMIT_MS = 2000
RELEASE_WAIT_LIMIT_MS = 1000
RETRY_DELAY_MS = 1000


class Held(msgspec.Struct, frozen=True):
    """The request's attempt holds the key; the request may be sent once.

    Attributes:
      key: The key in canonical form.
      attempt: Id of the attempt that holds the key.
      expires_ms: Unix milliseconds after which the key is refused as expired.
    """

    key: str
    attempt: str
    expires_ms: int


class Taken(msgspec.Struct, frozen=True):
    """Another attempt holds the key.

    Attributes:
      outcome: Outcome of that attempt; UNKNOWN also while the attempt is
        running.
      status: HTTP status returned by the target, zero for none.
    """

    outcome: types.Outcome
    status: int


class Refused(msgspec.Struct, frozen=True):
    """The request is not sent.

    Attributes:
      status: HTTP status of the refusal.
      code: Machine-readable reason.
      message: Human-readable reason.
      outcome: Whether a request with this key was run, as far as is known.
      retry_at_ms: Earliest time to retry in Unix milliseconds, zero if
        a retry would be refused as well.
    """

    status: int
    code: str
    message: str
    outcome: types.Outcome
    retry_at_ms: int


Admission = Held | Taken | Refused


def check_key(key: str, now_ms: int, max_age_ms: int) -> Refused | None:
    """Check the format and the age of a caller's key.

    Args:
      key: The key as sent by the caller.
      now_ms: Current time in Unix milliseconds.
      max_age_ms: Age in milliseconds above which a key is refused.

    Returns:
      The refusal, or None if the key is valid.
    """
    canonical = keys.parse_key(key)
    if canonical is None:
        return _refuse(400, 'bad_key', 'the key is no UUID of version 7')
    key_ms = keys.read_time_ms(canonical)
    if key_ms > now_ms + intent_fold.MAX_CLOCK_SKEW_MS:
        return _refuse(400, 'key_from_future', "the key's time is to come")
    if key_ms + max_age_ms < now_ms:
        return build_expired_key_refusal()
    return None


def build_expired_key_refusal() -> Refused:
    """Build the refusal of a key whose records may have been deleted."""
    return _refuse(
        409,
        'key_expired',
        'the key is too old to know whether it was used',
        types.Outcome.UNKNOWN,
    )


def check_holder(
    key_state: intent_fold.KeyState | None, attempt: str, digest: str
) -> Admission | None:
    """Check which attempt holds a key, before or after an Intent is appended.

    Args:
      key_state: State of the key in the log, or None if the key has no record.
      attempt: Id of this request's attempt, empty before its Intent.
      digest: Digest of this request.

    Returns:
      Refused if the key belongs to a different request, Taken if another
      attempt holds it, None if the key is free or held by this attempt.
    """
    if key_state is None:
        return None
    if key_state.digest not in ('', digest):
        return _refuse(
            422, 'key_reused', 'the key was used for another request'
        )
    if key_state.attempt in ('', attempt):
        return None
    return Taken(
        types.Outcome(key_state.outcome or types.Outcome.UNKNOWN),
        key_state.status,
    )


def _refuse(
    status, code, message, outcome=types.Outcome.NOT_RUN, retry_at_ms=0
) -> Refused:
    return Refused(status, code, message, outcome, retry_at_ms)


class IntentGate:
    """Acquires idempotency keys through the log.

    Attributes:
      key_life_ms: Age in milliseconds above which a key is refused; set from
        the current configuration.
    """

    __slots__ = ('_appender', '_tail', '_daemon_name', 'key_life_ms')

    def __init__(
        self, appender: appenders.Appender, tail: tails.Tail, daemon_name: str
    ):
        self._appender = appender
        self._tail = tail
        self._daemon_name = daemon_name
        self.key_life_ms = 0

    async def acquire(
        self, key: str, digest: str, deadline_ms: int
    ) -> Admission:
        """Acquire the key of a request.

        Args:
          key: The caller's key, or empty to generate one.
          digest: Hexadecimal xxh3_128 hash of the request.
          deadline_ms: Deadline of the request in Unix milliseconds.

        Returns:
          Held if the request may be sent, otherwise Taken or Refused.
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
        """Record the outcome of a request and wait for the release of its key.

        The key of a request that was not run becomes free. The method waits up
        to RELEASE_WAIT_LIMIT_MS until the key is free, so that the caller can
        retry as soon as it receives the answer. Other outcomes are recorded
        without waiting.

        Args:
          held: The result of `acquire`.
          outcome: Outcome of the request.
          status: HTTP status returned by the target, zero for none.
        """
        self.record_result(held, outcome, status)
        if outcome != types.Outcome.NOT_RUN:
            return
        deadline_ms = clock.time_now_ms() + RELEASE_WAIT_LIMIT_MS
        while self._get_holder(held.key) == held.attempt:
            if not await self._tail.wait_change(deadline_ms):
                return

    def record_result(
        self, held: Held, outcome: types.Outcome, status: int
    ) -> None:
        """Record the outcome of a request without waiting.

        Args:
          held: The result of `acquire`.
          outcome: Outcome of the request.
          status: HTTP status returned by the target, zero for none.
        """
        self._appender.append_in_background(
            records.Result(held.key, held.attempt, outcome, status),
            held.expires_ms,
        )

    async def _acquire(self, key, digest, deadline_ms) -> Admission:
        holder_deadline_ms = clock.time_now_ms() + HOLDER_WAIT_LIMIT_MS
        while True:
            key_state = self._find_key_state(key)
            admission = check_holder(key_state, '', digest)
            if admission is None:
                admission = await self._claim_key(key, digest, deadline_ms)
            if admission is None:
                continue
            if not _may_be_running(admission):
                return admission
            # The holder's Result may be appended and may release the key.
            wait_deadline_ms = min(holder_deadline_ms, deadline_ms)
            if not await self._tail.wait_change(wait_deadline_ms):
                return admission

    async def _claim_key(self, key, digest, deadline_ms) -> Admission | None:
        """Append an Intent and check whether it holds the key.

        Returns:
          The admission, or None if the Intent did not get the key but the
          key is free now.
        """
        now_ms = clock.time_now_ms()
        if not self._tail.is_up_to_date:
            return self._build_log_unavailable_refusal(now_ms)
        expires_ms = keys.read_time_ms(key) + self.key_life_ms
        held = Held(key, uuid.uuid4().hex, expires_ms)
        append_result = await self._append_intent(
            held, digest, min(deadline_ms, now_ms + APPEND_TIMEOUT_MS)
        )
        if isinstance(append_result, appenders.NotAppended):
            if append_result.may_appear:
                self.record_result(held, types.Outcome.NOT_RUN, 0)
            return self._build_log_unavailable_refusal(clock.time_now_ms())
        if append_result.verdict == verdict.Verdict.EFFECTIVE:
            return held
        if append_result.verdict == verdict.Verdict.INVALID:
            return build_expired_key_refusal()
        return check_holder(self._find_key_state(key), held.attempt, digest)

    async def _append_intent(self, held, digest, deadline_ms):
        intent = records.Intent(
            held.key, held.attempt, digest, self._daemon_name, held.expires_ms
        )
        try:
            return await self._appender.append(intent, deadline_ms)
        except asyncio.CancelledError:
            # The task that would send the request was cancelled, so the
            # request is never sent.
            self.record_result(held, types.Outcome.NOT_RUN, 0)
            raise

    def _build_log_unavailable_refusal(self, now_ms: int) -> Refused:
        return _refuse(
            503,
            'log_unavailable',
            'the log that keeps requests from running twice is not there',
            retry_at_ms=now_ms + RETRY_DELAY_MS,
        )

    def _find_key_state(self, key: str) -> intent_fold.KeyState | None:
        state = self._tail.state
        return state.keys.get(key) if state is not None else None

    def _get_holder(self, key: str) -> str:
        key_state = self._find_key_state(key)
        return key_state.attempt if key_state is not None else ''


def _may_be_running(admission: Admission) -> bool:
    """Check whether the key's holder may still record its outcome."""
    return (
        isinstance(admission, Taken)
        and admission.outcome == types.Outcome.UNKNOWN
    )
