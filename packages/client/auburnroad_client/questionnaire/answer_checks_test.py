"""Tests of the checks of answers files."""

import pathlib
import tempfile
import unittest

from auburnroad_client import deployments
from auburnroad_client.questionnaire import answer_checks
from auburnroad_core import errors


def read_changed(*replacements):
    """Read the Kiadási answers after textual replacements."""
    path = pathlib.Path(deployments.find_answers('kiadasi'))
    text = path.read_text(encoding='utf-8')
    for old, new in replacements:
        assert old in text, old
        text = text.replace(old, new, 1)
    with tempfile.TemporaryDirectory() as directory:
        changed = pathlib.Path(directory) / 'answers.jsonc'
        changed.write_text(text, encoding='utf-8')
        return text, answer_checks.read_answers(str(changed))


class ReadAnswersTest(unittest.TestCase):
    """Every mistake of a file is reported at once, with its field and line."""

    def find_mistakes(self, *replacements):
        with self.assertRaises(errors.InvalidInputError) as caught:
            read_changed(*replacements)
        return caught.exception.records

    def assert_fields(self, wanted, *replacements):
        records = self.find_mistakes(*replacements)
        self.assertEqual(wanted, [record.field for record in records])

    def test_all_mistakes_are_reported_at_once(self):
        self.assert_fields(
            [
                'places.target_hosts[1].name',
                'places.entry_hosts[1].failure_domain',
                'places.target_hosts[0].replicas[0].service',
                'places.target_hosts[2].http_port',
                'trainers[0].service',
                'trainers[0].late_groups',
                'trainers[0].model',
                'services[1].checks_fencing',
                'tolerances.key_life_minutes',
                'tolerances.drain_seconds',
            ],
            ('"name": "target-b1"', '"name": "target-a1"'),
            (
                '"failure_domain": "hu-central-b"',
                '"failure_domain": "hu-central-x"',
            ),
            ('"service": "drafter-llm"', '"service": "drafter"'),
            ('"ip": "127.10.2.3"', '"ip": "127.10.2.2", "stream_port": 7999'),
            (
                '"service": "drafter-llm",\n      // Model',
                '"service": "drafter",\n      // Model',
            ),
            ('"late_groups": 2', '"late_groups": 16'),
            ('"model": "drafter-llm"', '"model": "notes-portal"'),
            ('"kind": "plain"', '"kind": "plain", "checks_fencing": true'),
            ('"key_life_minutes": 60', '"key_life_minutes": 721'),
            ('"drain_seconds": 150', '"drain_seconds": 119'),
        )

    def test_mistake_has_its_line(self):
        records = self.find_mistakes(
            ('"late_groups": 2', '"late_groups": 16'),
        )
        path = deployments.find_answers('kiadasi')
        lines = pathlib.Path(path).read_text(encoding='utf-8').split('\n')
        line = lines[records[0].source.line - 1]
        self.assertIn('"late_groups"', line)

    def test_wrong_types_and_unknown_fields_are_reported_at_once(self):
        self.assert_fields(
            ['weighs_more', 'weigh_more', 'trainers[0].share'],
            ('"weighs_more"', '"weigh_more"'),
            ('"share": 1', '"share": "one"'),
        )

    def test_entry_hosts_in_one_failure_domain_are_refused(self):
        self.assert_fields(
            ['places.entry_hosts'],
            (
                '"failure_domain": "hu-central-b"',
                '"failure_domain": "hu-central-a"',
            ),
            (
                '"failure_domain": "hu-central-c"',
                '"failure_domain": "hu-central-a"',
            ),
        )

    def test_service_without_replica_and_invalid_address_are_refused(self):
        self.assert_fields(
            ['services[1].name', 'platform.host_list'],
            ('"kind": "plain"', '"kind": "plain"'),
            (
                '"name": "notes-portal",\n      "kind"',
                '"name": "notes-archive",\n      "kind"',
            ),
            ('"127.10.0.1:7401"', '"127.10.0.256:7401"'),
            *[('"service": "notes-portal"', '"service": "drafter-llm"')] * 3,
        )
