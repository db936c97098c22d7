"""Tests of the counts of one gateway.

Accounts have about one request in a window: guards against a request that is
counted twice, not at all, or in the wrong window.
"""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.usage import counting

WINDOW_MS = 5000
START_MS = 1_000_000


def build_counter():
    return counting.UsageCounter(WINDOW_MS, START_MS)


class UsageCounterTest(unittest.TestCase):
    """A counter whose first window is number 200."""

    def setUp(self):
        self.counter = build_counter()
        self.handle = counting.ClientAttempt()

    def send(self, seconds):
        return self.counter.note_sent(
            'a', self.handle, START_MS + int(seconds * 1000)
        )

    def close(self, seconds):
        self.counter.close_windows(START_MS + int(seconds * 1000))

    def find_counts(self):
        return [
            self.counter.find_counts(window).get('a', 0)
            for window in (200, 201)
        ]

    def test_hedge_and_retry_count_once_in_the_first_window(self):
        for seconds in (4.9, 5.1, 5.2):
            self.counter.note_ran(self.send(seconds))
        self.assertEqual([1, 0], self.find_counts())

    def test_attempt_that_was_not_run_counts_where_the_next_is_sent(self):
        self.counter.note_not_run(self.handle, self.send(4.9))
        self.assertEqual([0, 0], self.find_counts())
        self.send(5.1)
        self.assertEqual([0, 1], self.find_counts())

    def test_hedge_counts_if_the_first_attempt_was_not_run(self):
        first = self.send(4.9)
        self.send(5.1)
        self.counter.note_not_run(self.handle, first)
        self.assertEqual([0, 1], self.find_counts())

    def test_two_attempts_in_a_window_and_one_not_run_count_once(self):
        window = self.send(1.0)
        self.send(1.1)
        self.counter.note_not_run(self.handle, window)
        self.assertEqual([1, 0], self.find_counts())

    def test_undecided_attempt_keeps_its_window_open_for_two_seconds(self):
        self.send(1.0)
        self.close(6.9)
        self.assertFalse(self.counter.is_closed(200))
        self.close(7.0)
        self.assertTrue(self.counter.is_closed(200))

    def test_window_is_closed_at_its_end_if_all_is_decided(self):
        self.counter.note_ran(self.send(1.0))
        self.close(4.9)
        self.assertFalse(self.counter.is_closed(200))
        self.close(5.0)
        self.assertTrue(self.counter.is_closed(200))

    def test_closed_window_keeps_a_count_that_is_decided_later(self):
        """The report may have been fixed; a move would count twice."""
        window = self.send(1.0)
        self.close(7.0)
        self.counter.note_not_run(self.handle, window)
        self.send(7.1)
        self.assertEqual([1, 0], self.find_counts())

    def test_window_without_counts_is_to_be_recorded_as_closed(self):
        self.close(10.0)
        self.assertEqual({200, 201}, self.counter.changed)

    def test_long_step_forward_closes_only_the_windows_that_are_kept(self):
        """A host may start in 1970; each window took time and memory."""
        added = []

        class Windows(set):
            def add(self, window):
                added.append(window)
                super().add(window)

        self.counter.changed = Windows()
        self.close(5 * 1000)
        self.assertEqual(list(range(1193, 1200)), added)
        self.assertEqual(1200, self.counter.first_open)

    def test_attempt_of_a_dropped_window_takes_no_count_from_others(self):
        """The clock had been ahead; the count was dropped with its window."""
        window = self.send(100)
        self.close(100)
        self.close(0)
        self.counter.note_not_run(self.handle, window)
        self.assertEqual({}, self.counter.find_counts(window))
        self.close(105)
        self.assertTrue(self.counter.is_closed(window))

    def test_clock_that_had_been_ahead_opens_the_true_window_again(self):
        self.send(3600.0)
        self.close(3600.0)
        self.close(1.0)
        self.assertEqual(200, self.counter.first_open)
        self.assertEqual({}, self.counter.find_counts(920))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.integers(0, 9000),
                strategies.sampled_from(['ran', 'not run', 'undecided']),
            ),
            max_size=25,
        )
    )
    def test_each_client_attempt_counts_once_where_it_first_ran(self, steps):
        """Compares with a plain search, while no window is closed."""
        self.counter = build_counter()
        handles = [counting.ClientAttempt() for _ in range(4)]
        ran = collections.defaultdict(list)
        sent = []
        for number, at_ms, end in sorted(steps, key=lambda step: step[1]):
            window = self.counter.note_sent(
                f'account {number % 2}', handles[number], START_MS + at_ms
            )
            sent.append((number, window, end))
        for number, window, end in sent:
            if end == 'not run':
                self.counter.note_not_run(handles[number], window)
                continue
            ran[number].append(window)
            if end == 'ran':
                self.counter.note_ran(window)
        expected = collections.Counter(
            (min(windows), f'account {number % 2}')
            for number, windows in ran.items()
        )
        for window in (200, 201):
            self.assertEqual(
                {
                    account: count
                    for (found, account), count in expected.items()
                    if found == window
                },
                self.counter.find_counts(window),
            )


class WindowClockTest(unittest.TestCase):
    """A wall clock that shows 1,000,000 ms when the boot clock shows 10 s."""

    def setUp(self):
        self.clock = counting.WindowClock(START_MS, 10.0)

    def observe(self, first, last, error_ms):
        """Observe an error of the wall clock each second."""
        for second in range(first, last + 1):
            self.clock.observe(
                START_MS + (second - 10) * 1000 + error_ms, float(second)
            )

    def find_error_ms(self, second):
        true_ms = START_MS + (second - 10) * 1000
        return self.clock.find_time_ms(float(second)) - true_ms

    def test_step_of_the_wall_clock_is_ignored_for_a_minute(self):
        self.observe(11, 70, 7000)
        self.assertEqual(0, self.find_error_ms(70))

    def test_step_that_ended_is_forgotten(self):
        self.observe(11, 60, -7000)
        self.observe(61, 62, 0)
        self.observe(63, 100, -7000)
        self.assertEqual(0, self.find_error_ms(100))

    def test_step_that_lasts_is_followed(self):
        self.observe(11, 71, 7000)
        self.assertEqual(7000, self.find_error_ms(71))

    def test_drift_is_followed_slowly(self):
        self.observe(11, 20, 900)
        self.assertEqual(5, self.find_error_ms(20))
