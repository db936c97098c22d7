"""Stand-in of the weight store, with a transfer rate that readers share."""

import asyncio
import collections
import typing

from auburnroad_core.http import messages
from auburnroad_core import registry
from auburnroad_standins import faults
from auburnroad_standins import serving

# Small parts share the rate evenly between readers. A part takes at least
# MIN_PART_SECONDS, because shorter sleeps of the event loop are inexact.
MIN_PART_BYTES = 16384
MIN_PART_SECONDS = 0.02

FAULTS = faults.build_registry('weight store')
ROUTES = registry.Registry('weight store route')


class WeightOptions(serving.Options):
    """Options of the weight store.

    Attributes:
      bytes_per_second: Rate that all readers share; 0 for no limit.
    """

    bytes_per_second: int = 0


class SharedRate:
    """Schedules the parts of all transfers one after another."""

    __slots__ = ('_free_at',)

    def __init__(self):
        self._free_at = 0.0

    def reserve(self, seconds: float, now: float) -> float:
        """Reserve transfer time for one part.

        Args:
          seconds: Transfer time of the part in seconds.
          now: Current time in seconds of the event loop's clock.

        Returns:
          The time until the end of the part's transfer, in seconds.
        """
        self._free_at = max(self._free_at, now) + seconds
        return self._free_at - now


@serving.KINDS.register('weight_store')
class WeightStore:
    """Stores weights by model and version.

    Attributes:
      counts: Counters in the books, by name.
      down: Whether reads and writes are refused and transfers break off.
      factor: Multiplier of transfer times.
    """

    __slots__ = ('_options', '_weights', '_rate', 'counts', 'down', 'factor')

    OPTIONS = WeightOptions
    FAULTS = FAULTS
    ROUTES = ROUTES

    def __init__(self, options: WeightOptions):
        self._options = options
        self._weights: dict[tuple[str, str], bytes] = {}
        self._rate = SharedRate()
        self.counts: collections.Counter[str] = collections.Counter()
        self.down = False
        self.factor = 1.0

    def store(self, model: str, version: str, data: bytes) -> None:
        """Store the weights of a version.

        Args:
          model: Name of the model.
          version: Version as in the request path.
          data: The weights.
        """
        self._weights[model, version] = data

    def find(self, model: str, version: str) -> bytes:
        """Find the weights of a version.

        Args:
          model: Name of the model.
          version: Version as in the request path.

        Returns:
          The weights.

        Raises:
          RefusedError: If the store is down or has no such version.
        """
        self.check_available()
        if (model, version) not in self._weights:
            raise serving.RefusedError(404, 'unknown_version')
        self.counts['reads'] += 1
        return self._weights[model, version]

    async def iterate(self, data: bytes) -> typing.AsyncIterator[bytes]:
        """Yield weights at the shared rate.

        Args:
          data: The weights.

        Yields:
          Consecutive parts of the data.

        Raises:
          LostAnswerError: If the store goes down during the transfer.
        """
        loop = asyncio.get_running_loop()
        part_bytes = self._compute_part_bytes()
        for start in range(0, len(data), part_bytes):
            part = data[start : start + part_bytes]
            seconds = self._compute_seconds(len(part))
            if seconds:
                await asyncio.sleep(self._rate.reserve(seconds, loop.time()))
            if self.down:
                raise serving.LostAnswerError()
            self.counts['read_bytes'] += len(part)
            yield part

    def check_available(self) -> None:
        """Check that the store is not down.

        Raises:
          RefusedError: If the store is down.
        """
        if self.down:
            raise serving.RefusedError(503, 'down')

    def build_books(self) -> object:
        """Build the response body of GET /books: counts and versions."""
        stored = [f'{model}/{version}' for model, version in self._weights]
        return {**self.counts, 'stored': stored}

    def end_faults(self) -> None:
        """End all faults."""
        self.down = False
        self.factor = 1.0

    def _compute_part_bytes(self) -> int:
        rate = self._options.bytes_per_second
        return max(MIN_PART_BYTES, int(rate * MIN_PART_SECONDS))

    def _compute_seconds(self, size: int) -> float:
        if not self._options.bytes_per_second:
            return 0.0
        return size / self._options.bytes_per_second * self.factor


@ROUTES.register('GET weights')
async def handle_read(
    store: WeightStore, request: messages.Request
) -> messages.Response:
    """Return the weights of a version."""
    _, model, version = serving.split_path(request, 3)
    data = store.find(model, version)
    return messages.Response(200, chunks=store.iterate(data))


@ROUTES.register('PUT weights')
async def handle_store(
    store: WeightStore, request: messages.Request
) -> messages.Response:
    """Store the weights of a version."""
    _, model, version = serving.split_path(request, 3)
    store.check_available()
    store.store(model, version, request.body)
    return messages.build_json_response(200, {'bytes': len(request.body)})


@FAULTS.register('down')
def apply_down(store: WeightStore, command: faults.Command) -> None:
    """Refuse reads and writes, and break off running transfers."""
    store.down = True


@FAULTS.register('slow')
def apply_slow(store: WeightStore, command: faults.Command) -> None:
    """Divide the transfer rate by the command's factor."""
    store.factor = command.factor
