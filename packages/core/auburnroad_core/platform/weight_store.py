"""The platform's rate-limited store for weights.

A weight file is named by model and version. Only sides read it, one fetch a
host at most; see the side's version directory for the relays between sides.
"""

import typing

from auburnroad_core import errors
from auburnroad_core.http import client
from auburnroad_core.http import messages


class WeightStoreError(errors.AuburnroadError):
    """The weights can't be had from this source now."""


class WeightsMissingError(WeightStoreError):
    """The source has no such version."""


class WeightStore(typing.Protocol):
    """What the product needs of the weight store."""

    async def fetch(
        self, model: str, version: int, timeout_seconds: float
    ) -> bytes:
        """Fetch one version's weights, at the store's own rate.

        Raises:
          WeightsMissingError: If the store has no such version.
          WeightStoreError: If the store can't be read now.
        """


class HttpWeightStore:
    """The weight store, or a side that relays it, over HTTP."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str, http_client: client.HttpClient):
        self._address = address
        self._client = http_client

    async def fetch(
        self, model: str, version: int, timeout_seconds: float
    ) -> bytes:
        """Fetch one version's weights.

        Args:
          model: Model's or adapter's name.
          version: Weight version.
          timeout_seconds: How long all of it may take.

        Returns:
          The weights in bytes.

        Raises:
          WeightsMissingError: If the source has no such version.
          WeightStoreError: If the source can't be read now.
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
