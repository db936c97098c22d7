"""Tests of the pace of replicas on hosts that are shared with other programs.

The load: some hosts take 1.3 times as long for good, and each takes 2.5 times
as long for 0.6 seconds at a time, a sixth of the time.
"""

import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.directory import pace

USUAL_MS = 50.0
SLOW_MOMENT_RATIO = 2.5


def note_gaps(estimate, gap_ms, seconds, now):
    """Note gaps of one run for a time; return the end of that time."""
    end = now + seconds
    while now < end:
        now += gap_ms / 1000
        estimate.note_gap(gap_ms, now)
    return now


class PaceEstimateTest(unittest.TestCase):
    """One replica, seen by the gaps of a single run."""

    def setUp(self):
        self.estimate = pace.PaceEstimate()
        self.now = note_gaps(self.estimate, USUAL_MS, 3.0, 100.0)

    def test_slow_moment_shows_at_its_first_gap(self):
        self.now += 0.125
        self.estimate.note_gap(SLOW_MOMENT_RATIO * USUAL_MS, self.now)
        self.assertTrue(self.estimate.is_slow(self.now))
        self.assertFalse(self.estimate.is_normal(self.now))

    def test_slow_moment_does_not_change_the_lasting_pace(self):
        """Guards against moves that follow an average of a past moment."""
        self.now = note_gaps(
            self.estimate, SLOW_MOMENT_RATIO * USUAL_MS, 0.6, self.now
        )
        self.assertEqual(USUAL_MS, self.estimate.find_lasting_ms(self.now))

    def test_slow_moment_is_over_with_the_first_usual_gap(self):
        self.estimate.note_gap(SLOW_MOMENT_RATIO * USUAL_MS, self.now)
        self.now += USUAL_MS / 1000
        self.estimate.note_gap(USUAL_MS, self.now)
        self.assertFalse(self.estimate.is_slow(self.now))
        self.assertTrue(self.estimate.is_normal(self.now))

    def test_lasting_slowness_shows_within_the_window(self):
        slow_ms = 1.3 * USUAL_MS
        self.now = note_gaps(
            self.estimate, slow_ms, pace.WINDOW_SECONDS, self.now
        )
        self.assertEqual(slow_ms, self.estimate.find_lasting_ms(self.now))

    def test_nothing_is_known_of_the_present_without_recent_gaps(self):
        later = self.now + pace.PRESENT_SECONDS
        self.assertFalse(self.estimate.is_slow(later))
        self.assertFalse(self.estimate.is_normal(later))

    def test_lasting_pace_is_forgotten(self):
        later = self.now + pace.LASTING_TTL_SECONDS
        self.assertEqual(0.0, self.estimate.find_lasting_ms(later))

    def test_first_gaps_of_a_replica_are_not_its_lasting_pace(self):
        """Guards against a replica judged by a slow moment alone."""
        fresh = pace.PaceEstimate()
        now = note_gaps(fresh, SLOW_MOMENT_RATIO * USUAL_MS, 0.6, 200.0)
        self.assertEqual(0.0, fresh.find_lasting_ms(now))

    def test_pace_of_many_runs_is_found(self):
        """Guards against a full buffer whose gaps never span enough time."""
        for runs in (1, 8, 16, 64):
            estimate, now = pace.PaceEstimate(), 200.0
            for _ in range(100 * runs):
                now += USUAL_MS / 1000 / runs
                estimate.note_gap(USUAL_MS, now)
            self.assertEqual(USUAL_MS, estimate.find_lasting_ms(now), runs)
            slow_ms = 1.3 * USUAL_MS
            for _ in range(100 * runs):
                now += slow_ms / 1000 / runs
                estimate.note_gap(slow_ms, now)
            self.assertEqual(slow_ms, estimate.find_lasting_ms(now), runs)
            self.assertLessEqual(len(estimate._gaps), pace.MAX_GAPS)

    @hypothesis.settings(derandomize=True, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.2, 0.6), strategies.floats(1.5, 3.0)
            ),
            max_size=4,
        )
    )
    def test_lasting_pace_holds_through_any_slow_moments(self, moments):
        """Slow moments take less than half of the time, as on such hosts."""
        estimate, now = pace.PaceEstimate(), 100.0
        for slow_seconds, usual_seconds in moments:
            now = note_gaps(estimate, USUAL_MS, usual_seconds, now)
            now = note_gaps(
                estimate, SLOW_MOMENT_RATIO * USUAL_MS, slow_seconds, now
            )
        now = note_gaps(estimate, USUAL_MS, 1.5, now)
        self.assertEqual(USUAL_MS, estimate.find_lasting_ms(now))


class StatedSlownessTest(unittest.TestCase):
    """The slowness that a replica states in its answers."""

    def setUp(self):
        self.estimate = pace.PaceEstimate()

    def test_lowest_statement_lasts(self):
        for number, slowness in enumerate((3.25, 1.3, 1.3, 3.25)):
            self.estimate.note_slowness(slowness, 100.0 + number)
        self.assertEqual(1.3, self.estimate.find_lasting_slowness(104.0))
        self.assertTrue(self.estimate.is_slow(103.0))

    def test_lasting_slowness_is_unknown_within_one_moment(self):
        """Guards against models moved since a host is slow for a moment."""
        self.estimate.note_slowness(2.5, 100.0)
        self.estimate.note_slowness(2.5, 100.4)
        self.assertEqual(0.0, self.estimate.find_lasting_slowness(100.5))
