"""The platform's append-only log service.

It assigns offsets, keeps records for a limited time, refuses appends over its
limit, and can lose an answer after the append took effect. Offsets are kept
when records expire.
"""

import asyncio
import collections

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core.log import records
from auburnroad_core.platform import log_service
from auburnroad_core import registry
from auburnroad_standins import faults
from auburnroad_standins import serving

READ_LIMIT_RECORDS = 1000
WINDOW_MS = 1000

FAULTS = faults.build_registry('log service')
ROUTES = registry.Registry('log service route')


class LogOptions(serving.Options):
    """Options of the log service.

    Attributes:
      appends_per_second: Appends admitted in any second.
      retention_ms: Age in milliseconds at which records expire, 0 for never.
    """

    appends_per_second: int = 400
    retention_ms: int = 0


class AppendBody(msgspec.Struct):
    """Body of an append."""

    records: list[log_service.NewRecord]


class AppendLimit:
    """Admits a number of appends in any second."""

    __slots__ = ('_admitted', '_per_second')

    def __init__(self, per_second: int):
        self._admitted = collections.deque()
        self._per_second = per_second

    def admit(self, now_ms: int) -> bool:
        """Decide on one append and count it if it is admitted.

        Args:
          now_ms: Unix milliseconds.

        Returns:
          True when it is within the limit.
        """
        admitted = self._admitted
        while admitted and admitted[0] <= now_ms - WINDOW_MS:
            admitted.popleft()
        if len(admitted) >= self._per_second:
            return False
        admitted.append(now_ms)
        return True


class LogStream:
    """One stream: its records that haven't expired, and who waits for more."""

    __slots__ = ('first_offset', 'changed', '_entries', '_times_ms')

    def __init__(self):
        self.first_offset = 0
        self.changed = asyncio.Event()
        self._entries: collections.deque[records.Entry] = collections.deque()
        self._times_ms: collections.deque[int] = collections.deque()

    @property
    def next_offset(self) -> int:
        """Offset that the next record gets."""
        return self.first_offset + len(self._entries)

    def append(
        self, batch: list[log_service.NewRecord], now_ms: int
    ) -> list[int]:
        """Append records.

        Args:
          batch: Records in order; repeated ids are no concern of the log.
          now_ms: Unix milliseconds.

        Returns:
          Their offsets.
        """
        offsets = []
        for record in batch:
            offset = self.next_offset
            entry = records.Entry(offset, record.id, record.data)
            self._entries.append(entry)
            self._times_ms.append(now_ms)
            offsets.append(offset)
        self.wake()
        return offsets

    def wake(self) -> None:
        """Let everyone who waits look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self, until_ms: int) -> None:
        """Drop records by age.

        Args:
          until_ms: Records appended before it are dropped, in Unix
            milliseconds.
        """
        while self._times_ms and self._times_ms[0] < until_ms:
            self._drop_first()

    def truncate(self, before: int) -> None:
        """Drop records by offset.

        Args:
          before: Offset of the first record that stays.
        """
        while self._entries and self.first_offset < before:
            self._drop_first()

    def read(self, from_offset: int) -> log_service.Batch:
        """Read records.

        Args:
          from_offset: Offset of the first one wanted.

        Returns:
          Up to READ_LIMIT_RECORDS records.
        """
        start = max(0, from_offset - self.first_offset)
        stop = min(len(self._entries), start + READ_LIMIT_RECORDS)
        found = [self._entries[index] for index in range(start, stop)]
        return log_service.Batch(self.first_offset, self.next_offset, found)

    def _drop_first(self) -> None:
        self._entries.popleft()
        self._times_ms.popleft()
        self.first_offset += 1


@serving.KINDS.register('log_service')
class LogService:
    """All streams, the limit on appends and the faults."""

    __slots__ = (
        '_options',
        '_streams',
        '_limit',
        'counts',
        'down',
        'delay_ms',
        'lose_answers',
    )

    OPTIONS = LogOptions
    FAULTS = FAULTS
    ROUTES = ROUTES

    def __init__(self, options: LogOptions):
        self._options = options
        self._streams: dict[str, LogStream] = {}
        self._limit = AppendLimit(options.appends_per_second)
        self.counts: collections.Counter[str] = collections.Counter()
        self.down = False
        self.delay_ms = 0
        self.lose_answers = faults.Countdown()

    def find_stream(self, name: str, now_ms: int) -> LogStream:
        """Find a stream, made at its first use, without expired records.

        Args:
          name: Stream's name.
          now_ms: Unix milliseconds.

        Returns:
          The stream.
        """
        stream = self._streams.setdefault(name, LogStream())
        if self._options.retention_ms:
            stream.expire(now_ms - self._options.retention_ms)
        return stream

    async def append(
        self, name: str, batch: list[log_service.NewRecord]
    ) -> list[int]:
        """Append records, late when the service is slow.

        Args:
          name: Stream's name.
          batch: Records in order.

        Returns:
          Their offsets.

        Raises:
          RefusedError: If the service is down or over its limit.
          LostAnswerError: If a fault takes the answer.
        """
        # A slow append takes effect even when its caller has given up.
        self.counts['append_requests'] += 1
        offsets = await serving.finish_anyway(self._append_late(name, batch))
        if self.lose_answers.strike():
            self.counts['answers_lost'] += 1
            raise serving.LostAnswerError()
        return offsets

    async def read(
        self, name: str, from_offset: int, wait_ms: int
    ) -> log_service.Batch:
        """Read records, waiting when there are none.

        Args:
          name: Stream's name.
          from_offset: Offset of the first one wanted.
          wait_ms: How long to wait, in milliseconds.

        Returns:
          The records.

        Raises:
          RefusedError: If the service is down or goes down meanwhile.
        """
        self.counts['reads'] += 1
        await self._delay()
        deadline_ms = clock.time_now_ms() + wait_ms
        while True:
            self._check_up()
            stream = self.find_stream(name, clock.time_now_ms())
            left_seconds = clock.seconds_until(deadline_ms)
            if from_offset < stream.next_offset or not left_seconds:
                return stream.read(from_offset)
            try:
                async with asyncio.timeout(left_seconds):
                    await stream.changed.wait()
            except TimeoutError:
                pass

    def wake_readers(self) -> None:
        """Let waiting readers see that something changed."""
        for stream in self._streams.values():
            stream.wake()

    def build_books(self) -> object:
        """Build the answer of GET /books: counts and offsets."""
        streams = {
            name: {
                'first_offset': stream.first_offset,
                'next_offset': stream.next_offset,
            }
            for name, stream in self._streams.items()
        }
        return {**self.counts, 'streams': streams}

    def end_faults(self) -> None:
        """End all faults."""
        self.down = False
        self.delay_ms = 0
        self.lose_answers.set(0)

    async def _append_late(self, name, batch) -> list[int]:
        await self._delay()
        self._check_up()
        now_ms = clock.time_now_ms()
        if not self._limit.admit(now_ms):
            self.counts['refused'] += 1
            raise serving.RefusedError(429, 'over_limit')
        self.counts['appends'] += 1
        self.counts['records'] += len(batch)
        return self.find_stream(name, now_ms).append(batch, now_ms)

    async def _delay(self) -> None:
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / clock.MS_PER_SECOND)

    def _check_up(self) -> None:
        if self.down:
            self.counts['down'] += 1
            raise serving.RefusedError(503, 'down')


@ROUTES.register('POST streams')
async def handle_append(
    log: LogService, request: messages.Request
) -> messages.Response:
    """Append records."""
    _, name, _ = serving.split_path(request, 3)
    body = serving.decode(request, AppendBody)
    offsets = await log.append(name, body.records)
    return messages.json_response(200, {'offsets': offsets})


@ROUTES.register('GET streams')
async def handle_read(
    log: LogService, request: messages.Request
) -> messages.Response:
    """Read records."""
    _, name, _ = serving.split_path(request, 3)
    batch = await log.read(
        name,
        serving.read_number(request, 'from'),
        serving.read_number(request, 'wait_ms'),
    )
    response = messages.json_response(200, batch)
    log.counts['read_bytes'] += len(response.body)
    return response


@FAULTS.register('down')
def strike_down(log: LogService, command: faults.Command) -> None:
    """Refuse appends and reads."""
    log.down = True
    log.wake_readers()


@FAULTS.register('slow')
def strike_slow(log: LogService, command: faults.Command) -> None:
    """Delay appends and reads."""
    log.delay_ms = command.delay_ms


@FAULTS.register('lose_answers')
def strike_lose_answers(log: LogService, command: faults.Command) -> None:
    """Let appends take effect and close the connection without an answer."""
    log.lose_answers.set(command.count)


@FAULTS.register('truncate')
def strike_truncate(log: LogService, command: faults.Command) -> None:
    """Drop the oldest records of a stream."""
    stream = log.find_stream(command.stream, clock.time_now_ms())
    stream.truncate(command.before)
