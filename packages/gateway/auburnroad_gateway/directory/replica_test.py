"""Tests what a gateway records of a replica."""

import unittest

from auburnroad_gateway.directory import placement_test
from auburnroad_gateway.directory import replica

# A float holds no power of two above 2 ** 1023.
MANY_FAILURES = 1100


class AvoidanceTest(unittest.TestCase):
    """A replica that fails is avoided for a time."""

    def test_time_doubles_up_to_the_maximum_however_often_it_fails(self):
        """The 1025th failure in a row raised an OverflowError."""
        subject = placement_test.build_replica('r')
        seconds = []
        for _ in range(MANY_FAILURES):
            subject.avoid_until = 0.0
            subject.note_failure(0.0)
            seconds.append(subject.avoid_until)
        base = replica.AVOID_BASE_SECONDS
        self.assertEqual([base, 2 * base, 4 * base], seconds[:3])
        self.assertEqual({replica.AVOID_MAX_SECONDS}, set(seconds[3:]))
