"""Tests of the pace at which engines are read."""

import unittest

from auburnroad_daemon.request import pace


class PaceTest(unittest.TestCase):
    """Only the middle of a fast stream is read with pauses."""

    def read(self, *times, max_tokens=100, streamed=True):
        stream = pace.Pace(max_tokens, streamed)
        return [
            stream.compute_pause(tokens, now)
            for tokens, now in enumerate(times, 1)
        ]

    def test_a_fast_stream_pauses_but_not_for_its_first_token(self):
        self.assertEqual([0.0, 0.02, 0.02], self.read(0.0, 0.002, 0.004))

    def test_a_slow_stream_is_read_at_once(self):
        self.assertEqual([0.0, 0.0, 0.0], self.read(0.0, 0.05, 0.1))

    def test_the_last_tokens_are_read_at_once(self):
        self.assertEqual([0.0, 0.0], self.read(0.0, 0.002, max_tokens=11))

    def test_an_answer_that_nobody_watches_pauses_by_its_age(self):
        pauses = self.read(0.0, 0.032, 3.2, 3.202, streamed=False)
        self.assertEqual([0.0, 0.0, 0.0, 0.1], pauses)
