"""Tests of the start order under load, without a network.

Simulated: steps of several trainers arrive at once, with twice as many items
as slots; the same after an outage, with two steps per trainer. All lengths
are known, and each free slot is assigned the first item of the queue.
"""

import heapq
import random
import unittest

from auburnroad_gateway.batches import ordering

SEED = 20261204
PACE_MS = 50
DUE_MS = 7500
GROUP_SIZE = 8
# A tenth of the items have about 6.5 times as many events as the rest.
SHORT_EVENTS = 17
LONG_EVENTS = 110
LONG_SHARE = 0.1


class Item:
    """An item of the simulated load."""

    def __init__(self, batch, due_ms, group, index, length_ms):
        self.batch = batch
        self.due_ms = due_ms
        self.group = group
        self.index = index
        self.length_ms = length_ms


def build_step(source, batch, due_ms, groups):
    items = []
    for number in range(groups * GROUP_SIZE):
        is_long = source.random() < LONG_SHARE
        events = LONG_EVENTS if is_long else SHORT_EVENTS
        group = (batch, number // GROUP_SIZE)
        items.append(Item(batch, due_ms, group, number, events * PACE_MS))
    return items


def build_key(item, waiting):
    group = [other for other in waiting if other.group == item.group]
    entry = ordering.WaitingItem(
        item.due_ms,
        False,
        len(group),
        item.length_ms,
        item.index,
    )
    return ordering.build_sort_key(entry)


def build_former_key(item, waiting):
    """Build a key of the former order: by due time, then longest first."""
    return item.due_ms, item.batch, -item.length_ms, item.index


def simulate(items, slots, key):
    """Simulate a load; return the time at which each group ends."""
    waiting = list(items)
    running = []
    ends = {}
    now_ms = 0
    while waiting:
        waiting.sort(key=lambda item: key(item, items))
        while waiting and len(running) < slots:
            item = waiting.pop(0)
            end_ms = now_ms + item.length_ms
            heapq.heappush(running, end_ms)
            ends[item.group] = max(ends.get(item.group, 0), end_ms)
        now_ms = heapq.heappop(running)
        while running and running[0] == now_ms:
            heapq.heappop(running)
    return ends


def count_in_time(items, ends):
    due = {item.group: item.due_ms for item in items}
    return sum(end_ms <= due[group] for group, end_ms in ends.items())


class SeveralTrainersTest(unittest.TestCase):
    """Steps of four trainers are due within a few milliseconds."""

    def setUp(self):
        source = random.Random(SEED)
        self.items = [
            item
            for trainer in range(4)
            for item in build_step(source, trainer, DUE_MS + trainer, 12)
        ]

    def test_every_group_is_in_time(self):
        ends = simulate(self.items, len(self.items) // 2, build_key)
        self.assertEqual(len(ends), count_in_time(self.items, ends))

    def test_steps_of_all_trainers_end_at_about_the_same_time(self):
        """A step due slightly later does not wait for an earlier step."""
        slots = len(self.items) // 2
        last = {}
        for group, end_ms in simulate(self.items, slots, build_key).items():
            last[group[0]] = max(last.get(group[0], 0), end_ms)
        self.assertLess(max(last.values()) - min(last.values()), 1000)


class AfterOutageTest(unittest.TestCase):
    """Two steps of each of three trainers are in the queue after an outage.

    The older step of each trainer is due in 3.5 s, the newer one in 7.5 s;
    a long item takes 5.5 s.
    """

    def setUp(self):
        source = random.Random(SEED)
        self.items = [
            item
            for trainer in range(3)
            for step, left_ms in enumerate((3500, 7500))
            for item in build_step(source, (trainer, step), left_ms, 16)
        ]

    def test_more_groups_are_in_time_than_ordered_by_due_time(self):
        current, former = (
            count_in_time(self.items, simulate(self.items, 200, key))
            for key in (build_key, build_former_key)
        )
        self.assertGreater(current, former)

    def test_late_steps_end_as_early_as_possible(self):
        """A trainer submits its next step only after the late step ended."""
        ends = simulate(self.items, 200, build_key)
        last = max(
            end_ms for (batch, _), end_ms in ends.items() if batch[1] == 0
        )
        self.assertEqual(LONG_EVENTS * PACE_MS, last)


class RepeatedGroupTest(unittest.TestCase):
    """A repeated group, without which the trainer does not end its step."""

    def build(self, carried, expected_ms):
        entry = ordering.WaitingItem(DUE_MS, carried, 1, expected_ms, 0)
        return ordering.build_sort_key(entry)

    def test_repeated_group_precedes_new_group_with_equal_start(self):
        self.assertLess(self.build(True, 1000), self.build(False, 1000))

    def test_longer_item_precedes_a_repeated_group(self):
        self.assertLess(self.build(False, 5000), self.build(True, 1000))
