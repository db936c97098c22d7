"""Stand-in of the append-only log service.

It assigns offsets, keeps records for a limited time, refuses appends over its
rate limit, and can lose a response after the append took effect. Records keep
their offsets when older ones expire.
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
RATE_WINDOW_MS = 1000

FAULTS = faults.build_registry('log service')
ROUTES = registry.Registry('log service route')


class LogOptions(serving.Options):
    """Options of the log service.

    Attributes:
      appends_per_second: Maximum number of appends in any second.
      retention_ms: Age in milliseconds at which records expire; 0 for never.
    """

    appends_per_second: int = 400
    retention_ms: int = 0


class AppendBody(msgspec.Struct):
    """Body of an append."""

    records: list[log_service.NewRecord]


class AppendLimit:
    """Rate limit of appends over a sliding window of one second."""

    __slots__ = ('_admitted', '_per_second')

    def __init__(self, per_second: int):
        self._admitted = collections.deque()
        self._per_second = per_second

    def admit(self, now_ms: int) -> bool:
        """Admit an append if it is within the limit, and count it.

        Args:
          now_ms: Current time in Unix milliseconds.

        Returns:
          True if the append is admitted.
        """
        admitted = self._admitted
        while admitted and admitted[0] <= now_ms - RATE_WINDOW_MS:
            admitted.popleft()
        if len(admitted) >= self._per_second:
            return False
        admitted.append(now_ms)
        return True


class LogStream:
    """A stream's records that haven't expired.

    Attributes:
      first_offset: Offset of the oldest record.
      changed: Event on which readers wait; it is replaced after each change.
    """

    __slots__ = ('first_offset', 'changed', '_entries', '_times_ms')

    def __init__(self):
        self.first_offset = 0
        self.changed = asyncio.Event()
        self._entries: collections.deque[records.Entry] = collections.deque()
        self._times_ms: collections.deque[int] = collections.deque()

    @property
    def next_offset(self) -> int:
        """Offset of the next appended record."""
        return self.first_offset + len(self._entries)

    def append(
        self, batch: list[log_service.NewRecord], now_ms: int
    ) -> list[int]:
        """Append records.

        Args:
          batch: Records in order; the log does not deduplicate by their ids.
          now_ms: Current time in Unix milliseconds.

        Returns:
          The offsets of the records.
        """
        offsets = []
        for record in batch:
            offset = self.next_offset
            entry = records.Entry(offset, record.id, record.data)
            self._entries.append(entry)
            self._times_ms.append(now_ms)
            offsets.append(offset)
        self.notify_readers()
        return offsets

    def notify_readers(self) -> None:
        """Wake the waiting readers, which then check the stream again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self, until_ms: int) -> None:
        """Delete the records that were appended before a time.

        Args:
          until_ms: The time in Unix milliseconds.
        """
        while self._times_ms and self._times_ms[0] < until_ms:
            self._delete_oldest()

    def truncate(self, before: int) -> None:
        """Delete the records before an offset.

        Args:
          before: Offset of the first record that is kept.
        """
        while self._entries and self.first_offset < before:
            self._delete_oldest()

    def read(self, from_offset: int) -> log_service.Batch:
        """Read up to READ_LIMIT_RECORDS records.

        Args:
          from_offset: Offset of the first record to return.

        Returns:
          The records, and the first and next offset of the stream.
        """
        start = max(0, from_offset - self.first_offset)
        stop = min(len(self._entries), start + READ_LIMIT_RECORDS)
        found = [self._entries[index] for index in range(start, stop)]
        return log_service.Batch(self.first_offset, self.next_offset, found)

    def _delete_oldest(self) -> None:
        self._entries.popleft()
        self._times_ms.popleft()
        self.first_offset += 1


@serving.KINDS.register('log_service')
class LogService:
    """All streams, the rate limit of appends, and the faults.

    Attributes:
      counts: Counters in the books, by name.
      down: Whether appends and reads are refused.
      delay_ms: Delay of appends and reads in milliseconds.
      lose_answers: Fault that drops the response to an append.
    """

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
        """Find or create a stream and delete its expired records.

        Args:
          name: Name of the stream.
          now_ms: Current time in Unix milliseconds.

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
        """Append records after the delay of the fault 'slow'.

        Args:
          name: Name of the stream.
          batch: Records in order.

        Returns:
          The offsets of the records.

        Raises:
          RefusedError: If the service is down or the rate limit is reached.
          LostAnswerError: If the fault 'lose_answers' drops the response.
        """
        # A slow append takes effect even if its caller has disconnected.
        self.counts['append_requests'] += 1
        offsets = await serving.run_shielded(
            self._append_after_delay(name, batch)
        )
        if self.lose_answers.consume():
            self.counts['answers_lost'] += 1
            raise serving.LostAnswerError()
        return offsets

    async def read(
        self, name: str, from_offset: int, wait_ms: int
    ) -> log_service.Batch:
        """Read records, and wait for new ones at the end of the stream.

        Args:
          name: Name of the stream.
          from_offset: Offset of the first record to return.
          wait_ms: Longest time to wait for a record, in milliseconds.

        Returns:
          The records, possibly none.

        Raises:
          RefusedError: If the service is down or goes down during the wait.
        """
        self.counts['reads'] += 1
        await self._delay()
        deadline_ms = clock.time_now_ms() + wait_ms
        while True:
            self._check_available()
            stream = self.find_stream(name, clock.time_now_ms())
            left_seconds = clock.seconds_until(deadline_ms)
            if from_offset < stream.next_offset or not left_seconds:
                return stream.read(from_offset)
            try:
                async with asyncio.timeout(left_seconds):
                    await stream.changed.wait()
            except TimeoutError:
                pass

    def notify_all_readers(self) -> None:
        """Wake the waiting readers of all streams."""
        for stream in self._streams.values():
            stream.notify_readers()

    def build_books(self) -> object:
        """Build the response body of GET /books: counts and offsets."""
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

    async def _append_after_delay(self, name, batch) -> list[int]:
        await self._delay()
        self._check_available()
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

    def _check_available(self) -> None:
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
    return messages.build_json_response(200, {'offsets': offsets})


@ROUTES.register('GET streams')
async def handle_read(
    log: LogService, request: messages.Request
) -> messages.Response:
    """Read records."""
    _, name, _ = serving.split_path(request, 3)
    batch = await log.read(
        name,
        serving.parse_number(request, 'from'),
        serving.parse_number(request, 'wait_ms'),
    )
    response = messages.build_json_response(200, batch)
    log.counts['read_bytes'] += len(response.body)
    return response


@FAULTS.register('down')
def apply_down(log: LogService, command: faults.Command) -> None:
    """Refuse appends and reads."""
    log.down = True
    log.notify_all_readers()


@FAULTS.register('slow')
def apply_slow(log: LogService, command: faults.Command) -> None:
    """Delay appends and reads."""
    log.delay_ms = command.delay_ms


@FAULTS.register('lose_answers')
def apply_lose_answers(log: LogService, command: faults.Command) -> None:
    """Carry appends out but close the connection without a response."""
    log.lose_answers.set(command.count)


@FAULTS.register('truncate')
def apply_truncate(log: LogService, command: faults.Command) -> None:
    """Delete the oldest records of a stream."""
    stream = log.find_stream(command.stream, clock.time_now_ms())
    stream.truncate(command.before)
