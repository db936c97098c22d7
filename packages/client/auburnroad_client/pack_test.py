"""Tests of packed answers."""

import unittest

import msgspec

from auburnroad_client import deployments
from auburnroad_client import pack
from auburnroad_client.questionnaire import answer_checks


class UnpackAnswersTest(unittest.TestCase):
    """Packed answers are restored, and invalid text raises PackError."""

    def test_packed_and_plain_answers_are_read(self):
        path = deployments.find_answers('kehys')
        answers = answer_checks.read_answers(path)
        packed = pack.pack_answers(answers)
        plain = msgspec.json.decode(msgspec.json.encode(answers))
        self.assertEqual(plain, pack.unpack_answers(packed))
        self.assertLess(len(bytes(packed)), len(msgspec.json.encode(plain)))
        self.assertEqual(
            {'a': 1}, pack.unpack_answers(msgspec.Raw(b'{"a":1}'))
        )

    def test_invalid_or_truncated_text_is_refused(self):
        whole = bytes(pack.pack_answers(read_answers()))
        for text in (b'"!"', b'"AAAA"', b'{', whole[:-9] + b'"', b'""'):
            with self.subTest(text[:20]), self.assertRaises(pack.PackError):
                pack.unpack_answers(msgspec.Raw(text))


def read_answers():
    """Read one of the shipped answers files."""
    return answer_checks.read_answers(deployments.find_answers('kiadasi'))
