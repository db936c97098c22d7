"""Sends the calls of duties at the platform's API.

The platform can't be asked what it has got, may carry out a call seconds after
it was sent, and may check nothing. All safety therefore lies in not sending: a
call goes out only from the holder of its duty, whose knowledge of the holder
is younger than the lease that a next holder waits. This is checked right
before the first byte is written, since opening a connection takes time in
which the duty may be lost or the process be suspended.
"""

import asyncio
import random
import time
import typing

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.duties import lease
from auburnroad_gateway.duties import suspension
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics
from auburnroad_gateway.weights import duty as holding

CLAIM_INTERVAL_SECONDS = 0.1
# Pause of the background work in a deployment without the API.
IDLE_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 1.0
BACKOFF_MIN_SECONDS = 0.2
BACKOFF_MAX_SECONDS = 2.0
STATUS_OK = 200
STATUS_FENCED = 409
STATUS_RATE_LIMITED = 429

# Builds a call from the name of the holder and its fencing token.
CallBuilder = typing.Callable[[str, int], messages.Request]


class Backoff:
    """Jittered exponential backoff after calls that failed.

    Attributes:
      not_before: Time of the next call, in seconds of the boot clock.
    """

    __slots__ = ('not_before', '_failures')

    def __init__(self):
        self.not_before = float('-inf')
        self._failures = 0

    def note_failure(self, now: float, draw: float) -> None:
        """Wait longer after each failure.

        Args:
          now: Seconds of the boot clock.
          draw: Random number from 0 to 1.
        """
        delay = min(
            BACKOFF_MAX_SECONDS, BACKOFF_MIN_SECONDS * 2**self._failures
        )
        self._failures = min(self._failures + 1, 10)
        self.not_before = now + delay * (0.5 + draw / 2)

    def reset(self) -> None:
        """Wait no longer, after a call that was answered."""
        self.not_before = float('-inf')
        self._failures = 0


class DutyCaller:
    """Sends calls of the duties that this gateway holds.

    The key of a duty is one of duty.PLATFORM_KEYS. Calls about different
    subjects of a duty, such as a service in a failure domain, back off
    independently; a refused token stops all subjects of its duty.
    """

    __slots__ = (
        '_settings',
        '_client',
        '_duties',
        '_lease',
        '_watch',
        '_backoffs',
        '_refused_fences',
        '_next_at',
    )

    def __init__(
        self,
        settings: gateway_settings.Settings,
        http_client: client.HttpClient,
        duties: holding.Duties,
        holder_lease: lease.HolderLease,
    ):
        """Create a caller.

        Args:
          settings: Settings of the gateway.
          http_client: Connections to the platform's API.
          duties: Holders of the duties.
          holder_lease: Right to act for these duties.
        """
        self._settings = settings
        self._client = http_client
        self._duties = duties
        self._lease = holder_lease
        self._watch = suspension.SuspensionWatch()
        self._backoffs: dict[tuple[str, str], Backoff] = {}
        self._refused_fences: dict[str, int] = {}
        self._next_at: dict[str, float] = {}

    @property
    def _thaw_seconds(self) -> float:
        return self._settings.bounds.thaw_ms / 1000

    def apply_settings(self, settings: gateway_settings.Settings) -> None:
        """Use changed settings from the next call on."""
        self._settings = settings

    def may_send(self, duty: str, subject: str = '') -> bool:
        """Tell whether send() would try to make a call at present.

        Args:
          duty: Key of the duty.
          subject: What the call is about.

        Returns:
          Whether this gateway holds the duty and may act, its token was not
          refused, the process was not just suspended, and no backoff lasts.
        """
        now = self._read_clocks()
        backoff = self._backoffs.get((duty, subject))
        return (
            self._duties.is_holder(duty, now)
            and self._duties.find_fence(duty) != self._refused_fences.get(duty)
            and now >= self._watch.resumed_at + self._thaw_seconds
            and (backoff is None or now >= backoff.not_before)
        )

    async def send(
        self, duty: str, build: CallBuilder, subject: str = ''
    ) -> bool:
        """Make one call for a duty if it is allowed now; it isn't repeated.

        The caller decides what to send after a failure, once may_send() says
        so: the same call again, or a newer one in its place.

        Args:
          duty: Key of the duty.
          build: Builds the call from the name of the holder and its token.
          subject: What the call is about; calls about one subject are not
            made at the same time.

        Returns:
          Whether the platform answered 200. Otherwise the call was not sent,
          was refused, or may still be carried out.
        """
        if not self.may_send(duty, subject) or not await self._lease.renew(
            duty
        ):
            return False
        await self._wait_for_rate(duty)
        if not self.may_send(duty, subject):
            return False
        fence = self._duties.find_fence(duty)
        outcome = await self._exchange(
            duty, subject, build(self._settings.name, fence), fence
        )
        metrics.DUTY_CALLS.labels(duty.rstrip(':'), outcome).inc()
        return outcome == 'done'

    async def run(self) -> None:
        """Claim the duties of the settings until cancelled.

        A duty whose token was refused is given up and claimed anew, since
        each claim has a higher token.
        """
        while True:
            has_duty = self._settings.cloud.address
            await asyncio.sleep(
                CLAIM_INTERVAL_SECONDS if has_duty else IDLE_SECONDS
            )
            for name, key in holding.PLATFORM_KEYS.items():
                if not self._settings.cloud.has_duty(name):
                    continue
                refused = self._refused_fences.get(key)
                if refused and self._duties.find_fence(key) == refused:
                    await self._duties.give_up(key, self._lease.tail)
                    await asyncio.sleep(holding.CLAIM_RETRY_SECONDS)
                await self._duties.claim_if_vacant(key, self._lease.tail)

    async def watch_suspension(self) -> None:
        """Observe the clocks until cancelled, apart from all other work."""
        while True:
            self._read_clocks()
            has_duty = self._settings.cloud.address
            await asyncio.sleep(
                suspension.OBSERVE_SECONDS if has_duty else IDLE_SECONDS
            )

    def _read_clocks(self) -> float:
        now = clock.read_boot_clock_seconds()
        self._watch.observe(now, time.monotonic())
        return now

    async def _wait_for_rate(self, duty: str) -> None:
        """Wait for this call's turn; the duties share the rate evenly."""
        now = clock.read_boot_clock_seconds()
        cloud = self._settings.cloud
        turn = max(now, self._next_at.get(duty, now))
        self._next_at[duty] = turn + len(cloud.duties) / cloud.duty_per_s
        await asyncio.sleep(turn - now)

    def _may_write(self, duty: str, subject: str, fence: int) -> bool:
        """Decide right before the first byte, and record the call."""
        return self.may_send(duty, subject) and self._lease.begin(duty, fence)

    async def _exchange(
        self, duty: str, subject: str, request: messages.Request, fence: int
    ) -> str:
        """Make a call and note its outcome, which is returned for metrics."""
        backoff = self._backoffs.setdefault((duty, subject), Backoff())
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                reply = await self._client.open(
                    self._settings.cloud.address,
                    request,
                    fresh=True,
                    may_send=lambda: self._may_write(duty, subject, fence),
                )
            # The connection is not reused, as each call opens a new one.
            reply.close()
            status = reply.status
            cause = f'status {status}'
        except (client.HttpError, TimeoutError) as error:
            status = 0
            cause = str(error) or 'timed out'
        if status == STATUS_OK:
            backoff.reset()
            return 'done'
        now = clock.read_boot_clock_seconds()
        backoff.note_failure(now, random.random())
        if status == STATUS_FENCED:
            self._refused_fences[duty] = fence
        events.write(
            'duty_call_failed',
            duty=duty,
            subject=subject,
            fence=fence,
            cause=cause,
        )
        if status == STATUS_FENCED:
            return 'fenced'
        return 'unanswered' if status == 0 else 'refused'
