"""Tests of heartbeats that take effect late or without an answer."""

import unittest

import msgspec

from auburnroad_gateway.log import service
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test


class LateHeartbeatTest(unittest.TestCase):
    """One gateway that monitors a host."""

    def test_late_heartbeat_of_before_a_restart_does_not_end_a_member(self):
        """The restarted holder of a duty was replaced although it ran."""
        subject = membership.Membership(membership_test.build_settings(), None)
        for incarnation in ('o1', 'o2', 'o1'):
            heartbeat = membership.Heartbeat(incarnation, 'other:1', False)
            subject.apply(
                service.KeyedRecord(
                    'other', msgspec.msgpack.encode(heartbeat), 0
                )
            )
        self.assertTrue(subject.is_alive('o2'))
        self.assertFalse(subject.is_alive('o1'))
