"""Tests which replicas may get work, as registrations come and go."""

import time
import unittest

from auburnroad_gateway.directory import directory
from auburnroad_gateway.log import service
from auburnroad_standins import plain_adapter


class DirectoryTest(unittest.TestCase):
    """One directory that is fed registrations."""

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
        return [entry.id for entry in self.subject.list_ready('s')]

    def test_a_draining_replica_gets_no_new_work(self):
        self.put()
        entry = self.subject.list_ready('s')[0]
        self.put(state='draining')
        self.assertEqual([], self.list_ready())
        self.assertFalse(self.subject.is_ready(entry))
        self.assertEqual(1, len(self.subject.list_all('s')))

    def test_a_removed_replica_is_gone_at_once(self):
        self.put()
        self.drop()
        self.assertEqual([], self.list_ready())

    def test_an_entry_that_lapsed_in_an_outage_is_kept_until_its_return(self):
        self.put()
        now = time.monotonic()
        self.subject.note_outage_end(now)
        self.drop()
        self.subject.expire(now + directory.RETURN_SECONDS / 2)
        self.assertEqual(['r'], self.list_ready())
        self.subject.expire(now + directory.RETURN_SECONDS + 0.1)
        self.assertEqual([], self.list_ready())

    def test_one_that_is_back_in_time_stays(self):
        self.put()
        now = time.monotonic()
        self.subject.note_outage_end(now)
        self.drop()
        self.put()
        self.subject.expire(now + directory.RETURN_SECONDS + 0.1)
        self.assertEqual(['r'], self.list_ready())

    def test_a_restart_under_the_same_id_is_another_replica(self):
        self.put()
        before = self.subject.list_ready('s')[0]
        before.note_failure(0.0)
        self.put(started_ms=2)
        after = self.subject.list_ready('s')[0]
        self.assertIsNot(before, after)
        self.assertEqual(0, after.failures)

    def test_what_another_writer_left_names_no_replica(self):
        self.put()
        self.subject.apply(service.KeyedRecord('r', b'{"id": 7}', 0))
        self.assertEqual([], self.list_ready())
