"""Tests that log lines are limited, non-blocking and documented.

Guards against a process that blocks on a full pipe, against floods of lines,
and against events that the operators' documentation does not list.
"""

import json
import os
import pathlib
import re
import unittest
from unittest import mock

from auburnroad_gateway.telemetry import events

ROOT = pathlib.Path(__file__).resolve().parents[4]
SOURCES = ROOT / 'packages' / 'gateway' / 'auburnroad_gateway'
CATALOGUE = ROOT / 'docs' / 'OPERATIONS.md'
WRITTEN = re.compile(r"(?:events\.write|self\._write)\(\s*'([a-z_]+)'")


class CatalogueTest(unittest.TestCase):
    """Each event is documented for the operators."""

    def test_every_event_of_the_code_is_documented(self):
        names = set()
        for path in SOURCES.rglob('*.py'):
            if not path.name.endswith('_test.py'):
                names |= set(WRITTEN.findall(path.read_text('utf-8')))
        page = CATALOGUE.read_text('utf-8')
        missing = [name for name in names if f'`{name}`' not in page]
        self.assertEqual([], sorted(missing))
        self.assertGreater(len(names), 20)


class EventLogTest(unittest.TestCase):
    """An event log that writes to a pipe."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.subject = events.EventLog(writer)
        self.subject.open(host='h')

    def read(self):
        try:
            data = os.read(self.reader, 1 << 24)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def test_line_is_one_json_object(self):
        self.subject.write('happened', id='x')
        (line,) = self.read()
        self.assertEqual(
            ('happened', 'h', 'x'), (line['event'], line['host'], line['id'])
        )

    def test_full_pipe_does_not_block_and_drops_are_counted(self):
        lines = 20_000
        with mock.patch.object(events, 'BURST_LINES', lines * 2):
            self.subject._tokens = lines * 2
            for number in range(lines):
                self.subject.write('happened', number=number, pad='x' * 200)
        self.assertGreater(self.subject.dropped, 0)
        seen = 0
        while got := self.read_rest():
            seen += got
            self.subject.write('after')
        self.assertGreater(seen, 0)

    def read_rest(self):
        try:
            return len(os.read(self.reader, 1 << 24))
        except BlockingIOError:
            return 0

    def test_excess_lines_are_dropped_and_reported_later(self):
        for _ in range(int(events.BURST_LINES) + 50):
            self.subject.write('happened')
        self.assertGreaterEqual(self.subject.dropped, 40)
        self.read()
        self.subject._tokens = 1.0
        self.subject.write('later')
        (line,) = self.read()
        self.assertGreaterEqual(line['lines_dropped'], 40)
