"""Tests of which client attempts have the same fingerprint."""

import unittest

from auburnroad_core.http import messages
from auburnroad_gateway.forwarding import fingerprint


def build_request(**fields):
    values = {
        'method': 'POST',
        'target': '/x?y=1',
        'headers': {'host': 'h', 'id': 'q1'},
        'body': b'body',
        **fields,
    }
    return messages.Request(**values)


class BuildFingerprintTest(unittest.TestCase):
    """Client attempts that differ in one field."""

    def is_same(self, **fields):
        return fingerprint.build_fingerprint(
            build_request()
        ) == fingerprint.build_fingerprint(build_request(**fields))

    def test_next_client_attempt_has_the_same_fingerprint(self):
        headers = {'host': 'h', 'id': 'q2', 'connection': 'close'}
        self.assertTrue(self.is_same(headers=headers))

    def test_other_request_has_another_fingerprint(self):
        for fields in (
            {'method': 'PUT'},
            {'target': '/x?y=2'},
            {'headers': {'host': 'other'}},
            {'body': b'other'},
        ):
            with self.subTest(fields):
                self.assertFalse(self.is_same(**fields))

    def test_bytes_that_move_between_fields_change_the_fingerprint(self):
        self.assertFalse(self.is_same(target='/x?y=1b', body=b'ody'))
