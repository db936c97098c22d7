"""Tests of the pauses between reads of an engine's stream."""

import unittest

from auburnroad_daemon.request import pace


class PaceTest(unittest.TestCase):
    """Guards against pauses that delay the first or the last tokens."""

    def read(self, *times, max_tokens=100, streamed=True):
        pacer = pace.ReadPacer(max_tokens, streamed)
        return [
            pacer.compute_pause(tokens, now)
            for tokens, now in enumerate(times, 1)
        ]

    def test_fast_stream_pauses_after_its_first_token(self):
        self.assertEqual([0.0, 0.02, 0.02], self.read(0.0, 0.002, 0.004))

    def test_slow_stream_is_read_without_pause(self):
        self.assertEqual([0.0, 0.0, 0.0], self.read(0.0, 0.05, 0.1))

    def test_last_tokens_are_read_without_pause(self):
        self.assertEqual([0.0, 0.0], self.read(0.0, 0.002, max_tokens=11))

    def test_pause_of_unstreamed_answer_depends_on_its_age(self):
        pauses = self.read(0.0, 0.032, 3.2, 3.202, streamed=False)
        self.assertEqual([0.0, 0.0, 0.0, 0.1], pauses)
