"""An idle timeout that is cheap enough to be renewed with every token.

Renewing only stores the current time. When the timer fires before the idle
period has passed since that time, it is set again for the remaining time, so
no timer is created per token.
"""

import asyncio

# If the timer fires later than this, the event loop was blocked and could not
# read data either, so the idle time doesn't show that the peer sent nothing.
MAX_TIMER_DELAY_SECONDS = 0.5


class IdleTimeout:
    """Async context manager that raises TimeoutError after an idle period."""

    __slots__ = ('_seconds', '_loop', '_last_activity', '_timeout', '_timer')

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._loop = asyncio.get_running_loop()
        self._last_activity = self._loop.time()
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> 'IdleTimeout':
        await self._timeout.__aenter__()
        self._start_timer()
        return self

    async def __aexit__(self, *error):
        self._timer.cancel()
        return await self._timeout.__aexit__(*error)

    def renew(self) -> None:
        """Record activity and restart the idle period."""
        self._last_activity = self._loop.time()

    def _start_timer(self) -> None:
        self._timer = self._loop.call_at(
            self._last_activity + self._seconds, self._check
        )

    def _check(self) -> None:
        now = self._loop.time()
        due = self._last_activity + self._seconds
        if now >= due and now - self._timer.when() > MAX_TIMER_DELAY_SECONDS:
            self._last_activity = now
        elif now >= due:
            self._timeout.reschedule(now)
            return
        self._start_timer()
