"""Tests of the decision to move a run, without a network.

The guarded case: a fifth of the replicas are several times slower than the
rest, while more items wait than there are slots.
"""

import unittest

from auburnroad_gateway.batches import moves
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import registration
from auburnroad_standins import plain_adapter

NOW_SECONDS = 100.0
PACE_MS = 50.0
SLOTS = 2


class FindMoveReasonTest(unittest.TestCase):
    """Three replicas, and a run at the replica 'one'."""

    def setUp(self):
        self.directory = directory.Directory(plain_adapter.PlainAdapter())
        for name in ('one', 'two', 'three'):
            value = (
                '{"id":"%s","service":"s","address":"%s:1",'
                '"failure_domain":"a","slots":%d,"state":"ready",'
                '"versions":{"m":1}}'
            ) % (name, name, SLOTS)
            self.directory.apply(service.KeyedRecord(name, value.encode(), 0))
        self.replicas = {
            entry.id: entry for entry in self.directory.list_ready('s')
        }
        for entry in self.replicas.values():
            entry.note_pace(PACE_MS, NOW_SECONDS)
        item = batch.Item('i', '/p/', {}, b'', 10, 'g')
        self.run_of_item = runs.ItemRun(item, 0)
        self.run_of_item.replica = self.replicas['one']
        self.run_of_item.texts = ['x'] * 5
        self.run_of_item.started_at = NOW_SECONDS - 2 * moves.MIN_STAY_SECONDS

    def slow_down(self, factor):
        entry = self.replicas['one']
        entry._pace_ms = factor * PACE_MS

    def fill_others(self):
        for name in ('two', 'three'):
            self.replicas[name].in_flight = SLOTS

    def find(self, has_waiting_items=False, release=None):
        return moves.find_move_reason(
            self.run_of_item,
            placement.ItemRequirements('m', 1, release=release),
            self.directory,
            'a',
            has_waiting_items,
            placement.measure_paces(list(self.replicas.values()), NOW_SECONDS),
            NOW_SECONDS,
        )

    def test_run_at_the_usual_pace_stays(self):
        self.assertEqual('', self.find())

    def test_slow_run_moves_to_a_free_slot(self):
        self.slow_down(1.8)
        self.assertEqual('slow', self.find())

    def test_slow_run_stays_while_items_wait(self):
        self.slow_down(1.8)
        self.assertEqual('', self.find(has_waiting_items=True))

    def test_crawling_run_leaves_even_without_a_free_slot(self):
        self.slow_down(4)
        self.fill_others()
        self.assertEqual('crawling', self.find(has_waiting_items=True))

    def test_crawling_run_stays_without_a_replica_of_its_release(self):
        """Away from it, the run could only start anew."""
        self.slow_down(4)
        own = registration.Release('s', 'v1')
        self.assertEqual('', self.find(release=own))

    def test_run_does_not_move_to_another_release(self):
        own = registration.Release('s', 'v1')
        self.slow_down(1.8)
        self.assertEqual('', self.find(release=own))
        self.replicas['one'].vacating = True
        self.assertEqual('', self.find(release=own))

    def test_run_that_has_just_started_stays(self):
        self.slow_down(4)
        self.run_of_item.started_at = NOW_SECONDS
        self.assertEqual('', self.find())

    def test_run_leaves_a_vacating_replica_only_for_a_free_slot(self):
        self.replicas['one'].vacating = True
        self.assertEqual('vacating', self.find())
        self.fill_others()
        self.assertEqual('', self.find())
