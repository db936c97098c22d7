"""Relays weights from the weight store to the engines of the host.

The store is rate-limited, so a host fetches a version once, preferably from
another side, and serves it to its own engines and to further sides. A request
for a version that is not in memory starts a fetch, so a request to the last
side of a chain also starts the fetches of the sides before it, without any
further message.
"""

import asyncio
import collections
import typing

from absl import logging

from auburnroad_core.http import messages
from auburnroad_core.platform import weight_store
from auburnroad_daemon.process import side_metrics

FETCH_TIMEOUT_SECONDS = 30.0
VERSIONS_KEPT_PER_MODEL = 2
MAX_CONCURRENT_FETCHES = 8
PATH_PREFIX = '/weights/'
# A side that is still fetching responds with the pending status after this
# time, so that downstream sides can distinguish it from a dead side.
PENDING_SECONDS = 2.0
PENDING_STATUS = 202
# After this number of refusals by upstream sides the store is read directly:
# the upstream sides may be partitioned from the store while this side is not.
REFUSALS_BEFORE_STORE = 3


class PeerRefusedError(weight_store.WeightStoreError):
    """An upstream side responded, but can't get the weights now."""


class WeightSource(typing.Protocol):
    """Finds the sources from which weights can be fetched."""

    async def find_stores(
        self, model: str, version: int
    ) -> list[tuple[str, weight_store.WeightStore]]:
        """Find sources, best first, each with its kind as a metric label."""


class WeightRelay:
    """Fetches, caches and serves the newest versions of each model."""

    __slots__ = ('_source', '_metrics', '_weights', '_fetches', '_refusals')

    def __init__(
        self, source: WeightSource, metrics: side_metrics.SideMetrics
    ):
        self._source = source
        self._metrics = metrics
        self._weights: dict[str, dict[int, bytes]] = {}
        self._fetches: dict[tuple[str, int], asyncio.Task] = {}
        self._refusals: collections.Counter[str] = collections.Counter()

    async def get(self, model: str, version: int) -> bytes:
        """Get the weights of one version from memory or from a source.

        Args:
          model: Model's or adapter's name.
          version: Weight version.

        Returns:
          The weights in bytes.

        Raises:
          WeightsMissingError: If no source has the version.
          WeightStoreError: If the weights can't be fetched now.
        """
        cached = self._weights.get(model, {}).get(version)
        if cached is not None:
            return cached
        fetch = self._fetches.get((model, version))
        if fetch is None:
            if len(self._fetches) >= MAX_CONCURRENT_FETCHES:
                raise weight_store.WeightStoreError('too many fetches')
            fetch = asyncio.ensure_future(self._fetch(model, version))
            self._fetches[model, version] = fetch
            fetch.add_done_callback(
                lambda task: self._store_result(model, version, task)
            )
        # A cancelled caller must not cancel the fetch for other callers.
        return await asyncio.shield(fetch)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Serve weights to an engine or to another side.

        Args:
          request: 'GET /weights/MODEL/VERSION'.

        Returns:
          The weights, 404 if the version or path is unknown, 202 while the
          weights are being fetched, or 503 if they can't be fetched now.
        """
        model, _, number = request.path[len(PATH_PREFIX) :].rpartition('/')
        if request.method != 'GET' or not model or not number.isdecimal():
            return messages.build_json_response(404, {'error': 'unknown path'})
        try:
            async with asyncio.timeout(PENDING_SECONDS):
                body = await self.get(model, int(number))
        except TimeoutError:
            return messages.build_json_response(
                PENDING_STATUS, {'pending': True}
            )
        except weight_store.WeightsMissingError as error:
            return messages.build_json_response(404, {'error': str(error)})
        except weight_store.WeightStoreError as error:
            return messages.build_json_response(503, {'error': str(error)})
        return messages.Response(200, {}, body)

    async def close(self) -> None:
        """Cancel all fetches."""
        fetches = list(self._fetches.values())
        for fetch in fetches:
            fetch.cancel()
        await asyncio.gather(*fetches, return_exceptions=True)

    async def _fetch(self, model: str, version: int) -> bytes:
        failure = weight_store.WeightStoreError('no source')
        for kind, store in await self._source.find_stores(model, version):
            try:
                weights = await store.fetch(
                    model, version, FETCH_TIMEOUT_SECONDS
                )
            except PeerRefusedError as error:
                # The upstream side continues to fetch; if every side read the
                # store as well, the store would only become slower.
                self._refusals[model] += 1
                if self._refusals[model] <= REFUSALS_BEFORE_STORE:
                    raise
                failure = error
                continue
            except weight_store.WeightStoreError as error:
                failure = error
                continue
            del self._refusals[model]
            self._metrics.weight_bytes.labels(kind).inc(len(weights))
            return weights
        raise failure

    def _store_result(self, model, version, task) -> None:
        del self._fetches[model, version]
        if task.cancelled() or task.exception() is not None:
            return
        logging.info('fetched weights of model %s version %d', model, version)
        versions = self._weights.setdefault(model, {})
        versions[version] = task.result()
        for old in sorted(versions)[:-VERSIONS_KEPT_PER_MODEL]:
            del versions[old]
