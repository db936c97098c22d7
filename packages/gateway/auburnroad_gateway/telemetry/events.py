"""Structured log lines on standard output, one JSON object each.

A line is written for each decision that changes what the process believes
and for each failure. Writing never blocks: when the reader of the output
falls behind, or lines come too fast, they are dropped and counted, and a
later line tells how many.
"""

import collections
import os
import time

import msgspec

from auburnroad_gateway.telemetry import metrics

# Bounds the cost of logging under load, in lines a second and at once.
LINES_PER_SECOND = 40.0
BURST_LINES = 200.0
# What is kept while nobody reads the output.
BACKLOG_LINES = 1000
STDOUT = 1


class EventLog:
    """Writes lines to a file descriptor that must not block.

    Before open(), lines are only counted.
    """

    __slots__ = (
        'dropped',
        '_descriptor',
        '_opened',
        '_backlog',
        '_tokens',
        '_filled_at',
        '_fields',
        '_reported',
    )

    def __init__(self, descriptor: int = STDOUT):
        self.dropped = 0
        self._descriptor = descriptor
        self._opened = False
        self._backlog = collections.deque()
        self._tokens = BURST_LINES
        self._filled_at = time.monotonic()
        self._fields: dict[str, object] = {}
        self._reported = 0

    def open(self, **fields) -> None:
        """Make the output non-blocking and name this process.

        Args:
          fields: Fields that each line has.
        """
        os.set_blocking(self._descriptor, False)
        self._opened = True
        self._fields = fields

    def write(self, event: str, **fields) -> None:
        """Write one line, or count it as dropped.

        Args:
          event: Name of the event, from the catalogue in docs/OPERATIONS.md.
          fields: What decided, and the outcome.
        """
        metrics.EVENTS.labels(event).inc()
        if not self._opened:
            return
        if not self._take_token():
            self._drop()
            return
        if self.dropped > self._reported:
            fields['lines_dropped'] = self.dropped - self._reported
            self._reported = self.dropped
        line = {
            'time_ms': time.time_ns() // 1_000_000,
            'event': event,
            **self._fields,
            **fields,
        }
        self._put(msgspec.json.encode(line, enc_hook=repr) + b'\n')

    def _drop(self) -> None:
        self.dropped += 1
        metrics.LINES_DROPPED.inc()

    def _take_token(self) -> bool:
        now = time.monotonic()
        gained = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _put(self, data: bytes) -> None:
        if len(self._backlog) >= BACKLOG_LINES:
            self._drop()
            return
        self._backlog.append(data)
        while self._backlog:
            head = self._backlog[0]
            try:
                written = os.write(self._descriptor, head)
            except OSError:
                # A full pipe, or one without a reader: kept for later.
                return
            if written < len(head):
                self._backlog[0] = head[written:]
                return
            self._backlog.popleft()


LOG = EventLog()
write = LOG.write
