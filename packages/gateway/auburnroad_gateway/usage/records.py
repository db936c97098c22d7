"""Writes what this gateway counts to the log service.

The record of a host and window holds the counts of all incarnations of the
host, so that a restarted gateway neither loses nor repeats what was counted
before. The keys of a host take turns, which bounds the topic.
"""

import asyncio
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core import decoding
from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.usage import counting
from auburnroad_gateway.usage import fold

TOPIC = service.KEYED_PREFIX + 'usage'
SLOTS = counting.KEPT_WINDOWS
POLL_SECONDS = 0.1
# Delay of a record after a change, and pause between two appends. All gateways
# append to one partition, one after the other, so that the pause grows with
# their number.
GROUP_DELAY_SECONDS = 0.25
APPEND_PAUSE_SECONDS = 0.5
APPEND_PAUSE_PER_GATEWAY_SECONDS = 0.005
READ_RETRY_SECONDS = 0.3
# A gateway that starts closes so many windows before its first one, in which
# it did not run; nobody waits for it there.
WINDOWS_BEFORE_START = 2
FINISH_SECONDS = 0.3


def build_key(host: str, window: int) -> str:
    """Build the key of a host's record of a window."""
    return f'{host}/{window % SLOTS}'


def parse_record(
    record: service.KeyedRecord,
) -> tuple[str, fold.UsageRecord] | None:
    """Parse a record of the topic into its host and its value.

    Returns:
      None if the key was dropped or other software wrote the record.
    """
    host, _, _ = record.key.rpartition('/')
    if not record.value:
        return None
    try:
        return host, decoding.decode_msgpack(record.value, fold.UsageRecord)
    except msgspec.DecodeError as error:
        events.write_invalid_record(TOPIC, record.key, error)
        return None


class UsageRecords:
    """Records of this gateway in the usage topic.

    Attributes:
      counter: Counts of this gateway.
      window_ms: Length of a window in milliseconds.
    """

    __slots__ = (
        'counter',
        'window_ms',
        '_host',
        '_log',
        '_incarnation',
        '_count_gateways',
        '_clock',
        '_earlier',
        '_is_loaded',
        '_started_window',
        '_revision',
        '_producer',
        '_unconfirmed',
        '_append_lock',
        '_changed_at',
        '_append_at',
        '_failing',
    )

    def __init__(
        self,
        settings,
        log: service.LogService,
        incarnation: str,
        count_gateways: typing.Callable[[], int] = lambda: 1,
    ):
        """Create the records of a gateway.

        Args:
          settings: Settings of the gateway.
          log: The log service.
          incarnation: Unique id of this run of the process.
          count_gateways: Returns the number of gateways that are alive.
        """
        boot_seconds = clock.read_boot_clock_seconds()
        self._clock = counting.WindowClock(clock.time_now_ms(), boot_seconds)
        # A changed length needs a restart: counts and records depend on it.
        self.window_ms = settings.bounds.report_window_ms
        self.counter = counting.UsageCounter(
            self.window_ms, self._clock.find_time_ms(boot_seconds)
        )
        self._host = settings.name
        self._log = log
        self._incarnation = incarnation
        self._count_gateways = count_gateways
        self._earlier: dict[int, dict[str, fold.Entry]] = {}
        self._is_loaded = False
        self._started_window = self.counter.first_open
        self._revision = 0
        self._producer = service.Producer(incarnation, 1, 0)
        # Records by window of a call that is not known to have succeeded.
        self._unconfirmed: dict[int, bytes] = {}
        self._append_lock = asyncio.Lock()
        self._changed_at: float | None = None
        self._append_at = 0.0
        self._failing = False

    def find_time_ms(self) -> int:
        """Find the time by which windows are told apart, in Unix ms."""
        return self._clock.find_time_ms(clock.read_boot_clock_seconds())

    def advance(self, now: float) -> None:
        """Compare the clocks, and close the windows that are over.

        Args:
          now: Seconds of the boot clock.
        """
        self._clock.observe(clock.time_now_ms(), now)
        self.counter.close_windows(self._clock.find_time_ms(now))

    async def run(self) -> None:
        """Write the counts of this gateway until cancelled."""
        await self._read_earlier()
        while True:
            await asyncio.sleep(POLL_SECONDS)
            now = clock.read_boot_clock_seconds()
            self.advance(now)
            if self._is_due(now):
                self._append_at = now + max(
                    APPEND_PAUSE_SECONDS,
                    APPEND_PAUSE_PER_GATEWAY_SECONDS * self._count_gateways(),
                )
                await self._append()

    async def finish(self) -> None:
        """Close all windows before a planned stop and try to record them.

        Without the counts of earlier incarnations nothing is written, as it
        would take their place.
        """
        if not self._is_loaded:
            return
        self.counter.close_all()
        try:
            async with asyncio.timeout(FINISH_SECONDS):
                while self._unconfirmed or self.counter.changed:
                    await self._append()
                    if self._failing:
                        await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            events.write('usage_not_written', error='timed out in a stop')

    def build_record(self, window: int) -> fold.UsageRecord:
        """Build the record of this host for a window."""
        self._revision += 1
        own = fold.Entry(
            self._revision,
            self.counter.is_closed(window),
            self.counter.find_counts(window),
        )
        earlier = {
            incarnation: msgspec.structs.replace(entry, final=True)
            for incarnation, entry in self._earlier.get(window, {}).items()
        }
        return fold.UsageRecord(window, {**earlier, self._incarnation: own})

    def _is_due(self, now: float) -> bool:
        if not self._unconfirmed and not self.counter.changed:
            self._changed_at = None
            return False
        if self._changed_at is None:
            self._changed_at = now
        return (
            now >= self._changed_at + GROUP_DELAY_SECONDS
            and now >= self._append_at
        )

    async def _read_earlier(self) -> None:
        """Read what earlier incarnations of this host have counted.

        Their records that are not final are written again as final, since
        nothing will be added to them.
        """
        while True:
            try:
                snapshot = await self._log.read_newest(TOPIC)
                break
            except service.LogError as error:
                self._note_failure(error)
                await asyncio.sleep(READ_RETRY_SECONDS)
        self._failing = False
        first = min(self._started_window, self.counter.first_open)
        self.counter.changed.update(
            range(first - WINDOWS_BEFORE_START, first + 1)
        )
        for keyed in snapshot.records:
            parsed = parse_record(keyed)
            if parsed is None or parsed[0] != self._host:
                continue
            record = parsed[1]
            self._earlier[record.window] = record.entries
            if not all(entry.final for entry in record.entries.values()):
                self.counter.changed.add(record.window)
        self._is_loaded = True

    async def _append(self) -> None:
        """Append the changed windows, or again what may not be in the log.

        A call that failed is repeated as it was, so that it takes effect only
        once and not after a later one.
        """
        async with self._append_lock:
            self._changed_at = None
            if not self._unconfirmed:
                self._unconfirmed = self._build_changed()
            try:
                await self._log.append(
                    TOPIC, 0, list(self._unconfirmed.values()), self._producer
                )
            except service.LogConflictError as error:
                self._note_failure(error)
                self._producer = service.Producer(
                    f'{self._incarnation}/{self._revision}', 1, 0
                )
                self.counter.changed.update(self._unconfirmed)
                self._unconfirmed = {}
            except service.LogError as error:
                self._note_failure(error)
            else:
                self._failing = False
                self._unconfirmed = {}
                self._producer = msgspec.structs.replace(
                    self._producer, sequence=self._producer.sequence + 1
                )

    def _build_changed(self) -> dict[int, bytes]:
        """Build the records of the changed windows."""
        windows = sorted(self.counter.changed)
        self.counter.changed.clear()
        return {
            window: service.encode_keyed(
                build_key(self._host, window),
                msgspec.msgpack.encode(self.build_record(window)),
            )
            for window in windows
        }

    def _note_failure(self, error) -> None:
        if not self._failing:
            self._failing = True
            events.write('usage_not_written', error=str(error))
