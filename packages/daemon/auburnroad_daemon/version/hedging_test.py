"""Tests of the hedging policies."""

import unittest

from auburnroad_core.settings import deployment
from auburnroad_daemon.version import hedging

TRAINER = deployment.Trainer('t', 's', 'm', hedge_after_ms=500)
USUAL = [100] * 9 + [120]


def build(age_ms=1000, attempts=1, missing=2, durations_ms=USUAL):
    return hedging.Straggler(age_ms, attempts, missing, 64, durations_ms)


class TailTest(unittest.TestCase):
    """A second attempt near the end of a step, and only one."""

    def decide(self, **changes):
        return hedging.hedge_tail(build(**changes), TRAINER)

    def test_a_late_sample_near_the_end_is_hedged_once(self):
        self.assertTrue(self.decide())
        self.assertFalse(self.decide(attempts=2))

    def test_nothing_is_hedged_in_the_middle_of_a_step(self):
        self.assertFalse(self.decide(missing=30))

    def test_a_sample_of_usual_age_is_not_hedged(self):
        self.assertFalse(self.decide(age_ms=130))

    def test_without_knowledge_nothing_is_hedged(self):
        self.assertFalse(self.decide(durations_ms=[100]))


class AgeTest(unittest.TestCase):
    """A second attempt at a configured age."""

    def test_hedges_from_that_age_on(self):
        self.assertTrue(hedging.hedge_by_age(build(age_ms=501), TRAINER))
        self.assertFalse(hedging.hedge_by_age(build(age_ms=499), TRAINER))
