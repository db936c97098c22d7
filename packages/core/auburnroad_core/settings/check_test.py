"""Tests the parser and the checks of settings."""

import unittest

from auburnroad_core.settings import check
from auburnroad_core.settings import deployment
from auburnroad_core.settings import source


class CheckDocumentTest(unittest.TestCase):
    """All errors of a document are reported at once, with their positions."""

    def check(self, text):
        document, records = source.parse_text(text, 'd.jsonc')
        self.assertEqual([], records)
        return check.check_document(document, deployment.Deployment)

    def test_all_errors_are_reported_with_their_lines(self):
        _, records = self.check(
            '{"name": "A", "failure_domains": ["a"],\n'
            '"services": [{"name": "s", "kind": "modl", "odd": 1}],\n'
            '"trainers": [{"name": "t", "model": "m"}]}'
        )
        self.assertEqual(
            [
                (1, 'name'),
                (2, 'services[0].kind'),
                (2, 'services[0].odd'),
                (3, 'trainers[0].service'),
            ],
            [(record.source.line, record.field) for record in records],
        )

    def test_repeated_and_unknown_names_are_errors(self):
        _, records = self.check(
            '{"name": "a", "failure_domains": ["a"], "services": ['
            '{"name": "s", "kind": "model"}, {"name": "s", "kind": "plain"}],'
            '"trainers": [{"name": "t", "model": "m", "service": "x"}]}'
        )
        self.assertEqual(
            ['services[1].name', 'trainers[0].service'],
            [record.field for record in records],
        )

    def test_key_life_over_half_of_the_log_retention_is_an_error(self):
        _, records = self.check(
            '{"name": "a", "failure_domains": ["a"], "services": ['
            '{"name": "s", "kind": "model"}],'
            '"limits": {"key_life_ms": 50, "retention_ms": 90}}'
        )
        self.assertEqual(
            ['limits.key_life_ms'], [record.field for record in records]
        )


class ParseTextTest(unittest.TestCase):
    """JSON with comments is parsed, and syntax errors have a position."""

    def test_comments_and_trailing_commas_are_accepted(self):
        document, records = source.parse_text(
            '// head\n{"a": [1, 2.5, /* in */ "x//y",], "b": null,}', 'f'
        )
        self.assertEqual([], records)
        self.assertEqual({'a': [1, 2.5, 'x//y'], 'b': None}, document.value)
        self.assertEqual((2, 25), document.positions[('a', 2)])

    def test_syntax_error_is_reported_with_its_line(self):
        _, records = source.parse_text('{"a": 1,\n "b" 2}', 'f')
        self.assertEqual(2, records[0].source.line)

    def test_truncated_text_is_an_error_that_names_the_early_end(self):
        for text in ('{"a": ', '{"a": 1', ''):
            _, records = source.parse_text(text, 'f')
            self.assertEqual('the text ends too early', records[0].remedy)

    def test_repeated_field_is_an_error(self):
        _, records = source.parse_text('{"a": 1, "a": 2}', 'f')
        self.assertEqual('a', records[0].field)
