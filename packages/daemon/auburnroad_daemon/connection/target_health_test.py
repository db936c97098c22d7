"""Tests of when a target is ejected and for how long."""

import unittest

from auburnroad_daemon.connection import target_health

FIRST_MS = target_health.FIRST_EJECTION_MS


class EjectionTest(unittest.TestCase):
    """Each incident doubles the time, however much ran on the target."""

    def setUp(self):
        self.health = target_health.TargetHealth()
        self.health.record_probe(True, 0)

    def test_requests_that_end_together_are_one_failure(self):
        for _ in range(8):
            self.health.record_failure(1000)
        self.assertFalse(self.health.up)
        self.assertEqual(self.health.probe_ms, 1000 + FIRST_MS)

    def test_the_next_incident_counts_double(self):
        self.health.record_failure(1000)
        self.health.record_probe(True, 2000)
        self.health.record_failure(3000)
        self.assertEqual(self.health.probe_ms, 3000 + 2 * FIRST_MS)
