"""Tests of how a check counts as seen failing."""

import os
import pathlib
import tempfile
import unittest

from auburnroad_e2e import known_red
from auburnroad_e2e import mutations


class MutateTest(unittest.TestCase):
    """Edits are made once and exactly, or not at all."""

    def test_old_lines_must_stand_exactly_once(self):
        edit = mutations.Edit('f', ['a'], ['b'])
        self.assertEqual('b\nc\n', mutations.mutate('a\nc\n', edit))
        for text in ('c\n', 'a\na\n'):
            with self.assertRaises(mutations.MutationError):
                mutations.mutate(text, edit)

    def test_listed_mutations_have_a_name_and_checks_each(self):
        listed = mutations.load_mutations(())
        names = [mutation.name for mutation in listed]
        self.assertEqual(sorted(set(names)), sorted(names))
        self.assertTrue(all(one.edits and one.checks for one in listed))

    def test_every_listed_edit_still_applies(self):
        for mutation in mutations.load_mutations(()):
            for edit in mutation.edits:
                path = known_red.ROOT / 'packages' / edit.file
                with self.subTest(mutation.name):
                    mutations.mutate(path.read_text(encoding='utf-8'), edit)


class MakeCopyTest(unittest.TestCase):
    """What runs against a copy finds all of its modules there."""

    def test_every_source_of_the_environment_is_copied(self):
        """The unit tests import the platform's adapter, too."""
        mutation = mutations.Mutation('none', 'p', 'nothing', [], [])
        with tempfile.TemporaryDirectory() as name:
            copy = pathlib.Path(name)
            mutations.make_copy(mutation, copy)
            path = mutations.build_environment(copy)['PYTHONPATH']
            found = {
                package.name
                for source in path.split(os.pathsep)
                for package in pathlib.Path(source).glob('auburnroad_*')
            }
        self.assertLessEqual(
            {'auburnroad_core', 'auburnroad_gateway', 'auburnroad_platform'},
            found,
        )


class FindReasonTest(unittest.TestCase):
    """A run that failed no test has no reason."""

    def test_finds_the_failed_scenario_and_test(self):
        scenario = 'FAIL a (1.0 s): line 3: run twice: k\nscenarios: 0 passed'
        self.assertIn('run twice', mutations.find_reason(scenario, 'scenario'))
        unit = 'FAIL: test_x (m)\nDoc.\n---\n  File\nAssertionError: 1 != 2\n'
        self.assertEqual(
            'FAIL: test_x (m): AssertionError: 1 != 2',
            mutations.find_reason(unit, 'unit'),
        )

    def test_a_pattern_without_a_test_is_no_failure(self):
        none = 'unit: 0 passed, 0 failed'
        self.assertIsNone(mutations.find_reason(none, 'unit'))
