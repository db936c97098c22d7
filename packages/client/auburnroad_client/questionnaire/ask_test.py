"""Tests of the questionnaire at the terminal."""

import unittest

import msgspec

from auburnroad_client import deployments
from auburnroad_client import exit_codes
from auburnroad_client.questionnaire import answer_checks
from auburnroad_client.questionnaire import ask

# Typed answers, by a part of the question.
FIRST_ANSWERS = {
    "Deployment's name": ['My Lab', 'lab'],
    'What costs you more': ['money', 'staleness'],
    "Service's name": ['llm'],
    "Kind: 'model'": ['model'],
    "Region's name": ['north'],
    'Failure domains of': ['a, b'],
    "Host's name": ['entry-1', 'entry-2', 'target-1'],
    'Failure domain in which': ['a', 'c', 'b', 'a'],
    'IP number of': ['127.9.0.1', '127.9.0.2', '127.9.0.3'],
    "Replica's name": ['r1'],
    'Service that the replica': ['llm'],
    'its HTTP interface': ['127.9.0.3:8001'],
    'the log service': ['127.9.0.9:7400'],
    'the host list': ['127.9.0.9:7401'],
    'the weight store': ['127.9.0.9:7402'],
    'How many?': ['', '', '2', 'two', '', '', ''],
}


class ScriptedTerminal(ask.Terminal):
    """A terminal that types prepared answers, then empty lines."""

    __slots__ = ('script', 'said', 'remaining_prompts')

    def __init__(self, script):
        self.script = {part: list(lines) for part, lines in script.items()}
        self.said = []
        self.remaining_prompts = 200

    def say(self, text):
        self.said.append(text)

    def ask(self, prompt):
        self.remaining_prompts -= 1
        assert self.remaining_prompts, (
            f'the question is repeated without end: {prompt}'
        )
        for part, lines in self.script.items():
            if part in prompt and lines:
                return lines.pop(0)
        if '[' not in prompt:
            raise exit_codes.BadInputError('left')
        return ''


class AskAnswersTest(unittest.TestCase):
    """Invalid or contradictory answers are asked until all are valid."""

    def test_invalid_answer_is_asked_again(self):
        terminal = ScriptedTerminal(FIRST_ANSWERS)
        answers = ask.ask_answers(terminal, None)
        self.assertEqual('lab', answers.deployment)
        self.assertEqual('staleness', answers.weighs_more)
        domains = [h.failure_domain for h in answers.places.entry_hosts]
        self.assertEqual(['a', 'b'], domains)
        self.assertEqual([], answers.trainers)
        said = '\n'.join(terminal.said)
        for wrong in ("'c' is not one of a, b", "'My Lab' is not a name"):
            self.assertIn(wrong, said)

    def test_contradictory_answer_is_asked_again_at_the_end(self):
        script = dict(FIRST_ANSWERS)
        script['How long a planned stop'] = ['5', '600']
        terminal = ScriptedTerminal(script)
        answers = ask.ask_answers(terminal, None)
        self.assertEqual(600, answers.tolerances.drain_seconds)
        self.assertIn('would cut off work', '\n'.join(terminal.said))

    def test_return_accepts_the_defaults(self):
        for name in deployments.NAMES:
            before = answer_checks.read_answers(deployments.find_answers(name))
            after = ask.ask_answers(ScriptedTerminal({}), before)
            self.assertEqual(
                msgspec.to_builtins(before), msgspec.to_builtins(after)
            )

    def test_end_of_input_raises(self):
        with self.assertRaises(exit_codes.BadInputError):
            ask.ask_answers(ScriptedTerminal({}), None)
