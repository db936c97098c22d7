"""Replicas of the platform: a model engine and a plain service.

Both use the platform's protocol and record their runs in books, against which
the soak checks the gateways' guarantees. An engine's text depends on the
item's id and the engine's software alone, so the expected texts are known
whichever replicas generated the events.
"""

import asyncio
import json
import zlib

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_standins import partition_log
from auburnroad_standins import platform_calls

REGISTRY_TOPIC = 'keyed.servers'
MIN_EVENTS = 3
# The shortest text has 3 events and the longest 29, about ten times as many.
EVENT_COUNT_RANGE = 27
LOAD_SECONDS = 0.3
SOFTWARE_VERSIONS = ('1', '2')
# The body of a request of such a path is the id of its text, since each
# attempt to read it has a request id of its own.
STREAM_PREFIX = '/stream/'
FILLER = b'x' * 65536
# A plain service ends when it runs a request of such a path.
CRASHING_PREFIX = '/plain/crash'


class Run(msgspec.Struct, frozen=True):
    """One run of a request at a replica.

    Attributes:
      request_id: Id of the request.
      replica: Id of the replica.
      started: Start in seconds of the event loop's clock.
      first_event: Number of the first requested event.
      account: Account that the replica was told; empty for none.
      has_key: Whether the request carried a key.
    """

    request_id: str
    replica: str
    started: float
    first_event: int = 0
    account: str = ''
    has_key: bool = False


class Order(msgspec.Struct, frozen=True):
    """An order to load weights that has arrived at a replica.

    Attributes:
      replica: Id of the replica.
      holder: Name of the sender.
      fence: Fencing number.
      version: Version to load.
      at: Arrival in seconds of the event loop's clock.
      status: Status of the answer, which may be lost.
    """

    replica: str
    holder: str
    fence: int
    version: int
    at: float
    status: int


class RateLimit(msgspec.Struct):
    """A time in which a replica limits its rate.

    Attributes:
      replica: Id of the replica.
      per_second: Requests per second that it accepts.
      start: Start in seconds of the event loop's clock.
      end: End in the same; infinite until the limit has ended.
    """

    replica: str
    per_second: float
    start: float
    end: float = float('inf')


class Crash(msgspec.Struct, frozen=True):
    """The end of a replica under a request.

    Attributes:
      path: Path of the request.
      request_id: Id of the client attempt.
      replica: Id of the replica.
      at: Time in seconds of the event loop's clock.
    """

    path: str
    request_id: str
    replica: str
    at: float


class Books(msgspec.Struct):
    """Records of all replicas in a soak.

    Attributes:
      runs: All runs that started.
      orders: All orders, also refused ones, in order of arrival.
      generated: Weight versions that generated an event, by request id and
        event number.
      last_events: Time at which the last event of each item was first
        generated, by request id, in seconds of the event loop's clock.
      drained: Time of each replica's first registration as draining, by
        replica id, in seconds of the event loop's clock.
      limits: Rate limits that replicas named in their answers.
      crashes: Ends of replicas under requests, oldest first.
    """

    runs: list[Run] = []
    orders: list[Order] = []
    generated: dict[tuple[str, int], set[int]] = {}
    last_events: dict[str, float] = {}
    drained: dict[str, float] = {}
    limits: list[RateLimit] = []
    crashes: list[Crash] = []


def count_events(item_id: str) -> int:
    """Count the events of an item's complete text."""
    return MIN_EVENTS + zlib.crc32(item_id.encode()) % EVENT_COUNT_RANGE


class EventData(msgspec.Struct, frozen=True):
    """What the data of an event tells.

    Attributes:
      text_id: Id of the text.
      number: Number of the event.
      software: Version of the software that made it.
      run: Run that made it.
      first: Number of the event at which that run was asked to begin.
    """

    text_id: str
    number: int
    software: str
    run: str = 'run'
    first: int = 0


def build_event(*arguments) -> str:
    """Build the data of one event from the values of an EventData."""
    return '.'.join(map(str, msgspec.structs.astuple(EventData(*arguments))))


def parse_event_data(data: str) -> EventData | None:
    """Parse the data of an event; None if it is of something else."""
    fields = data.split('.')
    if len(fields) != len(EventData.__struct_fields__):
        return None
    text_id, number, software, run, first = fields
    return EventData(text_id, int(number), software, run, int(first))


def build_text(item_id: str, software: str = SOFTWARE_VERSIONS[0]) -> str:
    """Build the complete text of an item, as one run makes it."""
    return '\n'.join(
        build_event(item_id, number, software)
        for number in range(count_events(item_id))
    )


async def repeat_bytes():
    """Yield bytes that are no answer until the caller closes."""
    while True:
        yield FILLER
        await asyncio.sleep(0)


class Replica:
    """Common base of engines and plain services.

    Attributes:
      id: Replica id, unique for each start of a replica.
      address: Address that the replica listens on.
      seen_address: Registered address, which may be the address of a relay.
      fail_share: Fraction of runs that end with status 500. A hash of the
        replica id and the request id selects these runs.
      pause_seconds: Time between two events of an engine, or run time of a
        plain service, in seconds.
      down: Whether the replica stops responding, as after a crash.
      leaving: Whether answers state that the replica is about to exit.
      endless: Whether the bodies of answers have no end.
      software: Version of the replica's software.
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
        self.leaving = False
        self.endless = False
        self.software = SOFTWARE_VERSIONS[0]
        self._limit: RateLimit | None = None
        self._service = service
        self._domain = domain
        self._slots = slots
        self._books: Books = books
        self._running = 0
        self._draining = False
        self._heartbeats = 0
        self._started_ms = clock.time_now_ms()
        self._server = server.HttpServer(self._handle)

    async def start(self, ip: str) -> None:
        """Listen on a free port of an IP address."""
        bound = await self._server.start(ip, 0)
        self.address = f'{bound[0]}:{bound[1]}'
        self.seen_address = self.address

    async def close(self) -> None:
        """Stop the server and close its connections."""
        await self._server.close()

    def restart(self) -> None:
        """Continue as a new start of the replica under the same id."""
        self.leaving = False
        self._started_ms = max(self._started_ms + 1, clock.time_now_ms())

    @property
    def is_limited(self) -> bool:
        """Whether answers name a rate limit."""
        return self._limit is not None

    def limit(self, per_second: float) -> None:
        """Name a rate limit in all answers from now on."""
        now = asyncio.get_running_loop().time()
        self._limit = RateLimit(self.id, per_second, now)
        self._books.limits.append(self._limit)

    def end_limit(self) -> None:
        """Name no rate limit any more."""
        self._limit.end = asyncio.get_running_loop().time()
        self._limit = None

    def drain(self) -> None:
        """Announce 'draining' from the next registration on."""
        self._draining = True

    def register(self, log: partition_log.PartitionLog) -> None:
        """Write the registration, unless the log or the replica is down."""
        if log.down or log.silent or self.down:
            return
        if self._draining:
            self._books.drained.setdefault(
                self.id, asyncio.get_running_loop().time()
            )
        self._heartbeats += 1
        log.put(REGISTRY_TOPIC, self.id, json.dumps(self._describe()).encode())

    def deregister(self, log: partition_log.PartitionLog) -> None:
        """Delete the registration."""
        log.put(REGISTRY_TOPIC, self.id, b'')

    def _describe(self) -> dict:
        return {
            'service': self._service,
            'address': self.seen_address,
            'zone': self._domain,
            'version': self.software,
            'slots': self._slots,
            'state': 'draining' if self._draining else 'ready',
            'coldRemainingMs': 0,
            'sequence': self._heartbeats,
            'born': self._started_ms,
        }

    async def _handle(self, request: messages.Request) -> messages.Response:
        if self.down:
            await asyncio.Event().wait()
        expected = request.headers.get('expect-replica')
        if expected not in (None, self.id):
            return messages.Response(421, {'not-executed': '1'})
        return await self._handle_request(request)

    async def _handle_request(self, request) -> messages.Response:
        raise NotImplementedError

    def _build_headers(self, request_id: str) -> dict[str, str]:
        headers = {
            'request-id': request_id,
            'response-stamp': f'{self.id}.{request_id}',
            'replica-load': f'{self._running},0,{self._slots}',
        }
        if self.leaving:
            headers['server-leaving'] = '1'
        return {**headers, **self._build_limit_header()}

    def _build_limit_header(self) -> dict[str, str]:
        if self._limit is None:
            return {}
        return {'server-limit': str(self._limit.per_second)}

    def _refuse(self) -> messages.Response:
        return messages.Response(
            503, {'not-executed': '1', **self._build_limit_header()}
        )

    def _start_run(self, request) -> str | None:
        """Record a run and return its request id; None without a free slot."""
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
                platform_calls.find_account(request.headers),
                platform_calls.carries_key(request.headers),
            )
        )
        return request_id

    def _should_fail(self, request_id: str) -> bool:
        draw = zlib.crc32(f'{self.id}/{request_id}'.encode()) % 1000
        return draw < 1000 * self.fail_share


class Plain(Replica):
    """A plain service that responds to a request with the request's body.

    Attributes:
      on_crash: Called with the replica when a request has ended it; closes
        its connections and its listener.
    """

    def __init__(self, *arguments, on_crash=lambda replica: None):
        super().__init__(*arguments)
        self.on_crash = on_crash

    async def _handle_request(self, request) -> messages.Response:
        request_id = self._start_run(request)
        if request_id is None:
            return self._refuse()
        if request.path.startswith(CRASHING_PREFIX):
            self._books.crashes.append(
                Crash(
                    request.path,
                    request_id,
                    self.id,
                    asyncio.get_running_loop().time(),
                )
            )
            self.down = True
            self.on_crash(self)
            await asyncio.Event().wait()
        self._running += 1
        try:
            await asyncio.sleep(self.pause_seconds)
        finally:
            self._running -= 1
        headers = self._build_headers(request_id)
        if self.endless:
            return messages.Response(200, headers, chunks=repeat_bytes())
        if self._should_fail(request_id):
            return messages.Response(500, headers, b'failed')
        return messages.Response(200, headers, request.body)


class Engine(Replica):
    """A model engine with one loaded model.

    Attributes:
      version: Loaded weight version.
      lose_orders: Number of next orders that are carried out without a
        response.
      checks_fences: Whether orders with an older fencing number are refused.
    """

    def __init__(self, *arguments, model: str):
        super().__init__(*arguments)
        self.version = 1
        self.lose_orders = 0
        self.checks_fences = True
        self._model = model
        self._orders = 0
        self._fence = 0
        self._loading: asyncio.Task | None = None

    def _describe(self) -> dict:
        return {**super()._describe(), 'models': self._list_models()}

    def _list_models(self) -> list[dict]:
        return [{'name': self._model, 'version': self.version, 'adapters': []}]

    @property
    def _is_loading(self) -> bool:
        return self._loading is not None and not self._loading.done()

    async def _handle_request(self, request) -> messages.Response:
        if request.path == '/-/report':
            report = {
                'stage': 'both',
                'models': self._list_models(),
                'busy': self._is_loading,
                'sequence': self._orders,
            }
            return messages.build_json_response(200, report)
        if request.path == '/-/order':
            return self._handle_order(json.loads(request.body))
        request_id = None if self._is_loading else self._start_run(request)
        if request_id is None:
            return self._refuse()
        headers = self._build_headers(request_id)
        headers['weight-versions'] = str(self.version)
        if self._should_fail(request_id):
            return messages.Response(500, headers, b'failed')
        headers['content-type'] = messages.SSE_TYPE
        if self.endless:
            return messages.Response(200, headers, chunks=repeat_bytes())
        first = int(request.headers.get('last-event-id', -1)) + 1
        text_id = request_id
        if request.path.startswith(STREAM_PREFIX):
            text_id = request.body.decode()
        return messages.Response(
            200, headers, chunks=self._generate(text_id, first)
        )

    async def _generate(self, text_id: str, first: int):
        self._running += 1
        run = f'{self.id}-{len(self._books.runs)}'
        sent_version = self.version
        try:
            for number in range(first, count_events(text_id)):
                await asyncio.sleep(self.pause_seconds)
                if self.down:
                    await asyncio.Event().wait()
                line = ''
                if self.version != sent_version:
                    sent_version = self.version
                    line = f'weight-versions:{sent_version}\n'
                self._books.generated.setdefault((text_id, number), set()).add(
                    sent_version
                )
                if number == count_events(text_id) - 1:
                    self._books.last_events.setdefault(
                        text_id, asyncio.get_running_loop().time()
                    )
                data = build_event(text_id, number, self.software, run, first)
                yield f'{line}id: {number}\ndata: {data}\n\n'.encode()
        finally:
            self._running -= 1

    def _handle_order(self, order: dict) -> messages.Response:
        status = self._judge_order(order)
        self._books.orders.append(
            Order(
                self.id,
                order['holder'],
                order['fence'],
                order['version'],
                asyncio.get_running_loop().time(),
                status,
            )
        )
        self._fence = max(self._fence, order['fence'])
        if status == 202:
            self._orders += 1
            self._loading = asyncio.ensure_future(self._load(order['version']))
            if self.lose_orders:
                self.lose_orders -= 1
                raise ConnectionResetError('fault: order done, no response')
        return messages.Response(status)

    def _judge_order(self, order: dict) -> int:
        if self.checks_fences and order['fence'] < self._fence:
            return 412
        if self._is_loading or order.get('precondition') not in (
            None,
            self._orders,
        ):
            return 409
        return 200 if order['version'] == self.version else 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_SECONDS)
        self.version = version
