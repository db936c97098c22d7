"""Tests of the decision on a request.

They guard against a request that runs without a valid key, and against a
final refusal of a caller whose key has just been added.
"""

import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.accounts import access
from auburnroad_gateway.accounts import registry_test
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration

REGISTRY = registry_test.build_registry({'a': ['known']})
ALLOWED = access.Decision.ALLOWED
REFUSED = access.Decision.REFUSED
UNSURE = access.Decision.UNSURE


def build_route(public=False, name='r', host='h', prefix='/q/', **fields):
    return configuration.Route(
        name,
        host,
        prefix,
        configuration.RouteKind.IDEMPOTENT,
        (configuration.Backend('s'),),
        public=public,
        **fields,
    )


def decide(key, public=False, current=True, trusts=True, registry=REGISTRY):
    found = access.decide(
        build_route(public),
        call.CallHead('q', key=key),
        registry,
        current,
        trusts,
    )
    return found.decision, found.account and found.account.name


class DecideTest(unittest.TestCase):
    """Requests with a known, an unknown and no key."""

    def test_known_key_gives_the_account(self):
        for public in (False, True):
            for current in (False, True):
                self.assertEqual(
                    (ALLOWED, 'a'), decide('known', public, current)
                )

    def test_unknown_key_is_refused_only_if_the_topic_was_just_read(self):
        """A caller doesn't return after a refusal, which is final."""
        self.assertEqual((REFUSED, None), decide('new', current=True))
        self.assertEqual((UNSURE, None), decide('new', current=False))

    # Guards against 401 on a route that has just become public.
    def test_missing_key_is_refused_by_a_recent_configuration_only(self):
        self.assertEqual((REFUSED, None), decide(None, current=True))
        self.assertEqual((UNSURE, None), decide(None, current=False))

    def test_public_route_needs_no_key(self):
        for key in (None, 'new'):
            for current in (False, True):
                self.assertEqual((ALLOWED, None), decide(key, True, current))

    def test_key_that_may_have_been_removed_is_not_accepted(self):
        for public in (False, True):
            self.assertEqual(
                (UNSURE, None), decide('known', public, False, False)
            )
        self.assertEqual((ALLOWED, None), decide(None, True, False, False))

    def test_empty_list_of_accounts_knows_no_key(self):
        empty = registry_test.build_registry(())
        self.assertEqual((REFUSED, None), decide('known', registry=empty))

    @hypothesis.given(
        strategies.sampled_from([None, 'known', 'new']),
        strategies.booleans(),
        strategies.booleans(),
        strategies.booleans(),
    )
    def test_deployment_without_accounts_allows_everything(
        self, key, public, current, trusts
    ):
        none = registry_test.build_registry(None)
        self.assertEqual(
            (ALLOWED, None), decide(key, public, current, trusts, none)
        )


class FindPriorityTest(unittest.TestCase):
    """Priorities of route and account."""

    def test_priority_of_the_account_precedes_that_of_the_route(self):
        route = build_route(priority=3)
        account = configuration.Account('a', (), 0)
        self.assertEqual(0, access.find_priority(route, account))
        self.assertEqual(3, access.find_priority(route, None))
