"""The platform's rate-limited store for model weights.

Weights are identified by model and version. Only sides read them, with at
most one fetch from the store per host; the side's version directory has the
code that relays weights between sides.
"""

import typing

from auburnroad_core import errors
from auburnroad_core.http import client
from auburnroad_core.http import messages


class WeightStoreError(errors.AuburnroadError):
    """The weights are currently unavailable from this source."""


class WeightsMissingError(WeightStoreError):
    """The source does not have the requested version."""


class WeightStore(typing.Protocol):
    """Interface of the weight store."""

    async def fetch(
        self, model: str, version: int, timeout_seconds: float
    ) -> bytes:
        """Fetch the weights of one version, limited by the store's rate.

        Raises:
          WeightsMissingError: If the store does not have the version.
          WeightStoreError: If the store is currently unavailable.
        """


class HttpWeightStore:
    """Client of the weight store, or of a relaying side, over HTTP."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def fetch(
        self, model: str, version: int, timeout_seconds: float
    ) -> bytes:
        """Fetch the weights of one version.

        Args:
          model: Name of the model or adapter.
          version: Weight version.
          timeout_seconds: Timeout of the complete fetch.

        Returns:
          The weights.

        Raises:
          WeightsMissingError: If the source does not have the version.
          WeightStoreError: If the source is currently unavailable.
        """
        target = f'/weights/{model}/{version}'
        try:
            response = await self._client.fetch(
                self._address,
                messages.Request('GET', target, {}),
                timeout_seconds,
            )
        except client.HttpError as error:
            raise WeightStoreError(str(error)) from error
        if response.status == 404:
            raise WeightsMissingError(f'{target} is missing')
        if response.status != 200:
            raise WeightStoreError(f'refused with {response.status}')
        return response.body
