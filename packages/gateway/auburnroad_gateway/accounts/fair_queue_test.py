"""Tests the shares of accounts in the queue of a full service.

Guards against accounts that get no slots beside one that floods, against
requests that wait although their refusal is certain, and against refused
callers that all return at once or start at the end of the line again.
"""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.accounts import fair_queue

WAIT_SECONDS = 0.25
FAR = 1e9


def add(subject, account, now=0.0, priority=0, cost=1.0, **fields):
    """Add a request; return it, or None if it was refused."""
    fields.setdefault('deadline_at', FAR)
    entry = fair_queue.Entry(account, priority, cost, **fields)
    return None if subject.add(entry, now) else entry


def pop_accounts(subject, count, now=0.0):
    entries = [subject.pop(now) for _ in range(count)]
    return ''.join(entry.account for entry in entries if entry is not None)


class SharesTest(unittest.TestCase):
    """The order in which waiting requests are served."""

    def setUp(self):
        self.subject = fair_queue.FairQueue(lambda: 0.0)

    def add_many(self, accounts, **fields):
        for account in accounts:
            add(self.subject, account, **fields)

    def test_accounts_take_turns(self):
        self.add_many('aaaabb')
        self.assertEqual('ababaa', pop_accounts(self.subject, 9))
        self.assertEqual(0, len(self.subject))

    def test_unused_share_is_lent_and_returned_at_once(self):
        self.add_many('a' * 20)
        self.assertEqual('aaaaa', pop_accounts(self.subject, 5))
        # 'b' gets its share from now on, not what it did not use.
        self.add_many('b' * 3)
        self.assertEqual('abababaaa', 'a' + pop_accounts(self.subject, 8))

    def test_account_that_waits_again_gains_nothing(self):
        self.add_many('aaaabc')
        self.assertEqual('abc', pop_accounts(self.subject, 3))
        self.add_many('b')
        self.assertEqual('abaa', pop_accounts(self.subject, 4))

    def test_higher_priority_goes_first(self):
        self.add_many('aa', priority=1)
        self.add_many('b', priority=2)
        self.add_many('cc', priority=0)
        self.assertEqual('ccaab', pop_accounts(self.subject, 5))

    def test_expensive_requests_count_more(self):
        self.add_many('aaaa', cost=3.0)
        self.add_many('bbbbbbb', cost=1.0)
        order = pop_accounts(self.subject, 11)
        self.assertEqual('abbb', order[:4])
        self.assertEqual(2, order[:8].count('a'))

    def test_requests_without_account_share_as_one(self):
        for number in range(4):
            add(self.subject, '')
            add(self.subject, 'a')
        first = [self.subject.pop(0.0).account for _ in range(4)]
        self.assertEqual(['', 'a', '', 'a'], first)

    def test_returning_caller_precedes_new_requests_of_its_account(self):
        first = add(self.subject, 'a')
        add(self.subject, 'b')
        back = add(self.subject, 'a', returning=True)
        self.assertIs(back, self.subject.pop(0.0))
        self.assertEqual('b', self.subject.pop(0.0).account)
        self.assertIs(first, self.subject.pop(0.0))

    def test_removed_request_is_not_served(self):
        gone = add(self.subject, 'a')
        self.add_many('ab')
        self.subject.remove(gone, 0.0)
        self.subject.remove(gone, 0.0)
        self.assertEqual(2, len(self.subject))
        self.assertEqual('ab', pop_accounts(self.subject, 5))

    def test_account_that_waits_again_after_removal_is_served_once(self):
        self.add_many('bb')
        for _ in range(50):
            gone = add(self.subject, 'a')
            self.subject.remove(gone, 0.0)
        self.add_many('a')
        self.assertEqual('bab', pop_accounts(self.subject, 5))

    def test_requests_that_left_are_not_kept_behind_higher_priorities(self):
        """Guards against memory that grows while no request of them is served.

        The queue never empties, and the account of the low priority always
        has a waiting request.
        """
        self.add_many('f', priority=0)
        before = add(self.subject, 'a', priority=1)
        for number in range(1000):
            after = add(
                self.subject, 'a', priority=1, returning=bool(number % 2)
            )
            self.subject.remove(before, 0.0)
            before = after
        flow = self.subject._levels[1].flows['a']
        self.assertEqual(1, flow.count)
        self.assertLessEqual(len(flow.fresh) + len(flow.returning), 2)
        self.assertEqual('fa', pop_accounts(self.subject, 3))


class RefusalTest(unittest.TestCase):
    """Requests that cannot be served in time."""

    def setUp(self):
        self.draw = 0.0
        self.subject = fair_queue.FairQueue(lambda: self.draw)

    def drain(self, count, interval, now):
        """Measure a drain rate with an account that always waits."""
        for _ in range(count):
            add(self.subject, 'z', now)
        for _ in range(count):
            now += interval
            self.subject.pop(now)
        return now

    def refuse(self, account, now, deadline_at, **fields):
        entry = fair_queue.Entry(account, 0, 1.0, deadline_at, **fields)
        return self.subject.add(entry, now)

    def test_request_behind_too_long_a_queue_is_refused_at_once(self):
        now = self.drain(10, 0.05, 0.0)
        for _ in range(5):
            add(self.subject, 'a', now)
        # Five requests take 0.25 s.
        self.assertIsNone(self.refuse('b', now, now + 0.3))
        self.assertIsNone(self.refuse('a', now, now + 0.4))
        refusal = self.refuse('a', now, now + 0.2)
        self.assertAlmostEqual(0.35, refusal.retry_seconds)
        self.assertEqual(7, len(self.subject))

    def test_retry_after_is_spread_by_a_quarter(self):
        now = self.drain(10, 0.05, 0.0)
        for _ in range(8):
            add(self.subject, 'a', now)
        shortest = self.refuse('a', now, now + 0.1).retry_seconds
        self.assertAlmostEqual(0.4, shortest)
        self.draw = 0.999
        longest = self.refuse('a', now, now + 0.1).retry_seconds
        self.assertAlmostEqual(1.25 * shortest, longest, 2)

    def test_returning_caller_need_not_wait_for_new_requests(self):
        now = self.drain(10, 0.05, 0.0)
        for _ in range(8):
            add(self.subject, 'a', now)
        self.assertIsNotNone(self.refuse('a', now, now + 0.1))
        self.assertIsNone(self.refuse('a', now, now + 0.1, returning=True))

    def test_request_is_not_refused_before_a_rate_is_known(self):
        for _ in range(100):
            self.assertIsNotNone(add(self.subject, 'a', deadline_at=0.25))

    def test_rate_falls_while_nothing_is_served(self):
        now = self.drain(10, 0.01, 0.0)
        for _ in range(3):
            add(self.subject, 'a', now)
        self.assertIsNone(self.refuse('b', now, now + 0.2))
        later = now + 2.0
        self.assertIsNotNone(self.refuse('b', later, later + 0.2))

    def test_old_rate_is_forgotten(self):
        now = self.drain(2, 1.0, 0.0)
        add(self.subject, 'a', now)
        self.assertIsNotNone(self.refuse('a', now, now + 0.2))
        self.subject.pop(now)
        now += fair_queue.RATE_TTL_SECONDS + 1
        add(self.subject, 'a', now)
        self.assertIsNone(self.refuse('a', now, now + 0.2))

    def test_overdue_requests_are_refused_and_not_served(self):
        add(self.subject, 'a', deadline_at=0.25)
        kept = add(self.subject, 'a', deadline_at=0.5)
        self.assertEqual(0.25, self.subject.find_next_deadline())
        self.assertEqual([], self.subject.refuse_overdue(0.2))
        refused = self.subject.refuse_overdue(0.25)
        self.assertEqual([0.25], [one.deadline_at for one, _ in refused])
        self.assertGreaterEqual(
            refused[0][1].retry_seconds, fair_queue.MIN_RETRY_SECONDS
        )
        self.assertEqual(0.5, self.subject.find_next_deadline())
        self.assertIs(kept, self.subject.pop(0.3))
        self.assertIsNone(self.subject.find_next_deadline())


class FloodTest(unittest.TestCase):
    """One account sends 200 requests a second beside 70 quiet accounts."""

    SECONDS = 20
    # Slots come free at this rate.
    DRAIN_PER_SECOND = 100

    def setUp(self):
        self.subject = fair_queue.FairQueue(lambda: 0.5)
        self.served = collections.Counter()
        self.refused = collections.Counter()
        self.longest = collections.Counter()
        self.added_at = {}

    def send(self, account, now):
        entry = add(self.subject, account, now, deadline_at=now + WAIT_SECONDS)
        if entry is None:
            self.refused[account] += 1
        else:
            self.added_at[entry] = now

    def play(self, quiet):
        for tick in range(self.SECONDS * 1000):
            now = tick / 1000
            if tick % 5 == 0:
                self.send('flood', now)
            for number in range(quiet):
                # Each once a second, evenly spread.
                if tick % 1000 == number * 1000 // quiet:
                    self.send(f'quiet{number}', now)
            for entry, _ in self.subject.refuse_overdue(now):
                self.refused[entry.account] += 1
            if tick % (1000 // self.DRAIN_PER_SECOND) == 0:
                entry = self.subject.pop(now)
                if entry is not None:
                    self.served[entry.account] += 1
                    waited = now - self.added_at.pop(entry)
                    self.longest[entry.account] = max(
                        self.longest[entry.account], waited
                    )

    def test_quiet_accounts_are_served_without_refusals(self):
        self.play(quiet=70)
        for number in range(70):
            account = f'quiet{number}'
            self.assertEqual(0, self.refused[account])
            self.assertGreaterEqual(self.served[account], self.SECONDS - 1)
            self.assertLess(self.longest[account], WAIT_SECONDS)
        # The flood gets what the others leave, and waits in line for it.
        rest = (self.DRAIN_PER_SECOND - 70) * self.SECONDS
        self.assertAlmostEqual(rest, self.served['flood'], delta=25)
        self.assertGreater(self.refused['flood'], 160 * self.SECONDS)

    def test_flood_alone_gets_all_slots(self):
        self.play(quiet=0)
        total = self.DRAIN_PER_SECOND * self.SECONDS
        self.assertAlmostEqual(total, self.served['flood'], delta=2)

    def test_queue_stays_as_long_as_it_can_be_served(self):
        self.play(quiet=0)
        limit = WAIT_SECONDS * self.DRAIN_PER_SECOND
        self.assertLess(len(self.subject), 1.5 * limit)


# Accounts that add a request; '-' serves one, '!' refuses overdue ones.
STEPS = strategies.lists(
    strategies.sampled_from(['a', 'b', 'c', 'd', '-', '-', '-', '!']),
    min_size=1,
    max_size=60,
)


class ShareProperty(unittest.TestCase):
    """No waiting account gets less than its share less one request."""

    def play(self, steps):
        """Play steps; list (served account, waiting accounts) of each pop."""
        subject = fair_queue.FairQueue(lambda: 0.0)
        waiting = collections.Counter()
        pops = []
        for number, step in enumerate(steps):
            if step == '-':
                before = set(+waiting)
                entry = subject.pop(float(number))
                self.assertEqual(bool(before), entry is not None)
                if entry is not None:
                    waiting[entry.account] -= 1
                    pops.append((entry.account, before))
            elif step == '!':
                for entry, _ in subject.refuse_overdue(float(number)):
                    waiting[entry.account] -= 1
            else:
                # Some are overdue soon; no rate refuses any at once.
                left = FAR if number % 3 else 8.0
                entry = fair_queue.Entry(step, 0, 1.0, number + left)
                if subject.add(entry, float(number)) is None:
                    waiting[step] += 1
        return pops

    @hypothesis.given(STEPS)
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_waiting_account_gets_its_share_less_one_request(self, steps):
        pops = self.play(steps)
        for account in 'abcd':
            for first in range(len(pops)):
                served, present = 0, set()
                for count, (chosen, waiting) in enumerate(pops[first:], 1):
                    if account not in waiting:
                        break
                    present |= waiting
                    served += chosen == account
                    share = count / len(present)
                    self.assertGreaterEqual(served, share - 1)
