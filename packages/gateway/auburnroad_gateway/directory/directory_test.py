"""Tests which replicas are eligible for work as registrations change.

Guards against work for removed replicas, against work for replicas whose
answers state that they are leaving while an older registration arrives, and
against dropping live replicas whose registrations expired during an outage of
the log service.
"""

import time
import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.directory import directory
from auburnroad_gateway.log import service
from auburnroad_standins import plain_adapter


class DirectoryTest(unittest.TestCase):
    """Applies registration records to one directory."""

    def setUp(self):
        self.subject = directory.Directory(plain_adapter.PlainAdapter())

    def put(self, name='r', state='ready', started_ms=1, address='a:1'):
        value = (
            '{"id":"%s","service":"s","address":"%s","failure_domain":"a",'
            '"slots":1,"state":"%s","started_ms":%d}'
        ) % (name, address, state, started_ms)
        self.subject.apply(service.KeyedRecord(name, value.encode(), 0))

    def drop(self, name='r'):
        self.subject.apply(service.KeyedRecord(name, b'', 0))

    def list_ready(self):
        return [target.id for target in self.subject.list_ready('s')]

    def test_draining_replica_is_listed_but_not_ready(self):
        self.put()
        target = self.subject.list_ready('s')[0]
        self.put(state='draining')
        self.assertEqual([], self.list_ready())
        self.assertFalse(self.subject.is_ready(target))
        self.assertEqual(1, len(self.subject.list_all('s')))

    def test_deregistered_replica_is_removed_immediately(self):
        self.put()
        self.drop()
        self.assertEqual([], self.list_ready())

    def test_registration_expired_in_outage_is_kept_for_reregistration(self):
        self.put()
        now = time.monotonic()
        self.subject.note_outage(now)
        self.drop()
        self.subject.expire(now + directory.REREGISTRATION_SECONDS / 2)
        self.assertEqual(['r'], self.list_ready())
        self.subject.expire(now + directory.REREGISTRATION_SECONDS + 0.1)
        self.assertEqual([], self.list_ready())

    def test_replica_that_registers_again_after_outage_is_kept(self):
        self.put()
        now = time.monotonic()
        self.subject.note_outage(now)
        self.drop()
        self.put()
        self.subject.expire(now + directory.REREGISTRATION_SECONDS + 0.1)
        self.assertEqual(['r'], self.list_ready())

    def test_restart_under_same_id_makes_a_new_replica(self):
        self.put()
        before = self.subject.list_ready('s')[0]
        before.note_failure(0.0)
        self.put(started_ms=2)
        after = self.subject.list_ready('s')[0]
        self.assertIsNot(before, after)
        self.assertEqual(0, after.failures)

    def test_leaving_replica_is_listed_but_not_ready(self):
        self.put()
        target = self.subject.list_ready('s')[0]
        target.note_leaving()
        self.put()
        self.assertEqual([], self.list_ready())
        self.assertFalse(self.subject.is_ready(target))
        self.assertEqual(1, len(self.subject.list_all('s')))

    def test_leaving_replica_that_registers_again_is_not_ready(self):
        """An expired registration returns with the next heartbeat."""
        self.put()
        self.subject.list_ready('s')[0].note_leaving()
        self.drop()
        self.put()
        self.assertEqual([], self.list_ready())

    def test_answer_after_a_registration_expired_is_believed_later(self):
        """A request may be answered while its replica isn't registered."""
        self.put()
        target = self.subject.list_ready('s')[0]
        self.drop()
        target.note_leaving()
        self.put()
        self.assertEqual([], self.list_ready())

    def test_restart_of_a_leaving_replica_is_ready(self):
        self.put()
        self.subject.list_ready('s')[0].note_leaving()
        self.put(started_ms=2)
        self.assertEqual(['r'], self.list_ready())

    def test_registration_of_an_earlier_start_is_ignored(self):
        self.put(started_ms=2)
        current = self.subject.list_ready('s')[0]
        self.put(started_ms=1, state='draining')
        self.assertEqual([current], self.subject.list_ready('s'))

    def test_undecodable_registration_removes_the_replica(self):
        self.put()
        self.subject.apply(service.KeyedRecord('r', b'{"id": 7}', 0))
        self.assertEqual([], self.list_ready())


class LeavingTest(unittest.TestCase):
    """Registrations of two starts and answers of one, in any order."""

    @hypothesis.settings(derandomize=True, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                ('ready', 'draining', 'drop', 'leave', 'expire')
            ),
            max_size=12,
        )
    )
    def test_leaving_start_is_never_ready_again(self, steps):
        subject = DirectoryTest()
        subject.setUp()
        subject.put()
        subject.subject.list_all('s')[0].note_leaving()
        now = time.monotonic()
        for step in steps:
            if step == 'drop':
                subject.drop()
            elif step == 'expire':
                subject.subject.note_outage(now)
                now += directory.REREGISTRATION_SECONDS + 1
                subject.subject.expire(now)
            elif step == 'leave':
                for target in subject.subject.list_all('s'):
                    target.note_leaving()
            else:
                subject.put(state=step)
            self.assertEqual([], subject.list_ready())
        subject.put(started_ms=2)
        self.assertEqual(['r'], subject.list_ready())
