"""Tests that permits keep a replica's rate limit for all gateways together.

The limit is kept in any four seconds, with bursts, changes of the limit and
changes of the gateway that grants permits.
"""

import unittest

from auburnroad_gateway.directory import rate_limit

# The users' bound: what the limit allows in this time, one and a half times,
# and five requests.
WINDOW_SECONDS = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
STEP_SECONDS = 0.05


def want(replica_id='r', per_second=1.0):
    return rate_limit.Want(replica_id, per_second)


def count_most(times):
    """Count the most entries in any window."""
    return max(
        sum(start <= time < start + WINDOW_SECONDS for time in times)
        for start in times
    )


def find_allowed(per_second):
    return ALLOWED_RATIO * per_second * WINDOW_SECONDS + ALLOWED_EXTRA


class RateLimiterTest(unittest.TestCase):
    """One gateway that grants permits to many."""

    def setUp(self):
        self.subject = rate_limit.RateLimiter()

    def ask(self, now, *wants):
        return self.subject.grant_one(list(wants or [want()]), now)

    def press(self, seconds, find_limit, start=0.0, asks=20):
        """Ask in each step; return the times of the granted permits."""
        granted = []
        for step in range(int(seconds / STEP_SECONDS)):
            now = start + step * STEP_SECONDS
            for _ in range(asks):
                if self.ask(now, want('r', find_limit(now))).replica_ids:
                    granted.append(now)
        return granted

    def test_permits_come_at_the_rate_of_the_limit(self):
        for per_second in (0.5, 1.0, 3.9, 40.0):
            with self.subTest(per_second=per_second):
                self.subject = rate_limit.RateLimiter()
                granted = self.press(20.0, lambda now: per_second)
                self.assertLessEqual(
                    count_most(granted), find_allowed(per_second)
                )
                self.assertGreater(len(granted), 0.8 * 18.0 * per_second)

    def test_permits_saved_up_while_nobody_asks_are_few(self):
        self.ask(0.0, want('r', 2.0))
        granted = self.press(8.0, lambda now: 2.0, start=50.0)
        self.assertLessEqual(count_most(granted), find_allowed(2.0))

    def test_lower_limit_counts_at_once_and_older_higher_one_does_not(self):
        """Gateways that had no answer for a while name the earlier limit."""
        self.press(6.0, lambda now: 8.0)
        named = iter((1.0, 8.0) * 10_000)
        granted = self.press(6.0, lambda now: next(named), start=6.0)
        self.assertLessEqual(count_most(granted), find_allowed(1.0))

    def test_next_granting_gateway_waits_until_all_ask_it(self):
        """Two gateways granted permits for one replica at the same time."""
        granted = self.press(6.0, lambda now: 2.0)
        # Some gateways still ask the previous one.
        granted += self.press(
            rate_limit.HANDOVER_SECONDS, lambda now: 2.0, start=6.0
        )
        self.subject = rate_limit.RateLimiter()
        granted += self.press(6.0, lambda now: 2.0, start=6.0)
        # The rate of the limit, and one permit of the first step.
        self.assertLessEqual(count_most(granted), 2.0 * WINDOW_SECONDS + 1)

    def test_another_replica_is_granted_if_the_first_has_no_permit(self):
        wants = (want('a'), want('b'))
        self.ask(0.0, *wants)
        self.subject.grant_each(list(wants), 0.0)
        self.assertEqual(['a'], self.ask(2.0, *wants).replica_ids)
        self.assertEqual(['b'], self.ask(2.0, *wants).replica_ids)
        self.assertEqual([], self.ask(2.0, *wants).replica_ids)

    def test_refused_callers_return_one_after_the_other(self):
        self.ask(0.0)
        self.ask(2.0)
        waits = [self.ask(2.0).retry_seconds for _ in range(3)]
        self.assertEqual([1.0, 2.0, 3.0], waits)

    def test_limit_of_zero_grants_nothing(self):
        self.ask(0.0, want('r', 0.0))
        refused = self.ask(100.0, want('r', 0.0))
        self.assertEqual([], refused.replica_ids)
        self.assertEqual(rate_limit.MAX_RETRY_SECONDS, refused.retry_seconds)

    def test_each_replica_with_a_permit_is_granted(self):
        wants = [want('a'), want('b', 0.0)]
        self.subject.grant_each(wants, 0.0)
        granted = self.subject.grant_each(wants, 5.0)
        self.assertEqual(['a'], granted.replica_ids)

    def test_idle_replicas_are_forgotten(self):
        self.ask(0.0, want('a'))
        self.ask(1000.0, want('b'))
        self.assertEqual(['b'], list(self.subject._buckets))
