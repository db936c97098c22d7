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
    def setUp(self):
        self.subject = configuration.ConfigurationHolder()
        self.changes = []
        self.subject.on_change(lambda: self.changes.append('revision'))
        self.subject.on_orders(lambda: self.changes.append('orders'))

    def test_nothing_earlier_comes_into_force(self):
        self.subject.apply_log(build_state(7, 9, ['h1']))
        self.assertEqual(self.changes, ['orders', 'revision'])
        # A paused daemon reads on, or a peer that was cut off speaks.
        self.subject.apply_log(build_state(3, 5))
        self.subject.apply(messages.Configuration(6, DOCUMENT, [], 8))
        self.assertEqual(self.subject.revision, 7)
        self.assertEqual(self.subject.draining, {'h1'})
        self.assertEqual(len(self.changes), 2)

    def test_order_without_a_new_revision_is_followed(self):
        self.subject.apply_log(build_state(7, 7))
        self.subject.apply_log(build_state(7, 8, ['h1']))
        self.assertEqual(self.changes, ['revision', 'orders'])

    def test_daemon_that_starts_in_an_outage_learns_all_from_an_entry(self):
        self.subject.apply_log(build_state(7, 9, ['h1']))
        late = configuration.ConfigurationHolder()
        # A side told it the revision first, and knows of no orders.
        late.apply(messages.Configuration(7, DOCUMENT))
        self.assertTrue(self.subject.is_news_to(build_hello('entry', 7)))
        late.apply(self.subject.build_message())
        self.assertEqual((late.revision, late.draining), (7, {'h1'}))

    def test_peers_that_know_as_much_are_not_told(self):
        self.subject.apply_log(build_state(7, 9))
        self.assertFalse(self.subject.is_news_to(build_hello('side', 7)))
        self.assertFalse(self.subject.is_news_to(messages.Heartbeat(7, False)))
        self.assertTrue(self.subject.is_news_to(messages.Heartbeat(6, False)))
