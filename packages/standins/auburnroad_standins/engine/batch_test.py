"""Tests of the durations of token steps and prefills."""

import unittest

from auburnroad_standins.engine import batch
from auburnroad_standins.engine import options
from auburnroad_standins.engine import runs
from auburnroad_standins.engine import service


class StepTest(unittest.TestCase):
    def test_step_duration_grows_with_the_batch(self):
        engine_options = options.EngineOptions(token_ms=4, batch_slowdown=0.5)
        steps = [batch.compute_step_ms(engine_options, n) for n in (1, 2, 5)]
        self.assertEqual(steps, [4, 6, 12])


class PrefillTest(unittest.TestCase):
    def setUp(self):
        engine_options = options.EngineOptions(
            versions={'m': 0}, prefill_token_ms=1.0
        )
        self.engine = service.Engine(engine_options)

    def compute(self, prompt: str, resume_at: int = 0) -> float:
        request = runs.Completion('m', prompt, resume_at=resume_at)
        run = runs.Run(0, request, on_close=print)
        return self.engine.compute_prefill_ms(run)

    def test_cached_prefix_needs_no_prefill(self):
        self.assertEqual(self.compute('x' * 130), 33)
        self.assertEqual(self.compute('x' * 130), 1)
        self.assertEqual(self.compute('x' * 64 + 'y' * 64), 16)

    def test_resume_without_kv_cache_prefills_earlier_tokens(self):
        self.assertEqual(self.compute('x' * 64, resume_at=50), 16 + 50)
