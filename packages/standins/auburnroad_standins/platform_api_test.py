"""Tests that the stand-in of the platform's API sees what it is to see.

Guards against a soak that holds since its books find nothing.
"""

import unittest

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import plain_adapter
from auburnroad_standins import platform_api

TIMEOUT_SECONDS = 20
LEASE_SECONDS = 3.0


def build_call(at, holder, fence, status=200, window='1', **counts):
    return platform_api.Call(
        at, platform_api.USAGE_PATH, window, holder, fence, counts, status
    )


class FindViolationsTest(unittest.TestCase):
    """Books of calls of one duty."""

    def check(self, words, *calls):
        found = platform_api.find_violations(list(calls), LEASE_SECONDS)
        self.assertEqual(1 if words else 0, len(found), found)
        self.assertIn(words, ''.join(found))

    def test_holders_one_after_the_other_are_in_order(self):
        self.check(
            '',
            build_call(0, 'h', 1),
            build_call(1, 'h', 1),
            build_call(5, 'i', 2),
            build_call(9, 'h', 3),
        )

    def test_token_of_two_holders_is_seen(self):
        self.check('was used by', build_call(0, 'h', 1), build_call(5, 'i', 1))

    def test_lower_token_is_seen(self):
        self.check('after 2', build_call(0, 'h', 2), build_call(1, 'i', 1))

    def test_holders_in_turn_within_the_lease_are_seen(self):
        self.check(
            'in between',
            build_call(0, 'h', 1),
            build_call(1, 'i', 2),
            build_call(2, 'h', 3),
        )

    def test_changed_report_is_seen(self):
        self.check(
            'was reported as',
            build_call(0, 'h', 1, a=1),
            build_call(1, 'h', 1, a=2),
        )

    def test_call_long_after_its_refusal_is_seen(self):
        self.check(
            'after its refusal',
            build_call(0, 'h', 1, status=409),
            build_call(4, 'h', 1),
        )


class PlatformApiTest(unittest.IsolatedAsyncioTestCase):
    """The API over HTTP."""

    async def asyncSetUp(self):
        self.api = platform_api.PlatformApi()
        self.address = await self.api.listen()
        self.addAsyncCleanup(self.api.close)
        self.client = client.HttpClient()
        self.addCleanup(self.client.close)
        self.adapter = plain_adapter.PlainAdapter()

    async def send(self, request: messages.Request) -> int:
        response = await self.client.fetch(
            self.address, request, TIMEOUT_SECONDS
        )
        return response.status

    async def test_lower_token_is_refused_for_its_subject_only(self):
        statuses = [
            await self.send(
                self.adapter.build_scale_call(service, 'z', 2, 'h', fence)
            )
            for service, fence in (('s', 2), ('s', 1), ('t', 1))
        ]
        self.assertEqual([200, 409, 200], statuses)
        self.assertEqual({('s', 'z'): 2, ('t', 'z'): 2}, self.api.orders)

    async def test_first_report_of_a_window_stays(self):
        for count in (1, 2):
            await self.send(
                self.adapter.build_usage_call(7, {'a': count}, 'h', 1)
            )
        self.assertEqual({7: {'a': 1}}, self.api.reports)
