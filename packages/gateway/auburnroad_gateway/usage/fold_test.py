"""Tests of the sum over all hosts.

Guards against counts that are lost or doubled when records are lost, late,
repeated or out of order, and against waiting for a host that has nothing to
say.
"""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.usage import fold

WINDOW = 7
ACCOUNTS = ('a', 'b')
COUNTS = strategies.dictionaries(
    strategies.sampled_from(ACCOUNTS), strategies.integers(1, 9)
)
# By host, the counts of each of its incarnations as they grow.
HISTORIES = strategies.dictionaries(
    strategies.sampled_from(['h', 'i', 'j']),
    strategies.lists(
        strategies.lists(COUNTS, min_size=1, max_size=4),
        min_size=1,
        max_size=3,
    ),
    max_size=3,
)


def build_records(incarnations):
    """Build the records that a host with restarts appends, in order."""
    earlier = {}
    records = []
    for number, history in enumerate(incarnations):
        name = f'{number}'
        for revision, counts in enumerate(history, 1):
            entry = fold.Entry(revision, False, counts)
            records.append(fold.UsageRecord(WINDOW, {**earlier, name: entry}))
        earlier[name] = fold.Entry(len(history), True, history[-1])
    records.append(fold.UsageRecord(WINDOW, dict(earlier)))
    return records


class UsageFoldTest(unittest.TestCase):
    """A fold of one window."""

    def setUp(self):
        self.fold = fold.UsageFold()

    def apply(self, host, final=True, window=WINDOW, **counts):
        entry = fold.Entry(1, final, counts)
        self.fold.apply(host, fold.UsageRecord(window, {f'{host}1': entry}))

    @hypothesis.given(HISTORIES, strategies.randoms())
    def test_sum_is_that_of_the_newest_entries_in_any_order(
        self, histories, random
    ):
        folded = fold.UsageFold()
        appended = []
        for host, incarnations in histories.items():
            *earlier, last = build_records(incarnations)
            kept = [record for record in earlier if random.random() < 0.6]
            appended += [(host, record) for record in (*kept, *kept, last)]
        random.shuffle(appended)
        for host, record in appended:
            folded.apply(host, record)
        total = collections.Counter()
        for incarnations in histories.values():
            for history in incarnations:
                total.update(history[-1])
        self.assertEqual(dict(total), folded.sum_counts(WINDOW))
        self.assertEqual([], folded.list_unfinished(WINDOW, {}))

    def test_account_without_requests_is_left_out(self):
        self.apply('h', a=0, b=2)
        self.assertEqual({'b': 2}, self.fold.sum_counts(WINDOW))

    def test_live_gateway_without_a_final_entry_is_unfinished(self):
        self.apply('h')
        live = {'h': 'h1', 'i': 'i1'}
        self.assertEqual(['i'], self.fold.list_unfinished(WINDOW, live))
        self.apply('i', final=False)
        self.assertEqual(['i'], self.fold.list_unfinished(WINDOW, live))

    def test_restarted_gateway_without_an_entry_of_its_own_is_unfinished(self):
        self.apply('h')
        self.assertEqual(['h'], self.fold.list_unfinished(WINDOW, {'h': 'h2'}))

    def test_dead_host_is_unfinished_only_if_it_has_a_record(self):
        self.apply('h', final=False)
        self.assertEqual(['h'], self.fold.list_unfinished(WINDOW, {}))
        self.assertEqual([], self.fold.list_unfinished(WINDOW + 1, {}))

    def test_dropped_windows_are_forgotten(self):
        self.apply('h', window=3, a=1)
        self.apply('h', window=4, a=1)
        self.assertEqual(3, self.fold.find_earliest())
        self.fold.drop_before(4)
        self.assertEqual(4, self.fold.find_earliest())
        self.assertEqual({}, self.fold.sum_counts(3))
