"""Tests of moves to faster replicas, without a network.

The load: a pool on shared hosts with a text of 140 events that a step waits
for, beside many short ones. Moves that follow each slow moment read a third
of all prompts again and make no step faster.
"""

import unittest

from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.batches import speed_gain
from auburnroad_gateway.directory import pace
from auburnroad_gateway.directory import placement
from auburnroad_gateway.directory import placement_test
from auburnroad_gateway.model import batch

NOW = 100.0
USUAL_MS = 50.0
TOKENS_PER_EVENT = 70
PROMPT_TOKENS = 1000
NEED = placement.ItemRequirements(
    'm', 1, tokens=5000, tokens_per_event=TOKENS_PER_EVENT
)


def build_measured(name, lasting_ms, gap_ms=None):
    """Build a replica with a known pace and a newest gap."""
    target = placement_test.build_replica(name)
    target.pace = pace.PaceEstimate()
    target.pace.note_slowness(1.0, NOW - 3.0)
    for number in range(40):
        target.pace.note_gap(lasting_ms, NOW - 2.0 + number / 20)
    target.pace.note_gap(gap_ms or lasting_ms, NOW)
    return target


class FindReasonTest(unittest.TestCase):
    """A run at the first of two replicas."""

    def find(self, current, other, events, hint=0, max_events=140):
        run = runs.ItemRun(
            batch.Item(
                'i',
                '/p/',
                {},
                b'',
                PROMPT_TOKENS + max_events * TOKENS_PER_EVENT,
                'g',
                hint * TOKENS_PER_EVENT,
                PROMPT_TOKENS,
            ),
            0,
        )
        run.replica = current
        run.last_event = events - 1
        ready = [current, other]
        return speed_gain.find_reason(
            run, NEED, ready, 'a', placement.measure_paces(ready, NOW), NOW
        )

    def test_long_text_leaves_a_lastingly_slower_replica(self):
        slow, usual = build_measured('a', 65.0), build_measured('b', 50.0)
        self.assertEqual('slow', self.find(slow, usual, 50))

    def test_nearly_complete_text_stays_on_a_slower_replica(self):
        slow, usual = build_measured('a', 65.0), build_measured('b', 50.0)
        self.assertEqual('', self.find(slow, usual, 137))

    def test_short_text_stays_on_a_slower_replica(self):
        slow, usual = build_measured('a', 65.0), build_measured('b', 50.0)
        self.assertEqual('', self.find(slow, usual, 4, hint=10))

    def test_long_text_leaves_a_slow_moment(self):
        slow, usual = build_measured('a', 50.0, 125.0), build_measured('b', 50)
        self.assertEqual('slow moment', self.find(slow, usual, 50))

    def test_short_text_waits_out_a_slow_moment(self):
        """Guards against a move of each run in each slow moment."""
        slow, usual = build_measured('a', 50.0, 125.0), build_measured('b', 50)
        self.assertEqual('', self.find(slow, usual, 10, hint=20))

    def test_text_does_not_move_to_another_slow_moment(self):
        slow = build_measured('a', 50.0, 125.0)
        other = build_measured('b', 50.0, 125.0)
        self.assertEqual('', self.find(slow, other, 50))

    def test_usual_pace_is_no_reason(self):
        one, two = build_measured('a', 50.0), build_measured('b', 50.0)
        self.assertEqual('', self.find(one, two, 50))


class EstimateGainTest(unittest.TestCase):
    """Gain and cost of a move."""

    def test_gain_grows_with_the_rest_of_the_text(self):
        gains = [
            speed_gain.estimate_gain(events, 65.0, 50.0, False, 5000)
            for events in (1, 10, 100)
        ]
        self.assertEqual([False, False, True], [gain.pays for gain in gains])

    def test_large_prompt_makes_a_move_cost_more(self):
        small = speed_gain.estimate_gain(40, 65.0, 50.0, False, 1000)
        large = speed_gain.estimate_gain(40, 65.0, 50.0, False, 100_000)
        self.assertTrue(small.pays)
        self.assertFalse(large.pays)
