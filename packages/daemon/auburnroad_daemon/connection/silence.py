"""A time limit on silence, cheap enough to be renewed with every token.

The timer is set once and looks at the time of the last sign when it fires,
rather than being set anew with each sign.
"""

import asyncio

# A timer that fires this late was held up together with what would have
# been read meanwhile, so the silence proves nothing.
LATE_SECONDS = 0.5


class SilenceLimit:
    """An asynchronous context that ends by TimeoutError after a silence."""

    __slots__ = ('_seconds', '_loop', '_heard', '_timeout', '_timer')

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._loop = asyncio.get_running_loop()
        self._heard = self._loop.time()
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> 'SilenceLimit':
        await self._timeout.__aenter__()
        self._start_timer()
        return self

    async def __aexit__(self, *error):
        self._timer.cancel()
        return await self._timeout.__aexit__(*error)

    def renew(self) -> None:
        """Note a sign of life."""
        self._heard = self._loop.time()

    def _start_timer(self) -> None:
        self._timer = self._loop.call_at(
            self._heard + self._seconds, self._check
        )

    def _check(self) -> None:
        now = self._loop.time()
        due = self._heard + self._seconds
        if now >= due and now - self._timer.when() > LATE_SECONDS:
            self._heard = now
        elif now >= due:
            self._timeout.reschedule(now)
            return
        self._start_timer()
