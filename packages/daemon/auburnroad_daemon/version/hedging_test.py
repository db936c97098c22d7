"""Tests of the hedging policies."""

import unittest

from auburnroad_core.settings import deployment
from auburnroad_daemon.version import hedging

TRAINER = deployment.Trainer('t', 's', 'm', hedge_after_ms=500)
USUAL_DURATIONS_MS = [100] * 9 + [120]


def build(age_ms=1000, attempts=1, missing=2, durations_ms=USUAL_DURATIONS_MS):
    return hedging.Straggler(age_ms, attempts, missing, 64, durations_ms)


class TailTest(unittest.TestCase):
    """The tail policy hedges once, near the end of a step."""

    def decide(self, **changes):
        return hedging.hedge_tail(build(**changes), TRAINER)

    def test_late_sample_near_step_end_is_hedged_once(self):
        self.assertTrue(self.decide())
        self.assertFalse(self.decide(attempts=2))

    def test_sample_in_middle_of_step_is_not_hedged(self):
        self.assertFalse(self.decide(missing=30))

    def test_sample_of_usual_age_is_not_hedged(self):
        self.assertFalse(self.decide(age_ms=130))

    def test_sample_without_recent_durations_is_not_hedged(self):
        self.assertFalse(self.decide(durations_ms=[100]))


class AgeTest(unittest.TestCase):
    """The age policy hedges above the configured age."""

    def test_sample_above_configured_age_is_hedged(self):
        self.assertTrue(hedging.hedge_by_age(build(age_ms=501), TRAINER))
        self.assertFalse(hedging.hedge_by_age(build(age_ms=499), TRAINER))
