"""Tests that logs of many processes tell one story, broken lines and all."""

import gzip
import json
import pathlib
import tempfile
import unittest

from auburnroad_client.logs import causes
from auburnroad_client.logs import plot
from auburnroad_client.logs import reading
from auburnroad_client.logs import story
from auburnroad_client.logs import summary


def build_line(time_ms, event, host='h1', **fields):
    return json.dumps(
        {'time_ms': time_ms, 'event': event, 'host': host, **fields}
    ).encode()


FAILED = build_line(
    5000,
    'request_failed',
    request='q1',
    outcome='failed',
    reason='reset',
    replicas=['r1', 'r2'],
)
AWAY = build_line(4000, 'log_read_failing', error='timed out')
OTHER = build_line(4000, 'log_read_failing', 'h2', error='timed out')
GONE = build_line(4500, 'replica_gone', 'h2', replica='r1', reason='left')


class LogsCase(unittest.TestCase):
    """A directory with the logs of two processes."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        plain = b'\n'.join([FAILED, b'not json', b'{"half', AWAY])
        (self.path / 'h1.log').write_bytes(plain)
        packed = gzip.compress(b'12.5 h2 ' + OTHER + b'\n' + GONE)
        (self.path / 'h2.log.gz').write_bytes(packed)
        self.log = reading.read_log([str(self.path)])


class ReadLogTest(LogsCase):
    """Reading files."""

    def test_lines_are_put_in_order_and_broken_ones_counted(self):
        self.assertEqual(
            [4000, 4000, 4500, 5000], [line.time_ms for line in self.log.lines]
        )
        self.assertEqual(2, self.log.broken)

    def test_a_missing_file_is_told(self):
        with self.assertRaises(FileNotFoundError):
            reading.read_log([str(self.path / 'none')])


class BuildStoryTest(LogsCase):
    """The story of one id."""

    def test_a_request_is_told_with_what_was_around_it(self):
        told = story.build_story(self.log, 'q1')
        self.assertEqual(1, len(told.lines))
        self.assertEqual(
            ['log_read_failing', 'replica_gone'],
            [line.event for line in told.around],
        )
        self.assertIn('reset', told.causes[0])

    def test_a_replica_is_found_in_lists_too(self):
        told = story.build_story(self.log, 'r2')
        self.assertEqual(
            ['request_failed'], [line.event for line in told.lines]
        )

    def test_an_unknown_id_has_no_story(self):
        self.assertEqual([], story.build_story(self.log, 'no').lines)

    def test_text_for_people_has_causes_and_lines(self):
        text = story.describe_story(story.build_story(self.log, 'q1'))
        self.assertIn('likely cause', text)
        self.assertIn('request_failed', text)


class BuildSummaryTest(LogsCase):
    """Counts by cause."""

    def test_rows_are_counted_over_hosts(self):
        rows = summary.build_summary(self.log)
        self.assertEqual(
            ('log_read_failing', 2, 2),
            (rows[0].event, rows[0].count, rows[0].hosts),
        )

    def test_a_range_of_time_is_kept(self):
        rows = summary.build_summary(self.log, 4600, 6000)
        self.assertEqual(['request_failed'], [row.event for row in rows])


class PlotTest(LogsCase):
    """Failures over time."""

    def test_each_line_is_counted_in_its_span(self):
        rows = summary.build_summary(self.log)
        begin = min(row.first_ms for row in rows)
        end = max(row.last_ms for row in rows)
        starts, counts = plot.count_over_time(self.log, rows, begin, end)
        self.assertEqual(plot.BINS, len(starts))
        self.assertEqual(
            sum(row.count for row in rows), sum(map(sum, counts.values()))
        )

    def test_the_drawing_is_written(self):
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / 'failures.png'
            plot.draw(self.log, summary.build_summary(self.log), str(path))
            self.assertTrue(path.read_bytes().startswith(b'\x89PNG'))


class CausesTest(unittest.TestCase):
    """The registry of causes."""

    def test_every_cause_has_its_place_in_the_order(self):
        self.assertEqual(sorted(causes.ORDER), causes.CAUSES.names)
