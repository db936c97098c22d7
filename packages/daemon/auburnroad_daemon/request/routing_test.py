"""Tests of the routing policies."""

import random
import unittest

from auburnroad_daemon.request import routing


def build(host, outstanding, slots=8):
    return routing.Candidate(host, 'a', slots, outstanding, outstanding)


class AffinityTest(unittest.TestCase):
    """One context stays on one host, within the load bound."""

    def choose(self, candidates, key):
        choice = routing.Choice(key, 'a', 0)
        policy = routing.POLICIES.get('affinity')
        return policy(candidates, choice, random.Random(1)).host

    def test_a_context_stays_on_its_host(self):
        hosts = [build(f'h{i}', 4) for i in range(5)]
        first = self.choose(hosts, 77)
        self.assertEqual(first, self.choose(hosts[::-1], 77))

    def test_an_overloaded_host_is_passed_over(self):
        hosts = [build(f'h{i}', 0) for i in range(5)]
        first = self.choose(hosts, 77)
        loaded = [build(h.host, 8 if h.host == first else 0) for h in hosts]
        self.assertNotEqual(first, self.choose(loaded, 77))

    def test_contexts_spread_over_hosts(self):
        hosts = [build(f'h{i}', 4) for i in range(5)]
        chosen = {self.choose(hosts, key) for key in range(1, 200)}
        self.assertEqual(5, len(chosen))


class PoliciesTest(unittest.TestCase):
    """Every policy chooses one of the candidates."""

    def test_each_policy_takes_a_single_candidate(self):
        only = build('h', 3)
        for name in routing.POLICIES.names:
            policy = routing.POLICIES.get(name)
            choice = routing.Choice(5, 'a', 3)
            self.assertIs(only, policy([only], choice, random.Random(1)))
