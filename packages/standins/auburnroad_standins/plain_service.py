"""Stand-in of a plain service that counts its runs, to detect repeats."""

import asyncio
import collections

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core import registry
from auburnroad_standins import books
from auburnroad_standins import faults
from auburnroad_standins import serving

KEY_HEADER = 'idempotency-key'
REQUEST_HEADER = 'auburnroad-request-id'

FAULTS = faults.build_registry('plain service')
ROUTES = registry.Registry('plain service route')


class PlainOptions(serving.Options):
    """Options of a plain service.

    Attributes:
      service: Name of the service.
      work_ms: Duration of a run in milliseconds.
      books_file: Path of the file that runs are appended to; empty for no
        file.
    """

    service: str = ''
    work_ms: int = 0
    books_file: str = ''


class PlainRun(msgspec.Struct):
    """Record of one run, which is a line of the books file.

    Attributes:
      at_ms: Start of the run in Unix milliseconds.
      method: HTTP method.
      path: Path with its query.
      key: Idempotency key; empty if the request has none.
      request_id: Request id from the caller; empty if the request has none.
    """

    at_ms: int
    method: str
    path: str
    key: str
    request_id: str


@serving.KINDS.register('plain_service')
class PlainService:
    """Runs calls and counts them.

    Attributes:
      running: Number of calls that are running.
      factor: Multiplier of the duration of runs.
      delay_ms: Time added to each run, in milliseconds.
      run_then_die: Fault that drops the responses of completed runs.
    """

    __slots__ = (
        '_options',
        '_books_file',
        '_runs',
        '_by_key',
        '_by_request_id',
        'running',
        'factor',
        'delay_ms',
        'run_then_die',
    )

    OPTIONS = PlainOptions
    FAULTS = FAULTS
    ROUTES = ROUTES

    def __init__(self, options: PlainOptions):
        self._options = options
        self._books_file = books.BooksFile(options.books_file)
        self._runs = 0
        self._by_key: collections.Counter[str] = collections.Counter()
        self._by_request_id: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.factor = 1.0
        self.delay_ms = 0
        self.run_then_die = faults.Countdown()

    async def run(self, run: PlainRun) -> None:
        """Run one call, which is counted when it starts.

        Args:
          run: Record of the call.

        Raises:
          LostAnswerError: If the fault 'run_then_die' drops the response.
        """
        self._count(run)
        self.running += 1
        try:
            await self._work()
        finally:
            self.running -= 1
        if self.run_then_die.consume():
            raise serving.LostAnswerError()

    def build_answer(
        self, run: PlainRun, request: messages.Request
    ) -> messages.Response:
        """Build the response, which echoes the call.

        Args:
          run: Record of the call.
          request: Request of the call.

        Returns:
          The response.
        """
        answer = {
            'method': run.method,
            'path': run.path,
            'body': request.body.decode('utf-8', 'replace'),
            'request_id': run.request_id,
            'replica': self._options.name,
        }
        headers = {REQUEST_HEADER: run.request_id} if run.request_id else {}
        return messages.build_json_response(200, answer, headers)

    def build_books(self) -> object:
        """Build the response body of GET /books: counts of runs."""
        return {
            'runs': self._runs,
            'by_key': self._by_key,
            'by_request_id': self._by_request_id,
        }

    def build_load(self) -> object:
        """Build the response body of GET /load."""
        return {'running': self.running, 'at_ms': clock.time_now_ms()}

    def end_faults(self) -> None:
        """End all faults."""
        self.factor = 1.0
        self.delay_ms = 0
        self.run_then_die.set(0)

    def _count(self, run: PlainRun) -> None:
        self._books_file.append(run)
        self._runs += 1
        if run.key:
            self._by_key[run.key] += 1
        if run.request_id:
            self._by_request_id[run.request_id] += 1

    async def _work(self) -> None:
        work_ms = self._options.work_ms * self.factor + self.delay_ms
        if work_ms:
            await asyncio.sleep(work_ms / clock.MS_PER_SECOND)


@ROUTES.register('GET load')
async def handle_load(
    service: PlainService, request: messages.Request
) -> messages.Response:
    """Return the number of running calls."""
    return messages.build_json_response(200, service.build_load())


@ROUTES.register(serving.ANY_ROUTE)
async def handle_call(
    service: PlainService, request: messages.Request
) -> messages.Response:
    """Run a call and echo it in the response."""
    run = PlainRun(
        clock.time_now_ms(),
        request.method,
        request.target,
        request.headers.get(KEY_HEADER, ''),
        request.headers.get(REQUEST_HEADER, ''),
    )
    await service.run(run)
    return service.build_answer(run, request)


@FAULTS.register('slow')
def apply_slow(service: PlainService, command: faults.Command) -> None:
    """Multiply the duration of runs by the factor and add the delay."""
    service.factor = command.factor
    service.delay_ms = command.delay_ms


@FAULTS.register('run_then_die')
def apply_run_then_die(service: PlainService, command: faults.Command) -> None:
    """Run calls and close their connections without a response."""
    service.run_then_die.set(command.count)
