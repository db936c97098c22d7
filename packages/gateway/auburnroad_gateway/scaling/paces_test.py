"""Tests the paces that gateways share for orders of replicas.

Guards against orders from assumed paces although one was measured, and
against a record in the log for each small change.
"""

import unittest

from auburnroad_core import clock
from auburnroad_gateway.members import facts
from auburnroad_gateway.scaling import paces


class PassingFacts(facts.SharedFacts):
    """Facts that reach all gateways of a group at once.

    Attributes:
      group: Facts of all gateways.
      passed: Facts that were shared.
    """

    def __init__(self, name, group, passed):
        super().__init__(name, None)
        self.group = group
        self.passed = passed
        group.append(self)

    def share(self, fact):
        self.passed.append(fact)
        for member in self.group:
            member._notify(fact)


class SharedPacesTest(unittest.TestCase):
    """Gateway 'a' measures, gateway 'b' reads; facts pass at once."""

    def setUp(self):
        self.now_ms = clock.time_now_ms()
        self.shared = []
        group = []
        self.facts = PassingFacts('a', group, self.shared)
        self.subject = paces.SharedPaces(self.facts)
        self.reader = paces.SharedPaces(PassingFacts('b', group, self.shared))

    def test_measured_pace_reaches_the_other_gateway(self):
        self.assertEqual(0.0, self.reader.find('s', self.now_ms))
        self.subject.note('s', 52.34, self.now_ms)
        self.assertEqual(52.3, self.reader.find('s', self.now_ms))
        self.assertEqual(0.0, self.reader.find('t', self.now_ms))

    def test_missing_pace_does_not_replace_a_measured_one(self):
        self.subject.note('s', 52.0, self.now_ms)
        self.subject.note('s', 0.0, self.now_ms + 60_000)
        self.assertEqual(52.0, self.reader.find('s', self.now_ms + 1))

    def test_small_changes_are_shared_seldom(self):
        for second in range(15):
            self.subject.note('s', 50.0 + second % 2, self.now_ms)
            self.now_ms += 1000
        self.assertEqual(1, len(self.shared))
        self.subject.note('s', 51.0, self.now_ms)
        self.assertEqual(2, len(self.shared))

    def test_large_change_is_shared_after_the_minimum_interval(self):
        self.subject.note('s', 50.0, self.now_ms)
        self.subject.note('s', 90.0, self.now_ms + 1000)
        self.assertEqual(1, len(self.shared))
        self.subject.note('s', 90.0, self.now_ms + paces.MIN_INTERVAL_MS)
        self.assertEqual(90.0, self.reader.find('s', self.now_ms))

    def test_old_pace_is_forgotten(self):
        self.subject.note('s', 50.0, self.now_ms)
        later_ms = self.now_ms + paces.LIFE_MS
        self.assertEqual(0.0, self.reader.find('s', later_ms))

    def test_invalid_value_is_ignored(self):
        until_ms = self.now_ms + 1000
        fact = facts.Fact(facts.FactKind.PACE, 's', 'fast', until_ms)
        self.facts.share(fact)
        self.assertEqual(0.0, self.reader.find('s', self.now_ms))
