"""Tests which replicas are eligible for work as registrations change.

Guards against work for removed replicas, and against dropping live replicas
whose registrations expired during an outage of the log service.
"""

import time
import unittest

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
        self.subject.note_outage_end(now)
        self.drop()
        self.subject.expire(now + directory.REREGISTRATION_SECONDS / 2)
        self.assertEqual(['r'], self.list_ready())
        self.subject.expire(now + directory.REREGISTRATION_SECONDS + 0.1)
        self.assertEqual([], self.list_ready())

    def test_replica_that_registers_again_after_outage_is_kept(self):
        self.put()
        now = time.monotonic()
        self.subject.note_outage_end(now)
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

    def test_undecodable_registration_removes_the_replica(self):
        self.put()
        self.subject.apply(service.KeyedRecord('r', b'{"id": 7}', 0))
        self.assertEqual([], self.list_ready())
