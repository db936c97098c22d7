"""Tests of the ejection time of a failing target."""

import unittest

from auburnroad_daemon.connection import target_health

FIRST_MS = target_health.FIRST_EJECTION_MS


class EjectionTest(unittest.TestCase):
    """Each ejection doubles the time, however many requests failed.

    If each of several requests that fail in one crash doubled the backoff, a
    busy target would stay ejected for the maximum time after its first crash.
    """

    def setUp(self):
        self.health = target_health.TargetHealth()
        self.health.record_probe(True, 0)

    def test_requests_failing_together_count_as_one_failure(self):
        for _ in range(8):
            self.health.record_failure(1000)
        self.assertFalse(self.health.up)
        self.assertEqual(self.health.probe_ms, 1000 + FIRST_MS)

    def test_second_ejection_lasts_twice_as_long(self):
        self.health.record_failure(1000)
        self.health.record_probe(True, 2000)
        self.health.record_failure(3000)
        self.assertEqual(self.health.probe_ms, 3000 + 2 * FIRST_MS)
