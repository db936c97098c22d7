"""Tests the message codec, also with malicious and truncated bytes."""

import unittest

import hypothesis
from hypothesis import strategies
import msgpack

from auburnroad_core import types
from auburnroad_core.wire import codec
from auburnroad_core.wire import messages

SUBMIT = messages.Submit(
    'id',
    'svc',
    types.RequestClass.SAMPLE,
    5,
    True,
    False,
    'POST',
    '/',
    {'a': 'b'},
    b'\x00body',
)
DONE = messages.Done(
    'id',
    types.Outcome.RUN,
    200,
    spans=[types.VersionSpan(3, 0, 4)],
    loads=[types.HostLoad('svc', 8, 1, 2, 1)],
)


class DecoderTest(unittest.TestCase):
    """A decoder returns the encoded messages or raises a WireError."""

    def test_messages_split_at_any_byte_are_decoded(self):
        data = codec.encode_message(SUBMIT) + codec.encode_message(DONE)
        for cut in range(len(data)):
            decoder = codec.Decoder()
            decoded = decoder.feed(data[:cut]) + decoder.feed(data[cut:])
            self.assertEqual([SUBMIT, DONE], decoded)

    def test_wrong_types_and_tags_are_errors(self):
        for value in (
            ['no tag'],
            [99],
            [2, 'x', False],
            {'tag': 2},
            7,
            [],
            None,
            [True, 'r', 0, '', []],
            [[5], 'r', 0, '', []],
            ['5', 'r', 0, '', []],
            [5, 'r', 'zero', '', []],
            [5, 'r'],
            [2, 1, False, [['s', 8, 'many', 0, 1]]],
            [4, 'id'],
        ):
            with self.subTest(value=value):
                with self.assertRaises(codec.WireError):
                    codec.Decoder().feed(msgpack.packb(value))

    def test_message_over_the_size_limit_is_an_error(self):
        decoder = codec.Decoder(max_message_bytes=1000)
        with self.assertRaises(codec.WireError):
            decoder.feed(codec.encode_message(SUBMIT)[:20] + b'x' * 2000)

    def test_deep_nesting_is_an_error(self):
        with self.assertRaises(codec.WireError):
            codec.Decoder().feed(b'\x91' * 100_000 + b'\x01')

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes_are_messages_or_an_error(self, data):
        try:
            decoded = codec.Decoder().feed(data)
        except codec.WireError:
            return
        for message in decoded:
            self.assertIsInstance(message, messages.Message)

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.data())
    def test_changed_byte_raises_at_most_a_wire_error(self, data):
        encoded = bytearray(codec.encode_message(SUBMIT))
        index = data.draw(strategies.integers(0, len(encoded) - 1))
        encoded[index] = data.draw(strategies.integers(0, 255))
        try:
            codec.Decoder().feed(bytes(encoded))
        except codec.WireError:
            pass
