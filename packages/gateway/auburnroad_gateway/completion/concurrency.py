"""Adaptive limit of the concurrent calls to a service.

Reward calls of a step come in bursts, when the items of several groups end at
once. Sent at once, they would fill the queues of replicas that callers use as
well, and a service that is slow or fails would get more calls the longer each
takes. The limit is halved after a failed call and grows by one call for each
full round of successful calls.
"""

import asyncio
import heapq
import itertools
import typing

MIN_LIMIT = 1.0


class ConcurrencyLimit:
    """Limits concurrent calls; the waiting call that is due first goes first.

    Attributes:
      in_flight: Number of calls that hold a place.
    """

    __slots__ = (
        'in_flight',
        '_find_ceiling',
        '_limit',
        '_waiting',
        '_numbers',
    )

    def __init__(self, find_ceiling: typing.Callable[[], int]):
        """Initialize the limit at its ceiling.

        Args:
          find_ceiling: Returns the highest number of concurrent calls.
        """
        self.in_flight = 0
        self._find_ceiling = find_ceiling
        self._limit = float('inf')
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._numbers = itertools.count()

    @property
    def limit(self) -> float:
        """Number of concurrent calls that are allowed now."""
        return max(MIN_LIMIT, min(self._limit, self._find_ceiling()))

    async def acquire(self, due_ms: int) -> None:
        """Wait for a place, which must be released.

        Args:
          due_ms: Time in Unix milliseconds; places go to the call that is due
            first.
        """
        place = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (due_ms, next(self._numbers), place))
        self._grant()
        try:
            await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self._free()
            raise

    def release(self, succeeded: bool) -> None:
        """Release a place and adapt the limit to the outcome of its call."""
        if succeeded:
            self._limit = self.limit + 1 / self.limit
        else:
            self._limit = self.limit / 2
        self._free()

    def _grant(self) -> None:
        """Give free places to waiting calls."""
        while self._waiting and self.in_flight + 1 <= self.limit:
            _, _, place = heapq.heappop(self._waiting)
            if not place.done():
                self.in_flight += 1
                place.set_result(None)

    def _free(self) -> None:
        self.in_flight -= 1
        self._grant()
