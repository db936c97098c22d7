"""Tests that data of other programs is decoded or rejected, never more.

An error of another type than a caller handles ends whatever the caller does.
"""

import json
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from auburnroad_core import decoding


class _Value(msgspec.Struct):
    count: decoding.Count = 0
    span: decoding.Duration = 0.0
    values: list[str] = []


ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=8,
)


class DecodeTest(unittest.TestCase):
    """Well-formed and malformed values of one type."""

    def check(self, decode, data):
        try:
            value = decode(data, _Value)
        except msgspec.DecodeError:
            return
        self.assertLessEqual(value.count, decoding.MAX_INTEGER)
        msgspec.msgpack.encode(value)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(strategies.binary())
    def test_any_bytes_are_decoded_or_rejected(self, data):
        self.check(decoding.decode_json, data)
        self.check(decoding.decode_msgpack, data)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(('count', 'span', 'values', 'other')),
            ANY_JSON,
        )
    )
    def test_any_fields_are_decoded_or_rejected(self, fields):
        self.check(decoding.decode_json, json.dumps(fields).encode())

    def test_deep_nesting_is_rejected(self):
        """msgspec raises RecursionError, also for fields that it skips."""
        for field in ('values', 'other'):
            text = '{"%s":%s%s}' % (field, '[' * 3000, ']' * 3000)
            with self.assertRaises(msgspec.DecodeError):
                decoding.decode_json(text.encode(), _Value)
        with self.assertRaises(msgspec.DecodeError):
            decoding.decode_msgpack(b'\x91' * 3000 + b'\x90', list[list])

    def test_numbers_out_of_range_are_rejected(self):
        for text in (
            '{"count":-1}',
            '{"count":9007199254740992}',
            '{"count":%s}' % ('9' * 5000),
            '{"span":-1}',
            '{"span":1e300}',
            '{"span":1e999}',
        ):
            with self.assertRaises(msgspec.DecodeError, msg=text[:40]):
                decoding.decode_json(text.encode(), _Value)


class ParseTest(unittest.TestCase):
    """Counts and addresses in texts."""

    def test_count_is_parsed(self):
        self.assertEqual(0, decoding.parse_count('0'))
        self.assertEqual(
            decoding.MAX_INTEGER,
            decoding.parse_count(str(decoding.MAX_INTEGER)),
        )
        for text in ('', '-1', '1.0', ' 1', '\u0661', '9' * 5000, str(2**53)):
            self.assertIsNone(decoding.parse_count(text), text[:40])

    def test_addresses_of_hosts_are_recognized(self):
        for address in ('10.1.0.10:8263', '127.0.0.1:1', '10.0.0.1:65535'):
            self.assertTrue(decoding.is_host_address(address), address)
        for address in (
            '',
            ':80',
            '10.0.0.1',
            '10.0.0.1:',
            '10.0.0.1:0',
            '10.0.0.1:65536',
            '10.0.0.1:-1',
            '10.0.0:80',
            'host:80',
            '0.0.0.0:80',
            '[::1]:80',
        ):
            self.assertFalse(decoding.is_host_address(address), address)
