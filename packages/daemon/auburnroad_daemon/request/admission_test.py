"""Tests of the decision whether a request may wait."""

import unittest

import msgspec

from auburnroad_core import refusals
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.request import admission

NOW_MS = 1_000_000


class AdmissionTest(unittest.TestCase):
    """Refused at once, each with the time to come back."""

    def check(self, deadline_ms=NOW_MS + 10_000, **changes):
        view = admission.ServiceView(
            slots=2,
            running=2,
            waiting=0,
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

    def test_waits_while_there_is_room_and_time(self):
        self.assertIsNone(self.check())
        self.assertIsNone(self.check(running=1, deadline_ms=NOW_MS + 1))

    def test_refuses_with_the_time_to_come_back(self):
        cases = [
            (refusals.DEADLINE_PASSED, 0, {'deadline_ms': NOW_MS}),
            (refusals.NO_REPLICA, 700, {'slots': 0}),
            (refusals.OVERLOADED, 1500, {'waiting': 2}),
            (refusals.DEADLINE_TOO_NEAR, 500, {'deadline_ms': NOW_MS + 500}),
        ]
        for code, retry_ms, changes in cases:
            with self.subTest(code):
                refusal = self.check(**changes)
                self.assertEqual(code, refusal.code)
                self.assertEqual(NOW_MS + retry_ms, refusal.retry_at_ms)
