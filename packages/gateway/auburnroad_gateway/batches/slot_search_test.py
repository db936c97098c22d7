"""Tests of the search for slots while replicas run several releases.

Guards against texts of two releases, and against items that wait for a slot
of their release longer than their text is worth.
"""

import unittest

from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.batches import slot_search
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import registration
from auburnroad_standins import plain_adapter

NOW = 100.0
EVENTS = 10
TEXT_SECONDS = EVENTS * slot_search.DEFAULT_PACE_MS / 1000


class SlotSearchTest(unittest.TestCase):
    """One replica of release 'v1' and one of 'v2', with a slot each."""

    def setUp(self):
        self.directory = directory.Directory(plain_adapter.PlainAdapter())
        for software in ('v1', 'v2'):
            value = (
                '{"id":"%s","service":"s","address":"%s:1",'
                '"failure_domain":"a","slots":1,"state":"ready",'
                '"software_version":"%s"}'
            ) % (software, software, software)
            self.directory.apply(
                service.KeyedRecord(software, value.encode(), 0)
            )
        self.run_of_item = runs.ItemRun(
            batch.Item('i', '/p/', {}, b'', 10, 'g'), 0
        )
        self.run_of_item.texts = ['x'] * EVENTS
        self.run_of_item.last_event = EVENTS - 1
        self.run_of_item.release = registration.Release('s', 'v1')

    def fill(self, *names):
        for target in self.directory.list_all('s'):
            target.in_flight = int(target.id in names)

    def search(self, now=NOW):
        """Search for the item; return the id of a slot, and of a restart."""
        search = slot_search.SlotSearch(self.directory, 'a', now)
        need = placement.ItemRequirements(
            '', 1, release=self.run_of_item.release
        )
        found = (
            search.find('s', need),
            search.find_for_restart('s', need, self.run_of_item),
        )
        return [target and target.id for target in found]

    def test_text_goes_on_at_its_release_only(self):
        self.assertEqual('v1', self.search()[0])
        self.fill('v1')
        self.assertEqual([None, None], self.search())

    def test_text_is_given_up_after_the_time_that_it_took(self):
        self.fill('v1')
        self.search()
        just_before = NOW + 0.9 * TEXT_SECONDS
        self.assertEqual([None, None], self.search(just_before))
        self.assertEqual([None, 'v2'], self.search(NOW + TEXT_SECONDS))

    def test_text_is_given_up_at_once_if_its_release_is_gone(self):
        self.directory.apply(service.KeyedRecord('v1', b'', 0))
        self.assertEqual([None, 'v2'], self.search())

    def test_text_is_kept_while_no_other_slot_is_free(self):
        self.directory.apply(service.KeyedRecord('v1', b'', 0))
        self.fill('v2')
        self.assertEqual([None, None], self.search())

    def test_item_without_text_runs_at_any_release(self):
        self.run_of_item.reset_text()
        self.fill('v1')
        self.assertEqual(['v2', None], self.search())

    def test_items_of_other_releases_are_searched_for_after_a_failure(self):
        self.fill('v1')
        search = slot_search.SlotSearch(self.directory, 'a', NOW)
        found = [
            search.find('s', placement.ItemRequirements('', 1, release=wanted))
            for wanted in (
                registration.Release('s', 'v1'),
                registration.Release('s', 'v2'),
            )
        ]
        self.assertEqual(
            [None, 'v2'], [target and target.id for target in found]
        )
