"""Finds the sides from which weights can be fetched.

The host list has the stream addresses of sides. Each side sends the address of
its weight relay in the Hello message that opens a stream.
"""

import asyncio

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages as http_messages
from auburnroad_core.platform import host_list as host_list_module
from auburnroad_core.platform import weight_store
from auburnroad_core.settings import daemon
from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import brief_stream
from auburnroad_daemon.version import relay
from auburnroad_daemon.version import relay_tree

# Longer than a parent takes to respond with the pending status.
RESPONSE_TIMEOUT_SECONDS = 2 * relay.PENDING_SECONDS
HOST_LIST_MAX_AGE_MS = 10_000
# Ancestors to try before the store; further attempts rarely save time.
MAX_ANCESTORS = 2


class PeerStore:
    """Weight store that fetches from another side's relay."""

    __slots__ = ('_stream_address', '_client')

    def __init__(self, stream_address: str, http_client: client.HttpClient):
        self._stream_address = stream_address
        self._client = http_client

    async def fetch(
        self, model: str, version: int, timeout_seconds: float
    ) -> bytes:
        """Fetch one version's weights from the side.

        Args:
          model: Model's or adapter's name.
          version: Weight version.
          timeout_seconds: Maximum time from the request to the last byte.

        Returns:
          The weights in bytes.

        Raises:
          WeightsMissingError: If the side reports that the version is missing.
          PeerRefusedError: If the side responds, but can't get the weights.
          WeightStoreError: If the side is unreachable or doesn't relay.
        """
        try:
            hello = await brief_stream.ask(
                self._stream_address, messages.Hello
            )
        except (OSError, TimeoutError, codec.WireError) as error:
            raise weight_store.WeightStoreError(str(error)) from error
        if hello.leaving or not hello.http_address:
            raise weight_store.WeightStoreError('the side does not relay')
        target = f'{relay.PATH_PREFIX}{model}/{version}'
        request = http_messages.Request('GET', target, {})
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._poll_weights(hello.http_address, request)
        except (client.HttpError, TimeoutError) as error:
            raise weight_store.WeightStoreError(str(error)) from error

    async def _poll_weights(self, address, request) -> bytes:
        """Poll until the side returns the weights or an error."""
        while True:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                reply = await self._client.open(address, request)
            body = await reply.read()
            if reply.status == 200:
                return body
            if reply.status == 404:
                raise weight_store.WeightsMissingError('missing upstream')
            if reply.status != relay.PENDING_STATUS:
                raise relay.PeerRefusedError(f'refused with {reply.status}')


class RelayPeers:
    """Finds sources of weights: ancestor sides, then the weight store."""

    __slots__ = ('_settings', '_client', '_host_list', '_hosts', '_read_ms')

    def __init__(
        self,
        settings: daemon.Daemon,
        hosts: host_list_module.HostList,
        http_client: client.HttpClient,
    ):
        self._settings = settings
        self._client = http_client
        self._host_list = hosts
        self._hosts: list[host_list_module.Host] = []
        self._read_ms = 0

    async def find_stores(
        self, model: str, version: int
    ) -> list[tuple[str, weight_store.WeightStore]]:
        """Find the sources of one version, best first.

        Args:
          model: Model's or adapter's name.
          version: Weight version.

        Returns:
          Pairs of the source's kind, a metric label, and the source.
        """
        await self._refresh_hosts()
        ancestors = relay_tree.find_ancestors(
            self._hosts, self._settings.host, model, version
        )
        sources = [
            ('side', PeerStore(host.address, self._client))
            for host in ancestors[:MAX_ANCESTORS]
        ]
        store = weight_store.HttpWeightStore(
            self._settings.weight_store, self._client
        )
        return [*sources, ('store', store)]

    async def _refresh_hosts(self) -> None:
        now_ms = clock.time_now_ms()
        if now_ms - self._read_ms < HOST_LIST_MAX_AGE_MS:
            return
        self._read_ms = now_ms
        try:
            self._hosts = await self._host_list.read()
        except host_list_module.HostListError:
            # The previous list remains in use; the store needs no host list.
            return
