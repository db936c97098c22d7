"""Tests of the scenario language."""

import unittest

from auburnroad_core import errors
from auburnroad_e2e.scenario import run
from auburnroad_e2e.scenario import script
from auburnroad_e2e.scenario import world
from auburnroad_e2e import scenarios


class ParseScriptTest(unittest.TestCase):
    """Sentences become phrases with their line."""

    def test_takes_a_sentence_with_its_parts(self):
        parsed = script.parse_script(
            'x', '# Title\nlet trainer t take 8 steps, asking twice.\n'
        )
        self.assertEqual('Title', parsed.title)
        self.assertEqual(
            [
                script.Phrase(
                    'start_trainer', ('t', 8, 'asking twice', None, None), 2
                )
            ],
            parsed.steps,
        )

    def test_names_the_place_of_a_mistake(self):
        with self.assertRaises(errors.InvalidInputError) as caught:
            script.parse_script('x', 'kill entry-a.\nhug entry-b.\n')
        self.assertEqual(2, caught.exception.records[0].source.line)


class ScriptsTest(unittest.TestCase):
    """Every script is in the language, and the language is carried out."""

    def test_every_sentence_has_an_implementation(self):
        self.assertTrue(run.MODULES)
        for parsed in scenarios.load_scripts(()):
            with self.subTest(parsed.name):
                self.assertTrue(parsed.title)
                for phrase in parsed.steps:
                    self.check(world.STEPS, phrase)

    def check(self, known, phrase):
        self.assertIn(phrase.name, known.names)
        kinds = {'wait_until': world.CONDITIONS, 'check': world.CLAIMS}
        for part in phrase.arguments:
            if not isinstance(part, script.Phrase):
                continue
            if part.name in world.LINKS.names:
                self.check(world.LINKS, part)
            else:
                self.check(kinds.get(phrase.name, world.REFERENCES), part)
