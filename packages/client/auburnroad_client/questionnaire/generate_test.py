"""Tests of the files generated from the shipped answers."""

import math
import pathlib
import unittest

from auburnroad_client import deployments
from auburnroad_client.questionnaire import answer_checks
from auburnroad_client.questionnaire import files
from auburnroad_client.questionnaire import generate
from auburnroad_core.settings import check
from auburnroad_core.settings import daemon
from auburnroad_core.settings import deployment
from auburnroad_core.settings import source

HERE = pathlib.Path(__file__).parent


def read_shipped(name):
    """Read one of the shipped answers files."""
    return answer_checks.read_answers(deployments.find_answers(name))


class BuildFilesTest(unittest.TestCase):
    """The shipped answers generate the golden files, which daemons accept."""

    maxDiff = None

    def test_generated_files_equal_golden_files(self):
        for name in deployments.NAMES:
            built = files.build_files(read_shipped(name))
            text = ''.join(f'== {path}\n{built[path]}' for path in built)
            golden = HERE / f'{name}.golden'
            with self.subTest(name):
                self.assertEqual(golden.read_text(encoding='utf-8'), text)

    def test_generated_files_pass_the_checks_of_daemons(self):
        for name in deployments.NAMES:
            for path, text in files.build_files(read_shipped(name)).items():
                shape = deployment.Deployment
                if path.startswith(files.SETTINGS_DIRECTORY):
                    shape = daemon.Daemon
                document, _ = source.parse_text(text, path)
                with self.subTest(path):
                    _, records = check.check_document(document, shape)
                    self.assertEqual([], records)

    def test_generated_answers_file_parses_to_same_answers(self):
        for name in deployments.NAMES:
            answers = read_shipped(name)
            text = files.build_answers_file(answers)
            document, _ = source.parse_text(text, name)
            value, records = check.check_document(document, type(answers))
            self.assertEqual([], records)
            self.assertEqual(answers, value)


class BuildGroupFractionTest(unittest.TestCase):
    """The share of groups yields the exact number of groups to wait for.

    Floating-point errors of the product could add a group.
    """

    def test_product_rounds_to_the_groups_to_wait_for(self):
        for groups in range(1, 300):
            for late in range(groups):
                share = generate.build_group_fraction(groups, late)
                self.assertEqual(groups - late, math.ceil(groups * share))
                self.assertEqual(groups - late, round(groups * share))


class DeploymentSizesTest(unittest.TestCase):
    """The shipped deployments have the specified numbers of replicas."""

    def test_number_of_replicas_by_service(self):
        wanted = {
            'kiadasi': {'drafter-llm': 6, 'notes-portal': 3},
            'kehys': {'coder-llm': 5, 'frame-api': 4},
        }
        for name, sizes in wanted.items():
            counts = {}
            for settings in generate.build_daemons(read_shipped(name)):
                for replica in settings.replicas:
                    count = counts.get(replica.service, 0)
                    counts[replica.service] = count + 1
            self.assertEqual(sizes, counts)
