"""Orders to an engine: load weights, adapters or models, change the role.

Orders are carried out one at a time, in order of arrival and between token
steps. An order that has started is completed even if its sender disconnects.
"""

import asyncio
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.platform import weight_store
from auburnroad_core import registry
from auburnroad_standins.engine import options
from auburnroad_standins import faults
from auburnroad_standins import serving

FETCH_TIMEOUT_SECONDS = 60.0

ORDERS = registry.Registry('order')


class Order(msgspec.Struct):
    """Body of an order.

    Attributes:
      order: Name of the order in ORDERS.
      model: Name of the model or adapter.
      version: Weight version to load.
      fence: Fencing number of the sender.
      source: 'IP:port' of the weight store; empty to fetch no weights.
      role: New role, for the order 'role'.
    """

    order: str
    model: str = ''
    version: int = -1
    fence: int = -1
    source: str = ''
    role: str = ''


class OrderRecord(msgspec.Struct):
    """Record of an order in the books.

    Attributes:
      at_ms: Time of its end in Unix milliseconds.
      order: The order.
      outcome: 'done', the code of the refusal, or 'cut_off' after another
        error.
    """

    at_ms: int
    order: Order
    outcome: str


class Orders:
    """Carries orders out and holds the state that they change.

    Attributes:
      versions: Weight version of each loaded model.
      role: The reported role.
      received: Number of orders that have arrived.
      records: Orders that have ended, in order of their ends.
      swap_fails: Fault that fails swaps before the weights change.
      swap_half: Fault that fails swaps after the weights have changed.
    """

    __slots__ = (
        '_options',
        '_pause',
        '_on_changed',
        '_store',
        '_fences',
        '_lock',
        'versions',
        'role',
        'received',
        'records',
        'swap_fails',
        'swap_half',
    )

    def __init__(
        self,
        engine_options: options.EngineOptions,
        pause: typing.Callable[[float], typing.Awaitable[None]],
        on_changed: typing.Callable[[str], None],
    ):
        self._options = engine_options
        self._pause = pause
        self._on_changed = on_changed
        self._store = client.HttpClient()
        self._fences: dict[str, int] = {}
        self._lock = asyncio.Lock()
        self.versions = dict(engine_options.versions)
        self.role = engine_options.role
        self.received = 0
        self.records: list[OrderRecord] = []
        self.swap_fails = faults.Countdown()
        self.swap_half = faults.Countdown()

    async def apply(self, order: Order) -> None:
        """Carry an order out.

        Args:
          order: The order.

        Raises:
          RefusedError: If the order is unknown, its fencing number is old, or
            the swap failed.
        """
        self.received += 1
        outcome = 'cut_off'
        try:
            await self._apply(order)
            outcome = 'done'
        except serving.RefusedError as refused:
            outcome = refused.code
            raise
        finally:
            now_ms = clock.time_now_ms()
            self.records.append(OrderRecord(now_ms, order, outcome))

    async def swap(self, order: Order) -> None:
        """Fetch weights and replace the loaded ones with them.

        Args:
          order: The order.

        Raises:
          RefusedError: If the weights can't be fetched or the swap failed.
        """
        await self._fetch(order)
        swap_seconds = self._options.swap_ms / clock.MS_PER_SECOND
        if self.swap_fails.consume():
            await self._pause(swap_seconds / 2)
            raise serving.RefusedError(500, 'swap_failed', 'before the change')
        await self._pause(swap_seconds)
        self.versions[order.model] = order.version
        self._on_changed(order.model)
        if self.swap_half.consume():
            raise serving.RefusedError(500, 'swap_failed', 'after the change')

    async def _apply(self, order) -> None:
        if order.order not in ORDERS.names:
            raise serving.RefusedError(400, 'unknown_order', order.order)
        self._check_fence(order)
        async with self._lock:
            # An order with a higher fencing number may have arrived while
            # this order waited for the lock.
            self._check_fence(order)
            await ORDERS.get(order.order)(self, order)

    def _check_fence(self, order: Order) -> None:
        if not self._options.checks_fencing:
            return
        newest = self._fences.get(order.model, -1)
        if order.fence < newest:
            raise serving.RefusedError(
                409, 'old_fence', f'{order.fence} is below {newest}'
            )
        self._fences[order.model] = order.fence

    async def _fetch(self, order: Order) -> None:
        if not order.source:
            return
        store = weight_store.HttpWeightStore(order.source, self._store)
        try:
            await store.fetch(
                order.model, order.version, FETCH_TIMEOUT_SECONDS
            )
        except weight_store.WeightStoreError as error:
            raise serving.RefusedError(
                500, 'swap_failed', str(error)
            ) from error


@ORDERS.register('load_version')
async def load_version(orders: Orders, order: Order) -> None:
    """Replace the weights of a loaded model."""
    if order.model not in orders.versions:
        raise serving.RefusedError(404, 'unknown_model', order.model)
    await orders.swap(order)


@ORDERS.register('load_model')
@ORDERS.register('load_adapter')
async def load_model(orders: Orders, order: Order) -> None:
    """Load a model or an adapter under its own name."""
    if not order.model:
        raise serving.RefusedError(400, 'bad_request', 'model is empty')
    await orders.swap(order)


@ORDERS.register('role')
async def change_role(orders: Orders, order: Order) -> None:
    """Change the reported role."""
    orders.role = order.role
