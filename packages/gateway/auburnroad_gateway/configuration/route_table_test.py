"""Tests of route look-up in a configuration with many routes.

Guards against a look-up that takes longer with each route: a configuration
grew by 1,400 routes, and each was compared for every request and batch.
"""

import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.configuration import route_table
from auburnroad_gateway.model import configuration


def build_route(name, host='h', prefix='/'):
    return configuration.Route(
        name,
        host,
        prefix,
        configuration.RouteKind.IDEMPOTENT,
        (configuration.Backend('s'),),
    )


class RouteTableTest(unittest.TestCase):
    """Routes that share hosts and prefixes."""

    def match(self, routes, host, path):
        found = route_table.RouteTable(tuple(routes)).match(host, path)
        return found and found.name

    def test_longest_prefix_of_the_host_matches(self):
        routes = [
            build_route('root'),
            build_route('deep', prefix='/a/b/'),
            build_route('short', prefix='/a/'),
            build_route('other', 'h2', '/a/b/c/'),
        ]
        self.assertEqual('deep', self.match(routes, 'h', '/a/b/c/d'))
        self.assertEqual('short', self.match(routes, 'h', '/a/b'))
        self.assertEqual('root', self.match(routes, 'h', '/ab/c'))
        self.assertEqual('other', self.match(routes, 'h2', '/a/b/c/'))
        self.assertIsNone(self.match(routes, 'h2', '/a/b/'))

    def test_host_matches_without_case_and_port(self):
        routes = [build_route('one', 'Host.Example')]
        self.assertEqual('one', self.match(routes, 'hoST.example:80', '/x'))

    def test_first_of_two_routes_with_the_same_prefix_counts(self):
        routes = [build_route('first'), build_route('second')]
        self.assertEqual('first', self.match(routes, 'h', '/'))

    def test_unknown_host_and_relative_path_match_nothing(self):
        routes = [build_route('one')]
        self.assertIsNone(self.match(routes, 'x', '/'))
        self.assertIsNone(self.match(routes, 'h', ''))
        self.assertIsNone(self.match(routes, 'h', '*'))

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(['/', '/a/', '/a/b/', '/ab/', '/a/a/']),
            max_size=6,
        ),
        strategies.text('ab/', max_size=8),
    )
    def test_match_equals_a_scan_of_all_routes(self, prefixes, path):
        routes = [
            build_route(str(number), prefix=prefix)
            for number, prefix in enumerate(prefixes)
        ]
        matching = [
            route for route in routes if path.startswith(route.path_prefix)
        ]
        best = max(
            matching, key=lambda route: len(route.path_prefix), default=None
        )
        self.assertEqual(best and best.name, self.match(routes, 'h', path))
