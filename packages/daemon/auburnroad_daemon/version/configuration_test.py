"""Tests of the configuration and the host orders at an entry.

A paused daemon or a partitioned peer may deliver an earlier state, which must
not replace a newer state.
"""

import unittest

import msgspec

from auburnroad_core.log import configuration_fold
from auburnroad_core.wire import messages
from auburnroad_daemon.version import configuration

DOCUMENT = (
    b'{"name":"d","failure_domains":["a"],'
    b'"services":[{"name":"s","kind":"plain"}]}'
)


def build_state(revision, applied, draining=()):
    return configuration_fold.State(
        revision=revision,
        deployment=msgspec.Raw(DOCUMENT),
        draining=dict.fromkeys(draining, 0),
        applied=applied,
    )


def build_hello(role, revision):
    return messages.Hello('d', 'i', role, 'h', 'a', revision, [])


class HolderTest(unittest.TestCase):
    """Revisions and order offsets increase independently, never decrease."""

    def setUp(self):
        self.subject = configuration.ConfigurationHolder()
        self.changes = []
        self.subject.on_change(lambda: self.changes.append('revision'))
        self.subject.on_orders(lambda: self.changes.append('orders'))

    def test_earlier_state_is_ignored(self):
        self.subject.apply_log(build_state(7, 9, ['h1']))
        self.assertEqual(self.changes, ['orders', 'revision'])
        # A paused daemon resumes reading, or a partitioned peer reconnects.
        self.subject.apply_log(build_state(3, 5))
        self.subject.apply(messages.Configuration(6, DOCUMENT, [], 8))
        self.assertEqual(self.subject.revision, 7)
        self.assertEqual(self.subject.draining, {'h1'})
        self.assertEqual(len(self.changes), 2)

    def test_order_without_new_revision_is_applied(self):
        self.subject.apply_log(build_state(7, 7))
        self.subject.apply_log(build_state(7, 8, ['h1']))
        self.assertEqual(self.changes, ['revision', 'orders'])

    def test_entry_message_applies_revision_and_orders_in_log_outage(self):
        self.subject.apply_log(build_state(7, 9, ['h1']))
        new_holder = configuration.ConfigurationHolder()
        # A side has sent the revision before, without any orders.
        new_holder.apply(messages.Configuration(7, DOCUMENT))
        self.assertTrue(
            self.subject.needs_configuration(build_hello('entry', 7))
        )
        new_holder.apply(self.subject.build_message())
        self.assertEqual(
            (new_holder.revision, new_holder.draining), (7, {'h1'})
        )

    def test_configuration_is_sent_only_to_peers_with_lower_revision(self):
        self.subject.apply_log(build_state(7, 9))
        self.assertFalse(
            self.subject.needs_configuration(build_hello('side', 7))
        )
        self.assertFalse(
            self.subject.needs_configuration(messages.Heartbeat(7, False))
        )
        self.assertTrue(
            self.subject.needs_configuration(messages.Heartbeat(6, False))
        )
