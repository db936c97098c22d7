"""Tests of the recorded versions, slots and health of a replica."""

import unittest

from auburnroad_core.settings import daemon
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.connection import target_health


class VersionsTest(unittest.TestCase):
    """Reports are ordered by time, and a restart of the engine is detected.

    Load reports can arrive after a newer version was recorded. A restarted
    engine begins with its first version and an earlier report time.
    """

    def setUp(self):
        settings = daemon.Replica('r', 's', '127.0.0.1:1')
        self.replica = replica_module.Replica(settings, None, None)

    def report(self, version, at_ms, slots=8):
        load = engine.EngineLoad(0, 0, slots, {'m': version}, at_ms=at_ms)
        self.replica.record_load(load)

    def test_report_older_than_recorded_version_is_ignored(self):
        self.report(1, 100)
        self.replica.record_version('m', 2, 200)
        self.report(1, 150)
        self.assertEqual(2, self.replica.get_version('m'))
        self.report(1, 250)
        self.assertEqual(1, self.replica.get_version('m'))

    def test_report_of_restarted_engine_replaces_versions(self):
        self.report(1, 100)
        self.replica.record_version('m', 9, 200)
        self.report(1, 0)
        self.assertEqual(1, self.replica.get_version('m'))

    def test_slots_are_limited_by_slots_of_engine(self):
        self.report(1, 100, slots=2)
        self.assertEqual(2, self.replica.count_slots(8))
        self.assertEqual(1, self.replica.count_slots(1))


class TargetHealthTest(unittest.TestCase):
    """A failing target is ejected with exponential backoff, then half-open.

    A target that accepts connections but fails its requests would otherwise
    get requests for all its slots after each successful probe.
    """

    def setUp(self):
        self.health = target_health.TargetHealth()
        self.health.record_probe(True, 0)

    def test_backoff_doubles_until_request_succeeds(self):
        self.health.record_failure(0)
        first_ms = self.health.probe_ms
        self.health.record_probe(True, first_ms)
        self.assertTrue(self.health.up)
        self.assertTrue(self.health.half_open)
        self.health.record_failure(0)
        self.assertEqual(2 * first_ms, self.health.probe_ms)
        self.health.record_probe(True, first_ms)
        self.health.record_success()
        self.assertFalse(self.health.half_open)
        self.health.record_failure(0)
        self.assertEqual(first_ms, self.health.probe_ms)

    def test_only_second_failed_probe_in_a_row_ejects(self):
        self.health.record_probe(False, 10)
        self.assertTrue(self.health.up)
        self.assertEqual(10, self.health.probe_ms)
        self.health.record_probe(False, 10)
        self.assertFalse(self.health.up)

    def test_only_consecutive_missed_deadlines_eject(self):
        for _ in range(target_health.MISSED_DEADLINES_TO_EJECT - 1):
            self.health.record_missed_deadline(0)
        self.health.record_success()
        self.health.record_missed_deadline(0)
        self.assertTrue(self.health.up)
        for _ in range(target_health.MISSED_DEADLINES_TO_EJECT - 1):
            self.health.record_missed_deadline(0)
        self.assertFalse(self.health.up)
