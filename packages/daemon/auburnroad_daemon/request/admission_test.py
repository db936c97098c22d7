"""Tests of admission control and fair shares."""

import unittest

import msgspec

from auburnroad_core import refusals
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.request import admission
from auburnroad_daemon.request import ordering
from auburnroad_daemon.request import shares

NOW_MS = 1_000_000


class AdmissionTest(unittest.TestCase):
    """Guards against admitting a request that can't meet its deadline.

    Such a request must be refused on arrival, with a retry time.
    """

    def check(self, deadline_ms=NOW_MS + 10_000, **changes):
        view = admission.ServiceView(
            slots=2,
            running=2,
            waiting=0,
            own_slots=2.0,
            own_waiting=0,
            queue_limit=2,
            run_ms=1000.0,
            replica_back_ms=NOW_MS + 700,
        )
        submit = messages.Submit(
            'r',
            's',
            types.RequestClass.SAMPLE,
            deadline_ms,
            True,
            False,
            'POST',
            '/',
            {},
            b'',
        )
        view = msgspec.structs.replace(view, **changes)
        return admission.check_admission(view, submit, NOW_MS)

    def test_request_is_admitted_with_queue_space_and_time(self):
        self.assertIsNone(self.check())
        self.assertIsNone(self.check(running=1, deadline_ms=NOW_MS + 1))

    def test_refusal_has_code_and_retry_time(self):
        cases = [
            (refusals.DEADLINE_PASSED, 0, {'deadline_ms': NOW_MS}),
            (refusals.NO_REPLICA, 700, {'slots': 0}),
            (refusals.OVERLOADED, 1500, {'own_waiting': 2}),
            (refusals.DEADLINE_TOO_NEAR, 500, {'deadline_ms': NOW_MS + 500}),
        ]
        for code, retry_ms, changes in cases:
            with self.subTest(code):
                refusal = self.check(**changes)
                self.assertEqual(code, refusal.code)
                self.assertEqual(NOW_MS + retry_ms, refusal.retry_at_ms)

    def test_waiting_requests_of_other_accounts_do_not_count(self):
        self.assertIsNone(self.check(waiting=100))
        refusal = self.check(waiting=100, own_slots=1.0, own_waiting=2)
        self.assertEqual(NOW_MS + 3000, refusal.retry_at_ms)


class SharesTest(unittest.TestCase):
    """Guards against one trainer using all slots or the whole queue."""

    SHARES = {ordering.CALLERS: 1, 'a': 1, 'b': 3}

    def test_slots_are_shared_among_active_accounts(self):
        def compute(account, *active):
            return shares.compute_slots(
                account, set(active), self.SHARES, 8, 2
            )

        self.assertEqual(8.0, compute('a'))
        self.assertEqual(2.0, compute('a', 'a', 'b'))
        self.assertEqual(6.0, compute('b', 'a'))
        self.assertEqual(2.0, compute(ordering.CALLERS, 'a', 'b'))

    def test_queue_limit_is_shared_among_trainers(self):
        limits = {
            account: shares.compute_queue_limit(account, self.SHARES, 10)
            for account in self.SHARES
        }
        self.assertEqual({ordering.CALLERS: 10, 'a': 3, 'b': 8}, limits)
        alone = shares.compute_queue_limit('a', {'a': 2}, 10)
        self.assertEqual(10, alone)
