"""Tests that a refusal is logged with the age of what it rests on."""

import unittest
from unittest import mock

from auburnroad_core import clock
from auburnroad_gateway.configuration import currency
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.configuration import refusal_log
from auburnroad_gateway.log import tail
from auburnroad_gateway.model import configuration
from auburnroad_gateway.process import gateway_test
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter

AGE_MS = 3_600_000


class RefusalLogTest(unittest.TestCase):
    """A gateway that refuses requests."""

    def setUp(self):
        self.holder = holder.ConfigurationHolder(plain_adapter.PlainAdapter())
        self.tail = tail.KeyedTail(
            partition_log.PartitionLog(), 't', self.holder.apply, 0.0
        )
        self.subject = refusal_log.RefusalLog(
            self.holder,
            currency.Currency(gateway_test.build_settings('one'), self.tail),
        )
        self.write = self.enterContext(
            mock.patch.object(refusal_log.events, 'write', autospec=True)
        )

    def list_fields(self, name):
        return [call.kwargs[name] for call in self.write.call_args_list]

    def test_line_tells_revision_and_age(self):
        self.subject.write_refused(503, 'not_configured')
        self.holder.current = configuration.Configuration(7, (), {})
        now = clock.read_boot_clock_seconds()
        self.tail.complete_at = now - AGE_MS / 1000
        self.subject.write_refused(404, 'no_route', request='q')
        self.assertEqual([-1, 7], self.list_fields('revision'))
        never, age_ms = self.list_fields('age_ms')
        self.assertEqual(-1, never)
        self.assertGreaterEqual(age_ms, AGE_MS)

    def test_kinds_that_are_frequent_leave_lines_to_others(self):
        self.subject.write_refused(503, 'no_slot')
        self.subject.write_refused(503, 'no_slot')
        self.subject.write_refused(404, 'no_route')
        self.assertEqual(['no_slot', 'no_route'], self.list_fields('code'))
