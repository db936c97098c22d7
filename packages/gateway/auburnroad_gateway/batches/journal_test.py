"""Tests how often a gateway follows the batches."""

import unittest

from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records


class FindPaceTest(unittest.TestCase):
    """Pattern: hundreds of gateways, and a log service of fixed rates."""

    def test_a_small_deployment_follows_at_once(self):
        self.assertEqual(journal.PACE_SECONDS, journal.find_pace(5, 2000))

    def test_all_gateways_together_stay_below_their_share(self):
        for members in (9, 34, 100, 300):
            with self.subTest(members=members):
                pace_seconds = journal.find_pace(members, 6000)
                reads = members * records.PARTITIONS / pace_seconds
                self.assertLessEqual(reads, journal.FOLLOW_SHARE * 6000 + 1)
