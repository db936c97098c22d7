"""Replicas of the users' platform: a model engine and a plain service.

Both speak the users' protocol and keep books of what they ran, which the
promises are checked against. An engine's text follows from the item's id
alone, so that a whole text is known whoever generated it.
"""

import asyncio
import json
import zlib

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_standins import partition_log

REGISTRY_TOPIC = 'keyed.servers'
LEAST_EVENTS = 3
# Texts differ in length by a factor of ten.
EVENT_SPREAD = 27
LOAD_SECONDS = 0.3


class Run(msgspec.Struct, frozen=True):
    """One run of a request at a replica.

    Attributes:
      request_id: Which request.
      replica: Id of the replica.
      started: Monotonic seconds.
      first_event: Number of the first event that it was asked for.
    """

    request_id: str
    replica: str
    started: float
    first_event: int = 0


class Order(msgspec.Struct, frozen=True):
    """An order that a replica has accepted."""

    replica: str
    holder: str
    fence: int
    version: int


class Books(msgspec.Struct):
    """What all replicas of a run did.

    Attributes:
      runs: Every run that began.
      orders: Every order that was accepted, in the order of acceptance.
      generated: Versions by request id and event number.
      drained: When a replica said that it drains, by id, in monotonic
        seconds.
    """

    runs: list[Run] = []
    orders: list[Order] = []
    generated: dict[tuple[str, int], set[int]] = {}
    drained: dict[str, float] = {}


def count_events(item_id: str) -> int:
    """Count the events of an item's whole text."""
    return LEAST_EVENTS + zlib.crc32(item_id.encode()) % EVENT_SPREAD


def build_event(item_id: str, number: int) -> str:
    """Build the data of one event."""
    return f'{item_id}.{number}'


def build_text(item_id: str) -> str:
    """Build an item's whole text."""
    return '\n'.join(
        build_event(item_id, number) for number in range(count_events(item_id))
    )


class Replica:
    """What engines and plain services share.

    Attributes:
      id: Names this start.
      address: Where it listens.
      seen_address: Where callers reach it, perhaps through a relay.
      fail_share: Of its runs, how many end with a 500; drawn by the id.
      pause_seconds: Time between two events, or for one answer.
      down: Whether it is silent, as after a crash.
    """

    def __init__(
        self, replica_id: str, service: str, domain: str, slots: int, books
    ):
        self.id = replica_id
        self.address = ''
        self.seen_address = ''
        self.fail_share = 0.0
        self.pause_seconds = 0.01
        self.down = False
        self._service = service
        self._domain = domain
        self._slots = slots
        self._books: Books = books
        self._running = 0
        self._draining = False
        self._beats = 0
        self._born = clock.time_now_ms()
        self._server = server.HttpServer(self._handle)

    async def start(self, ip: str) -> None:
        """Listen on an address of its own."""
        bound = await self._server.start(ip, 0)
        self.address = f'{bound[0]}:{bound[1]}'
        self.seen_address = self.address

    async def close(self) -> None:
        """Stop at once."""
        await self._server.close()

    def drain(self) -> None:
        """Take no new work from the next registration on."""
        self._draining = True

    def register(self, log: partition_log.PartitionLog) -> None:
        """Write the registration, unless the log is away or it is down."""
        if log.down or log.silent or self.down:
            return
        if self._draining:
            self._books.drained.setdefault(
                self.id, asyncio.get_running_loop().time()
            )
        self._beats += 1
        log.put(REGISTRY_TOPIC, self.id, json.dumps(self._describe()).encode())

    def deregister(self, log: partition_log.PartitionLog) -> None:
        """Drop the registration."""
        log.put(REGISTRY_TOPIC, self.id, b'')

    def _describe(self) -> dict:
        return {
            'service': self._service,
            'address': self.seen_address,
            'zone': self._domain,
            'version': '1',
            'slots': self._slots,
            'state': 'draining' if self._draining else 'ready',
            'coldRemainingMs': 0,
            'sequence': self._beats,
            'born': self._born,
        }

    async def _handle(self, request: messages.Request) -> messages.Response:
        if self.down:
            await asyncio.Event().wait()
        expected = request.headers.get('expect-replica')
        if expected not in (None, self.id):
            return messages.Response(421, {'not-executed': '1'})
        return await self._answer(request)

    async def _answer(self, request) -> messages.Response:
        raise NotImplementedError

    def _build_head(self, request_id: str) -> dict[str, str]:
        return {
            'request-id': request_id,
            'response-stamp': f'{self.id}.{request_id}',
            'replica-load': f'{self._running},0,{self._slots}',
        }

    def _begin(self, request) -> str | None:
        """Note a run; None if there is no slot."""
        if self._running >= self._slots:
            return None
        request_id = request.headers.get('request-id', '')
        first = int(request.headers.get('last-event-id', -1)) + 1
        self._books.runs.append(
            Run(
                request_id,
                self.id,
                asyncio.get_running_loop().time(),
                first,
            )
        )
        return request_id

    def _fails(self, request_id: str) -> bool:
        draw = zlib.crc32(f'{self.id}/{request_id}'.encode()) % 1000
        return draw < 1000 * self.fail_share


class Plain(Replica):
    """A plain service: one answer a request, which echoes the body."""

    async def _answer(self, request) -> messages.Response:
        request_id = self._begin(request)
        if request_id is None:
            return messages.Response(503, {'not-executed': '1'})
        self._running += 1
        try:
            await asyncio.sleep(self.pause_seconds)
        finally:
            self._running -= 1
        head = self._build_head(request_id)
        if self._fails(request_id):
            return messages.Response(500, head, b'failed')
        return messages.Response(200, head, request.body)


class Engine(Replica):
    """A model engine of one model.

    Attributes:
      version: Weight version that is loaded.
      lose_orders: How many orders are carried out without an answer.
    """

    def __init__(self, *arguments, model: str):
        super().__init__(*arguments)
        self.version = 1
        self.lose_orders = 0
        self._model = model
        self._orders = 0
        self._fence = 0
        self._loading: asyncio.Task | None = None

    def _describe(self) -> dict:
        return {**super()._describe(), 'models': self._list_models()}

    def _list_models(self) -> list[dict]:
        return [{'name': self._model, 'version': self.version, 'adapters': []}]

    @property
    def _busy(self) -> bool:
        return self._loading is not None and not self._loading.done()

    async def _answer(self, request) -> messages.Response:
        if request.path == '/-/report':
            report = {
                'stage': 'both',
                'models': self._list_models(),
                'busy': self._busy,
                'sequence': self._orders,
            }
            return messages.json_response(200, report)
        if request.path == '/-/order':
            return self._take_order(json.loads(request.body))
        request_id = None if self._busy else self._begin(request)
        if request_id is None:
            return messages.Response(503, {'not-executed': '1'})
        head = self._build_head(request_id)
        head['weight-versions'] = str(self.version)
        if self._fails(request_id):
            return messages.Response(500, head, b'failed')
        head['content-type'] = messages.SSE_TYPE
        first = int(request.headers.get('last-event-id', -1)) + 1
        return messages.Response(
            200, head, chunks=self._generate(request_id, first)
        )

    async def _generate(self, request_id: str, first: int):
        self._running += 1
        told = self.version
        try:
            for number in range(first, count_events(request_id)):
                await asyncio.sleep(self.pause_seconds)
                if self.down:
                    await asyncio.Event().wait()
                line = ''
                if self.version != told:
                    told = self.version
                    line = f'weight-versions:{told}\n'
                self._books.generated.setdefault(
                    (request_id, number), set()
                ).add(told)
                data = build_event(request_id, number)
                yield f'{line}id: {number}\ndata: {data}\n\n'.encode()
        finally:
            self._running -= 1

    def _take_order(self, order: dict) -> messages.Response:
        if order['fence'] < self._fence:
            return messages.Response(412)
        if self._busy or order.get('precondition') not in (None, self._orders):
            return messages.Response(409)
        self._fence = order['fence']
        if order['version'] == self.version:
            return messages.Response(200)
        self._orders += 1
        self._books.orders.append(
            Order(self.id, order['holder'], order['fence'], order['version'])
        )
        self._loading = asyncio.ensure_future(self._load(order['version']))
        if self.lose_orders:
            self.lose_orders -= 1
            raise ConnectionResetError('the answer is lost')
        return messages.Response(202)

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_SECONDS)
        self.version = version
