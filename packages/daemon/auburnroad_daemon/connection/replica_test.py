"""Tests of what is known of one replica."""

import unittest

from auburnroad_core.settings import daemon
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.connection import target_health


class VersionsTest(unittest.TestCase):
    """Late reports don't undo newer ones, and a new engine starts anew."""

    def setUp(self):
        settings = daemon.Replica('r', 's', '127.0.0.1:1')
        self.replica = replica_module.Replica(settings, None, None)

    def report(self, version, at_ms, slots=8):
        load = engine.EngineLoad(0, 0, slots, {'m': version}, at_ms=at_ms)
        self.replica.note_load(load)

    def test_a_late_report_changes_nothing(self):
        self.report(1, 100)
        self.replica.note_version('m', 2, 200)
        self.report(1, 150)
        self.assertEqual(2, self.replica.get_version('m'))
        self.report(1, 250)
        self.assertEqual(1, self.replica.get_version('m'))

    def test_an_engine_started_anew_has_its_first_version(self):
        self.report(1, 100)
        self.replica.note_version('m', 9, 200)
        self.report(1, 0)
        self.assertEqual(1, self.replica.get_version('m'))

    def test_an_engine_with_fewer_slots_is_not_given_more(self):
        self.report(1, 100, slots=2)
        self.assertEqual(2, self.replica.count_slots(8))
        self.assertEqual(1, self.replica.count_slots(1))


class TargetHealthTest(unittest.TestCase):
    """A bad target is left alone for longer each time, then tried once."""

    def setUp(self):
        self.health = target_health.TargetHealth()
        self.health.record_probe(True, 0)

    def test_failures_back_off_until_a_success(self):
        self.health.record_failure(0)
        first_ms = self.health.probe_ms
        self.health.record_probe(True, first_ms)
        self.assertTrue(self.health.up)
        self.assertTrue(self.health.on_trial)
        self.health.record_failure(0)
        self.assertEqual(2 * first_ms, self.health.probe_ms)
        self.health.record_probe(True, first_ms)
        self.health.record_success()
        self.assertFalse(self.health.on_trial)
        self.health.record_failure(0)
        self.assertEqual(first_ms, self.health.probe_ms)

    def test_one_missed_probe_is_no_proof(self):
        self.health.record_probe(False, 10)
        self.assertTrue(self.health.up)
        self.assertEqual(10, self.health.probe_ms)
        self.health.record_probe(False, 10)
        self.assertFalse(self.health.up)

    def test_calls_without_answer_eject_only_in_a_row(self):
        for _ in range(target_health.MISSED_DEADLINES_TO_EJECT - 1):
            self.health.record_missed_deadline(0)
        self.health.record_success()
        self.health.record_missed_deadline(0)
        self.assertTrue(self.health.up)
        for _ in range(target_health.MISSED_DEADLINES_TO_EJECT - 1):
            self.health.record_missed_deadline(0)
        self.assertFalse(self.health.up)
