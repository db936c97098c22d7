"""Tests of the bound that no policy can beat."""

import unittest

from auburnroad_e2e.bench import bounds
from auburnroad_e2e.bench import plan

LOAD = plan.Load(token_ms=10.0, batch_slowdown=0.25)


class BoundTest(unittest.TestCase):
    """The bound follows from slots, token time and slowdown alone."""

    def test_speed_is_that_of_a_full_batch(self):
        # Five slots: 10 ms * (1 + 0.25 * 4) = 20 ms a token step.
        self.assertEqual(bounds.compute_engine_speed(LOAD, 5), 0.25)
        self.assertEqual(bounds.compute_engine_speed(LOAD, 5, 2.0), 0.125)

    def test_training_hides_generation(self):
        self.assertEqual(bounds.compute_idle_ms(1000, 1.0, 400), 600)
        self.assertEqual(bounds.compute_idle_ms(100, 1.0, 400), 0)

    def test_calls_take_speed_away(self):
        self.assertEqual(bounds.compute_idle_ms(1000, 1.0, 0, 0.5), 2000)
