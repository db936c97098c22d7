"""Tests of timelines and summaries from the logs of many processes."""

import gzip
import json
import pathlib
import tempfile
import unittest

from auburnroad_client.logs import causes
from auburnroad_client.logs import plot
from auburnroad_client.logs import reading
from auburnroad_client.logs import summary
from auburnroad_client.logs import timeline


def build_line(time_ms, event, host='h1', **fields):
    return json.dumps(
        {'time_ms': time_ms, 'event': event, 'host': host, **fields}
    ).encode()


REQUEST_FAILED = build_line(
    5000,
    'request_failed',
    request='q1',
    outcome='failed',
    reason='reset',
    replicas=['r1', 'r2'],
)
LOG_FAILING = build_line(4000, 'log_read_failing', error='timed out')
LOG_FAILING_ON_H2 = build_line(
    4000, 'log_read_failing', 'h2', error='timed out'
)
REPLICA_GONE = build_line(
    4500, 'replica_gone', 'h2', replica='r1', reason='left'
)


class LogFilesTestCase(unittest.TestCase):
    """Base class with a directory of logs of two processes.

    One file is compressed, and some lines are truncated or carry the prefix
    of a log collector.
    """

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        plain = b'\n'.join(
            [REQUEST_FAILED, b'not json', b'{"half', LOG_FAILING]
        )
        (self.path / 'h1.log').write_bytes(plain)
        compressed = gzip.compress(
            b'12.5 h2 ' + LOG_FAILING_ON_H2 + b'\n' + REPLICA_GONE
        )
        (self.path / 'h2.log.gz').write_bytes(compressed)
        self.log = reading.read_log([str(self.path)])


class ReadLogTest(LogFilesTestCase):
    """Files are merged by time, and lines without an event are counted."""

    def test_lines_are_sorted_and_lines_without_event_are_counted(self):
        self.assertEqual(
            [4000, 4000, 4500, 5000], [line.time_ms for line in self.log.lines]
        )
        self.assertEqual(2, self.log.broken)

    def test_missing_file_raises(self):
        with self.assertRaises(FileNotFoundError):
            reading.read_log([str(self.path / 'none')])


class BuildTimelineTest(LogFilesTestCase):
    """A timeline has the lines of an id, their context and causes."""

    def test_timeline_of_request_has_context_and_cause(self):
        built = timeline.build_timeline(self.log, 'q1')
        self.assertEqual(1, len(built.lines))
        self.assertEqual(
            ['log_read_failing', 'replica_gone'],
            [line.event for line in built.around],
        )
        self.assertIn('reset', built.causes[0])

    def test_replica_is_found_in_list_fields(self):
        built = timeline.build_timeline(self.log, 'r2')
        self.assertEqual(
            ['request_failed'], [line.event for line in built.lines]
        )

    def test_timeline_of_item_includes_its_reward_calls(self):
        """Reward calls are logged by an id of their own."""
        lines = [
            build_line(1000, 'item_done', item='i', reward='k'),
            build_line(1100, 'reward_call_failed', reward='k', reason='x'),
            build_line(1150, 'reward_call_failed', reward='m', reason='x'),
            build_line(1200, 'item_scored', item='i', reward='k'),
        ]
        (self.path / 'h3.log').write_bytes(b'\n'.join(lines))
        log = reading.read_log([str(self.path)])
        built = timeline.build_timeline(log, 'i')
        self.assertEqual(
            ['item_done', 'reward_call_failed', 'item_scored'],
            [line.event for line in built.lines],
        )
        self.assertIn('1 reward calls failed (x)', built.causes[0])

    def test_refusals_without_an_attempt_are_explained(self):
        """Such a request has no replica that could tell the cause."""
        for event, fields, expected in (
            ('request_quarantined', {'fingerprint': 'f7'}, 'fingerprint f7'),
            (
                'request_held',
                {'service': 's', 'fingerprint': 'f7'},
                'last half of the replicas of s',
            ),
            ('key_refused', {'fingerprint': 'missing'}, 'no key'),
            (
                'key_refused',
                {'fingerprint': 'f7', 'revision': 3},
                'no account of revision 3 had the key with fingerprint f7',
            ),
            ('key_unchecked', {'fingerprint': 'f7'}, 'could not read'),
            (
                'request_refused',
                {'code': 'configuration_unread', 'revision': 3, 'age_ms': 9},
                'revision 3 does not allow the request',
            ),
            (
                'stream_not_resumed',
                {'begun_by': 'q0', 'reason': 'several releases'},
                'the stream of attempt q0: several releases',
            ),
            (
                'stream_not_resumed',
                {'begun_by': 'q0', 'release': ['s', 'v1']},
                'no replica of the software version',
            ),
        ):
            with self.subTest(event, **fields):
                line = build_line(1000, event, request='q9', **fields)
                (self.path / 'h3.log').write_bytes(line)
                log = reading.read_log([str(self.path)])
                built = timeline.build_timeline(log, 'q9')
                self.assertIn(expected, built.causes[0])

    def test_late_window_of_the_usage_report_is_explained(self):
        """Its number is all that the platform names."""
        (self.path / 'h3.log').write_bytes(
            b'\n'.join(
                [
                    build_line(1000, 'usage_fixed', window=71, after_ms=6000),
                    build_line(
                        1000, 'usage_incomplete', window=71, hosts=['h2']
                    ),
                    build_line(2000, 'duty_call_failed', duty='usage:'),
                    build_line(9000, 'usage_sent', window=71, late=True),
                ]
            )
        )
        found = timeline.build_timeline(
            reading.read_log([str(self.path)]), '71'
        )
        self.assertEqual(3, len(found.lines))
        self.assertIn('h2', found.causes[0])
        self.assertIn('fixed 6000 ms', found.causes[1])
        self.assertIn('then 1 calls failed', found.causes[1])

    def test_unknown_id_has_no_lines(self):
        self.assertEqual([], timeline.build_timeline(self.log, 'no').lines)

    def test_formatted_timeline_has_causes_and_lines(self):
        text = timeline.format_timeline(
            timeline.build_timeline(self.log, 'q1')
        )
        self.assertIn('likely cause', text)
        self.assertIn('request_failed', text)


class BuildSummaryTest(LogFilesTestCase):
    """Failures are counted by event and cause."""

    def test_row_counts_lines_and_hosts(self):
        rows = summary.build_summary(self.log)
        self.assertEqual(
            ('log_read_failing', 2, 2),
            (rows[0].event, rows[0].count, rows[0].hosts),
        )

    def test_lines_outside_the_time_range_are_ignored(self):
        rows = summary.build_summary(self.log, 4600, 6000)
        self.assertEqual(['request_failed'], [row.event for row in rows])


class PlotTest(LogFilesTestCase):
    """A plot shows every counted line."""

    def test_every_line_is_counted_in_one_bin(self):
        rows = summary.build_summary(self.log)
        begin = min(row.first_ms for row in rows)
        end = max(row.last_ms for row in rows)
        starts, counts = plot.count_by_bin(self.log, rows, begin, end)
        self.assertEqual(plot.BIN_COUNT, len(starts))
        self.assertEqual(
            sum(row.count for row in rows), sum(map(sum, counts.values()))
        )

    def test_plot_is_written_as_png(self):
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / 'failures.png'
            plot.draw_plot(
                self.log, summary.build_summary(self.log), str(path)
            )
            self.assertTrue(path.read_bytes().startswith(b'\x89PNG'))


class CausesTest(unittest.TestCase):
    """Every registered rule is evaluated."""

    def test_order_lists_every_registered_cause(self):
        self.assertEqual(sorted(causes.ORDER), causes.CAUSES.names)
