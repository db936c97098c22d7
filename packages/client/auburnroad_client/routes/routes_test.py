"""Tests of the overview and comparison of a configuration with many routes.

Guards against a table as long as the configuration, and against a problem or
change that an operator would have to find by reading it through.
"""

import json
import pathlib
import tempfile
import unittest

from auburnroad_client.commands import routes as commands
from auburnroad_client import exit_codes
from auburnroad_client.routes import changes
from auburnroad_client.routes import overview
from auburnroad_gateway.model import configuration

KIND = configuration.RouteKind.IDEMPOTENT


def build_route(name, prefix, service='s', host='h', **fields):
    backends = (configuration.Backend(service),)
    return configuration.Route(name, host, prefix, KIND, backends, **fields)


def build_configuration(*routes):
    services = {'s': configuration.Service('s')}
    return configuration.Configuration(1, routes, services)


class GroupRoutesTest(unittest.TestCase):
    """A configuration that grew by many similar routes."""

    def setUp(self):
        self.routes = [
            *(build_route(f'r{n}', f'/r{n}/') for n in range(1400)),
            build_route('other', '/o/', 'portal'),
            build_route('slow', '/slow/', timeout_ms=9),
        ]

    def test_routes_with_the_same_settings_are_one_group(self):
        groups = overview.group_routes(self.routes)
        self.assertEqual(
            [('portal', 1), ('s', 1400), ('s', 1)],
            [(group.services, len(group.prefixes)) for group in groups],
        )
        shown = overview.format_prefixes(groups[1].prefixes)
        self.assertEqual('/r0/ /r1/ /r10/ and 1397 more', shown)

    def test_groups_are_filtered_by_host_and_service(self):
        (group,) = overview.group_routes(self.routes, 'H', 'portal')
        self.assertEqual(['/o/'], group.prefixes)
        self.assertEqual([], overview.group_routes(self.routes, 'h2'))


class FindProblemsTest(unittest.TestCase):
    """One route that needs attention among others."""

    def find(self, *routes):
        problems = overview.find_problems(build_configuration(*routes))
        return [(entry.problem, entry.route) for entry in problems]

    def test_sound_routes_have_no_problems(self):
        self.assertEqual(
            [],
            self.find(
                build_route('root', '/'),
                build_route('deep', '/a/b/', timeout_ms=9),
                build_route('else', '/', host='h2'),
            ),
        )

    def test_second_route_of_a_prefix_is_a_duplicate(self):
        found = self.find(
            build_route('one', '/a/'),
            build_route('two', '/a/', timeout_ms=9, host='H'),
        )
        self.assertEqual([('duplicate', 'two')], found)

    def test_route_that_does_what_its_parent_does_is_redundant(self):
        found = self.find(
            build_route('one', '/a/'), build_route('deep', '/a/b/c/')
        )
        self.assertEqual([('redundant', 'deep')], found)

    def test_route_without_its_service_is_found(self):
        found = self.find(build_route('one', '/a/', 'gone'))
        self.assertEqual([('unknown service', 'one')], found)

    def test_backend_without_weight_is_found(self):
        backends = (
            configuration.Backend('s'),
            configuration.Backend('s', 0.0),
        )
        route = configuration.Route('one', 'h', '/a/', KIND, backends)
        self.assertEqual([('no share', 'one')], self.find(route))


class CompareRoutesTest(unittest.TestCase):
    """Two configurations that differ for some callers."""

    def test_changes_are_told_by_what_callers_see(self):
        old = build_configuration(
            build_route('same', '/same/'),
            build_route('moved', '/moved/'),
            build_route('gone', '/gone/'),
        )
        new = build_configuration(
            build_route('renamed', '/same/'),
            build_route('moved', '/moved/', 'portal'),
            build_route('added', '/added/'),
        )
        self.assertEqual(
            [
                ('added', '/added/'),
                ('removed', '/gone/'),
                ('changed', '/moved/'),
            ],
            [
                (entry.change, entry.prefix)
                for entry in changes.compare_routes(old, new)
            ],
        )
        self.assertEqual([], changes.compare_routes(old, old))


class RouteCommandsTest(unittest.IsolatedAsyncioTestCase):
    """Files with configuration records of the users' platform."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)

    def write(self, name, prefixes):
        value = {
            'version': 1,
            'routes': [
                {
                    'name': prefix,
                    'host': 'h',
                    'pathPrefix': prefix,
                    'kind': 'idempotent',
                    'service': 's',
                }
                for prefix in prefixes
            ],
            'services': [{'name': 's'}],
            'limits': {},
        }
        path = self.path / name
        path.write_text(json.dumps(value))
        return str(path)

    async def test_tables_are_built_from_files(self):
        old = self.write('old.json', ['/a/'])
        new = self.write('new.json', ['/a/', '/b/', '/b/'])
        report = await commands.show_routes(None, new, '', '', False)
        self.assertEqual(
            [['/a/', '/b/', '/b/']], [row['prefixes'] for row in report.value]
        )
        report = await commands.show_routes(None, new, '', '', True)
        self.assertEqual(
            ['duplicate'], [row['problem'] for row in report.value]
        )
        report = await commands.show_changes(None, old, new)
        self.assertEqual(['added'], [row['change'] for row in report.value])

    async def test_missing_and_malformed_files_raise(self):
        with self.assertRaises(exit_codes.NotFoundError):
            await commands.show_routes(
                None, str(self.path / 'none'), '', '', False
            )
        broken = self.path / 'broken.json'
        broken.write_bytes(b'{"version": "one"}')
        with self.assertRaises(exit_codes.BadInputError):
            await commands.show_routes(None, str(broken), '', '', False)
