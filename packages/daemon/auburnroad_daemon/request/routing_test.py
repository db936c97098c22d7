"""Tests of the routing policies."""

import random
import unittest

from auburnroad_daemon.request import routing


def build_candidate(host, outstanding, slots=8):
    return routing.Candidate(host, 'a', slots, outstanding, outstanding)


class AffinityTest(unittest.TestCase):
    """Guards against lost prefix affinity and against overloaded hosts."""

    def choose(self, candidates, key):
        context = routing.RoutingContext(key, 'a', 0)
        policy = routing.POLICIES.get('affinity')
        return policy(candidates, context, random.Random(1)).host

    def test_equal_prefixes_are_routed_to_one_host(self):
        hosts = [build_candidate(f'h{i}', 4) for i in range(5)]
        first = self.choose(hosts, 77)
        self.assertEqual(first, self.choose(hosts[::-1], 77))

    def test_overloaded_host_is_not_chosen(self):
        hosts = [build_candidate(f'h{i}', 0) for i in range(5)]
        first = self.choose(hosts, 77)
        loaded = [
            build_candidate(h.host, 8 if h.host == first else 0) for h in hosts
        ]
        self.assertNotEqual(first, self.choose(loaded, 77))

    def test_distinct_prefixes_are_distributed_over_all_hosts(self):
        hosts = [build_candidate(f'h{i}', 4) for i in range(5)]
        chosen = {self.choose(hosts, key) for key in range(1, 200)}
        self.assertEqual(5, len(chosen))


class PoliciesTest(unittest.TestCase):
    """Guards against a policy that fails with a single candidate."""

    def test_each_policy_chooses_the_only_candidate(self):
        only = build_candidate('h', 3)
        for name in routing.POLICIES.names:
            policy = routing.POLICIES.get(name)
            context = routing.RoutingContext(5, 'a', 3)
            self.assertIs(only, policy([only], context, random.Random(1)))
