"""Weights on their way from the store to the host's engines.

The store is rate-limited, so a host fetches a version once, from another
side that has it if it can, and serves it to its own engines and to further
sides. A version that is asked for before it is here is fetched then, so a
chain of sides needs no other signal.
"""

import asyncio
import collections
import typing

from absl import logging

from auburnroad_core.http import messages
from auburnroad_core.platform import weight_store
from auburnroad_daemon.process import side_metrics

FETCH_TIMEOUT_SECONDS = 30.0
VERSIONS_KEPT = 2
MAX_FETCHES = 8
PATH_PREFIX = '/weights/'
# A side that waits for the weights itself says so after this time, so that
# those behind it can tell it from a dead one.
PENDING_SECONDS = 2.0
PENDING_STATUS = 202
# After so many refusals by sides on the way up the store is asked at last:
# the way to it may be cut off there and not here.
REFUSALS_BEFORE_STORE = 3


class PeerRefusedError(weight_store.WeightStoreError):
    """Another side is there and can't get the weights now."""


class WeightSource(typing.Protocol):
    """Where the weights of one version can be fetched, best first."""

    async def find_stores(
        self, model: str, version: int
    ) -> list[tuple[str, weight_store.WeightStore]]:
        """Find sources, each with the kind that metrics count it under."""


class WeightRelay:
    """The newest versions of each model, in memory."""

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
        """Get one version's weights, from memory if they are there.

        Args:
          model: Model's or adapter's name.
          version: Weight version.

        Returns:
          The weights in bytes.

        Raises:
          WeightsMissingError: If no source has such a version.
          WeightStoreError: If they can't be had now.
        """
        known = self._weights.get(model, {}).get(version)
        if known is not None:
            return known
        fetch = self._fetches.get((model, version))
        if fetch is None:
            if len(self._fetches) >= MAX_FETCHES:
                raise weight_store.WeightStoreError('too many fetches')
            fetch = asyncio.ensure_future(self._fetch(model, version))
            self._fetches[model, version] = fetch
            fetch.add_done_callback(
                lambda task: self._end_fetch(model, version, task)
            )
        # One who goes away must not stop the fetch for the others.
        return await asyncio.shield(fetch)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Serve weights to an engine or to another side.

        Args:
          request: 'GET /weights/MODEL/VERSION'.

        Returns:
          The weights, 404, 202 while they are on their way, or 503 when
          they can't be had now.
        """
        model, _, number = request.path[len(PATH_PREFIX) :].rpartition('/')
        if request.method != 'GET' or not model or not number.isdecimal():
            return messages.json_response(404, {'error': 'unknown path'})
        try:
            async with asyncio.timeout(PENDING_SECONDS):
                body = await self.get(model, int(number))
        except TimeoutError:
            return messages.json_response(PENDING_STATUS, {'pending': True})
        except weight_store.WeightsMissingError as error:
            return messages.json_response(404, {'error': str(error)})
        except weight_store.WeightStoreError as error:
            return messages.json_response(503, {'error': str(error)})
        return messages.Response(200, {}, body)

    async def close(self) -> None:
        """Give up every fetch."""
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
                # A living side tries on; all of us at the store would only
                # slow it down.
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

    def _end_fetch(self, model, version, task) -> None:
        del self._fetches[model, version]
        if task.cancelled() or task.exception() is not None:
            return
        logging.info('weights of %s version %d are here', model, version)
        versions = self._weights.setdefault(model, {})
        versions[version] = task.result()
        for old in sorted(versions)[:-VERSIONS_KEPT]:
            del versions[old]
