"""HTTP interface of the engine stand-in, and the engine's state."""

import asyncio

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core import registry
from auburnroad_standins.engine import batch
from auburnroad_standins.engine import events
from auburnroad_standins.engine import kv
from auburnroad_standins.engine import options
from auburnroad_standins.engine import orders
from auburnroad_standins.engine import prefix_cache
from auburnroad_standins.engine import runs
from auburnroad_standins import faults
from auburnroad_standins import lagged
from auburnroad_standins import serving

FAULTS = faults.build_registry('engine')
ROUTES = registry.Registry('engine route')


class Load(msgspec.Struct):
    """A load report.

    Attributes:
      running: Number of requests that have a slot.
      waiting: Number of requests that wait for a slot.
      slots: Maximum number of requests in the batch.
      versions: Weight version of each loaded model.
      role: The engine's role.
      at_ms: Time of the last change of the load, in Unix milliseconds.
    """

    running: int
    waiting: int
    slots: int
    versions: dict[str, int]
    role: str
    at_ms: int


class CancelBody(msgspec.Struct):
    """Body of a cancel request."""

    request_id: str


@serving.KINDS.register('engine')
class Engine:
    """A model engine whose text is a function of model and prompt.

    Attributes:
      batch: Running and waiting requests.
      orders: Orders, and the versions and role that they set.
      kv: KV caches for export and import.
      events: Events of the prefix cache.
    """

    __slots__ = (
        '_options',
        '_books',
        '_cache',
        '_load',
        '_active',
        'batch',
        'orders',
        'kv',
        'events',
    )

    OPTIONS = options.EngineOptions
    FAULTS = FAULTS
    ROUTES = ROUTES

    def __init__(self, engine_options: options.EngineOptions):
        self._options = engine_options
        self._books = runs.RunBooks(
            engine_options.name, engine_options.books_file
        )
        self._cache = prefix_cache.PrefixCache(engine_options.prefix_tokens)
        self._active: dict[str, runs.Run] = {}
        self.batch = batch.Batch(engine_options, self)
        self.orders = orders.Orders(
            engine_options, self.batch.pause, self._change_weights
        )
        self.kv = kv.KvStore(engine_options.kv_token_bytes)
        self.events = events.EventLog(engine_options)
        self._load = lagged.LaggedValue(self._build_load(0))

    @property
    def versions(self) -> dict[str, int]:
        """Current weight version of each loaded model."""
        return self.orders.versions

    def submit(self, request: runs.Completion) -> runs.Run:
        """Create the run of a completion and queue it.

        Args:
          request: The request.

        Returns:
          The run, whose stream carries the answer.

        Raises:
          RefusedError: If the model is unknown, the request is invalid, or
            its id is in use.
        """
        if request.model not in self.versions:
            raise serving.RefusedError(404, 'unknown_model', request.model)
        if request.resume_at >= request.max_tokens:
            raise serving.RefusedError(
                400, 'bad_request', 'resume_at is not below max_tokens'
            )
        if request.request_id in self._active:
            raise serving.RefusedError(
                409, 'duplicate_request', request.request_id
            )
        run = self._books.create_run(request, self.batch.cancel)
        request.request_id = request.request_id or f'run-{run.number}'
        self._active[request.request_id] = run
        self.batch.submit(run)
        return run

    def cancel(self, request_id: str) -> bool:
        """Cancel a request.

        Args:
          request_id: Id of the request.

        Returns:
          True if the request was running or waiting.
        """
        run = self._active.get(request_id)
        if run is None:
            return False
        self.batch.cancel(run)
        return True

    def compute_prefill_ms(self, run: runs.Run) -> float:
        """Compute the prefill time of a run and update the prefix cache.

        Args:
          run: A run that has just got a slot.

        Returns:
          The prefill time in milliseconds.
        """
        request = run.request
        digests = prefix_cache.block_digests(request.model, request.prompt)
        hits = self._cache.match(digests)
        if self.kv.pop_import(request):
            tokens = 0
        else:
            tokens = prefix_cache.count_tokens(request.prompt)
            tokens -= hits * prefix_cache.BLOCK_TOKENS
            tokens += request.resume_at
        stored, removed = self._cache.insert(request.model, digests)
        now_ms = clock.time_now_ms()
        for kind, blocks in (('stored', stored), ('removed', removed)):
            if blocks:
                self.events.publish(kind, request.model, blocks, now_ms)
        return tokens * self._options.prefill_token_ms

    def record_event(
        self, run: runs.Run, event: str, version: int = -1
    ) -> None:
        """Record an event of a run in the books.

        Args:
          run: The run.
          event: See runs.BooksLine.
          version: See runs.BooksLine.
        """
        self._books.record_event(run, event, version)
        if event == 'started':
            self.kv.add(run)
        if run.ended:
            self._active.pop(run.request.request_id, None)

    def record_load(self) -> None:
        """Record the current load for the lagging load reports."""
        now_ms = clock.time_now_ms()
        self._load.set(self._build_load(now_ms), now_ms)

    def read_load(self, now_ms: int) -> Load:
        """Read the load of load_lag_ms ago.

        Args:
          now_ms: Current time in Unix milliseconds.

        Returns:
          The load report.
        """
        return self._load.get(now_ms, self._options.load_lag_ms)[1]

    async def apply(self, order: orders.Order) -> None:
        """Carry an order out, even if its sender disconnects.

        Args:
          order: The order.

        Raises:
          RefusedError: If the order is refused or fails.
        """
        await serving.run_shielded(self.orders.apply(order))
        self.record_load()

    def build_books(self) -> object:
        """Build the response body of GET /books: runs and orders."""
        return {
            'name': self._options.name,
            'service': self._options.service,
            'runs': self._books.build(),
            'orders_begun': self.orders.received,
            'orders': self.orders.records,
        }

    def end_faults(self) -> None:
        """End all faults."""
        self.batch.factor = 1.0
        self.orders.swap_fails.set(0)
        self.orders.swap_half.set(0)

    def _build_load(self, now_ms: int) -> Load:
        return Load(
            running=self.batch.running,
            waiting=self.batch.waiting,
            slots=self._options.slots,
            versions=dict(self.versions),
            role=self.orders.role,
            at_ms=now_ms,
        )

    def _change_weights(self, model: str) -> None:
        # Blocks computed with the previous weights are invalid.
        self._cache.clear(model)
        self.events.publish('cleared', model, [], clock.time_now_ms())
        self.record_load()


@ROUTES.register('POST v1')
async def handle_completion(
    engine: Engine, request: messages.Request
) -> messages.Response:
    """Run a completion and stream its tokens."""
    if request.path != '/v1/completions':
        raise serving.RefusedError(404, 'unknown_path', request.path)
    run = engine.submit(serving.decode(request, runs.Completion))
    try:
        # Until the response starts, the server cancels this handler as soon
        # as the caller disconnects.
        await run.stream.wait()
    except asyncio.CancelledError:
        engine.batch.cancel(run)
        raise
    headers = {'content-type': messages.SSE_TYPE}
    return messages.Response(200, headers, chunks=run.stream)


@ROUTES.register('POST cancel')
async def handle_cancel(
    engine: Engine, request: messages.Request
) -> messages.Response:
    """Cancel a request."""
    body = serving.decode(request, CancelBody)
    cancelled = engine.cancel(body.request_id)
    return messages.build_json_response(200, {'cancelled': cancelled})


@ROUTES.register('GET load')
async def handle_load(
    engine: Engine, request: messages.Request
) -> messages.Response:
    """Return the load of load_lag_ms ago."""
    load = engine.read_load(clock.time_now_ms())
    return messages.build_json_response(200, load)


@ROUTES.register('POST orders')
async def handle_order(
    engine: Engine, request: messages.Request
) -> messages.Response:
    """Carry an order out."""
    await engine.apply(serving.decode(request, orders.Order))
    return messages.build_json_response(200, {'versions': engine.versions})


@ROUTES.register('GET kv')
async def handle_export(
    engine: Engine, request: messages.Request
) -> messages.Response:
    """Export the KV cache of a request."""
    _, request_id = serving.split_path(request, 2)
    data = engine.kv.build_export(request_id)
    return messages.Response(200, body=data)


@ROUTES.register('PUT kv')
async def handle_import(
    engine: Engine, request: messages.Request
) -> messages.Response:
    """Import a KV cache for a later request."""
    _, request_id = serving.split_path(request, 2)
    engine.kv.import_cache(request_id, request.body)
    return messages.build_json_response(200, {'imported': True})


@ROUTES.register('GET events')
async def handle_events(
    engine: Engine, request: messages.Request
) -> messages.Response:
    """Return cache events, with a delay and with gaps."""
    from_number = serving.parse_number(request, 'from')
    found = engine.events.read(from_number, clock.time_now_ms())
    following = found[-1].number + 1 if found else from_number
    return messages.build_json_response(
        200, {'next': following, 'events': found}
    )


@FAULTS.register('slow')
def apply_slow(engine: Engine, command: faults.Command) -> None:
    """Multiply the duration of token steps and prefills."""
    engine.batch.factor = command.factor


@FAULTS.register('swap_fails')
def apply_swap_fails(engine: Engine, command: faults.Command) -> None:
    """Make swaps fail before the weights change."""
    engine.orders.swap_fails.set(command.count)


@FAULTS.register('swap_half')
def apply_swap_half(engine: Engine, command: faults.Command) -> None:
    """Make swaps fail after the weights have changed."""
    engine.orders.swap_half.set(command.count)
