"""Structured log lines on standard output, one JSON object each.

A line is written for each failure and for each decision that changes the
process's view of the system. Writing never blocks: lines beyond the rate
limit, or beyond the backlog for a slow reader, are dropped and counted. A
later line reports the number of dropped lines.
"""

import collections
import os
import time
import traceback

import msgspec

from auburnroad_gateway.telemetry import metrics

# Token bucket that limits the cost of logging under load: rate and capacity.
LINES_PER_SECOND = 40.0
BURST_LINES = 200.0
# Maximum number of lines queued while the output is not read.
BACKLOG_LINES = 1000
STDOUT = 1
# Maximum length of the text of an error in a line.
ERROR_CHARACTERS = 300
# Number of innermost frames in a logged stack trace.
TRACE_FRAMES = 4


class EventLog:
    """Writes lines to a non-blocking file descriptor.

    Before open(), lines are only counted.

    Attributes:
      dropped: Number of dropped lines.
    """

    __slots__ = (
        'dropped',
        '_descriptor',
        '_opened',
        '_backlog',
        '_tokens',
        '_refilled_at',
        '_fields',
        '_reported_drops',
    )

    def __init__(self, descriptor: int = STDOUT):
        self.dropped = 0
        self._descriptor = descriptor
        self._opened = False
        self._backlog = collections.deque()
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._fields: dict[str, object] = {}
        self._reported_drops = 0

    def open(self, **fields) -> None:
        """Make the output non-blocking and start writing lines.

        Args:
          fields: Fields added to every line to identify the process.
        """
        os.set_blocking(self._descriptor, False)
        self._opened = True
        self._fields = fields

    def write(self, event: str, **fields) -> None:
        """Write one line, or count it as dropped.

        Args:
          event: Name of the event, from the catalogue in docs/OPERATIONS.md.
          fields: Inputs and outcome of the decision.
        """
        metrics.EVENTS.labels(event).inc()
        if not self._opened:
            return
        if not self._take_token():
            self._drop()
            return
        if self.dropped > self._reported_drops:
            fields['lines_dropped'] = self.dropped - self._reported_drops
            self._reported_drops = self.dropped
        line = {
            'time_ms': time.time_ns() // 1_000_000,
            'event': event,
            **self._fields,
            **fields,
        }
        self._send(msgspec.json.encode(line, enc_hook=repr) + b'\n')

    def _drop(self) -> None:
        self.dropped += 1
        metrics.LINES_DROPPED.inc()

    def _take_token(self) -> bool:
        now = time.monotonic()
        added_tokens = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + added_tokens)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _send(self, data: bytes) -> None:
        if len(self._backlog) >= BACKLOG_LINES:
            self._drop()
            return
        self._backlog.append(data)
        while self._backlog:
            head = self._backlog[0]
            try:
                written = os.write(self._descriptor, head)
            except OSError:
                # The pipe is full or has no reader; the line stays queued.
                return
            if written < len(head):
                self._backlog[0] = head[written:]
                return
            self._backlog.popleft()


LOG = EventLog()
write = LOG.write


def write_error(event: str, error: BaseException, **fields) -> None:
    """Write a line about an unexpected exception, with its stack trace.

    Args:
      event: Name of the event.
      error: The exception.
      fields: Further fields of the line.
    """
    trace = traceback.format_exception(error, limit=-TRACE_FRAMES)
    write(
        event,
        **fields,
        error=repr(error)[:ERROR_CHARACTERS],
        trace=''.join(trace)[-TRACE_FRAMES * ERROR_CHARACTERS :],
    )


def write_invalid_record(topic: str, record: object, error: Exception) -> None:
    """Count a record of the log that can't be decoded, and write a line.

    Args:
      topic: Topic of the record.
      record: Key of the record, or its partition and offset.
      error: Error of the decoding.
    """
    metrics.INVALID_RECORDS.labels(topic).inc()
    write(
        'record_invalid',
        topic=topic,
        record=record,
        error=str(error)[:ERROR_CHARACTERS],
    )
