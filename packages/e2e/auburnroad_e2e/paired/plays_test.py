"""Tests that plays are made once each, and some at a time.

A small program takes the place of the bench. Like the bench, it refuses flags
that are written with an equals sign.
"""

import pathlib
import sys
import tempfile
import unittest

from auburnroad_e2e import known_red
from auburnroad_e2e import mutations
from auburnroad_e2e.paired import plays
from auburnroad_e2e.paired import trees

FAKE_BENCH = """
import pathlib, sys
verb, site, day, *flags = sys.argv[1:]
flags.remove('--no-cpu')
if any('=' in name for name in flags[::2]):
    sys.exit(2)
options = {name.lstrip('-'): value for name, value in zip(*[iter(flags)] * 2)}
with open('calls', 'a') as file:
    file.write(f'{verb} {site} {day} {options["seed"]}\\n')
if day == 'broken':
    sys.exit(3)
pathlib.Path(options['report']).write_text('{}')
"""


class RunPlaysTest(unittest.IsolatedAsyncioTestCase):
    """Plays on one tree, with a fake bench."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        self.tree = self.path / 'tree'
        self.tree.mkdir()
        program = self.path / 'bench.py'
        program.write_text(FAKE_BENCH)
        self.bench = plays.Bench(
            [sys.executable, str(program)],
            {'tree': self.tree},
            self.path / 'results',
            'a test',
        )

    async def play(self, days, seeds=3):
        self.plays = [
            plays.Play('tree', 'site.toml', day, seed)
            for day in days
            for seed in range(seeds)
        ]
        failures = []
        await plays.run_plays(self.bench, self.plays, 2, failures.append)
        return failures

    def count_calls(self):
        return len((self.tree / 'calls').read_text().splitlines())

    async def test_each_play_leaves_a_report(self):
        """Guards against flags in a form that the bench refuses."""
        self.assertEqual([], await self.play(['day']))
        for play in self.plays:
            self.assertTrue(self.bench.find_report(play).exists())

    async def test_run_that_was_stopped_goes_on(self):
        await self.play(['day'], seeds=2)
        await self.play(['day'], seeds=5)
        self.assertEqual(5, self.count_calls())

    async def test_failed_play_is_told_and_made_again(self):
        failures = await self.play(['broken', 'day'], seeds=1)
        self.assertIn('status 3', str(failures[0]))
        await self.play(['broken', 'day'], seeds=1)
        self.assertEqual(3, self.count_calls())


class ParseTreeTest(unittest.TestCase):
    """Trees as they are written on the command line."""

    def test_tree_has_a_revision_and_changes(self):
        self.assertEqual(
            trees.Tree('new', 'main', ('fix.patch', 'mutation:x')),
            trees.parse_tree('new=main+fix.patch+mutation:x'),
        )

    def test_tree_without_a_revision_is_an_error(self):
        for text in ('new', 'new=', '=main'):
            with self.assertRaises(trees.TreeError):
                trees.parse_tree(text)


class AblationsTest(unittest.TestCase):
    """The mechanisms of the gateway that can be switched off."""

    def test_lines_of_each_edit_stand_once(self):
        """Guards against an ablation that plays the whole mechanism."""
        packages = known_red.ROOT / 'packages'
        found = trees.load_ablations()
        self.assertGreater(len(found), 5)
        for ablation in found.values():
            for edit in ablation.edits:
                text = (packages / edit.file).read_text()
                self.assertNotEqual(text, mutations.mutate(text, edit))
