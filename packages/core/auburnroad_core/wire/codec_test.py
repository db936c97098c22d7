"""Tests of the codec: whole messages, pieces of them, and hostile bytes."""

import unittest

import msgpack

from auburnroad_core import types
from auburnroad_core.wire import codec
from auburnroad_core.wire import messages

CHUNK = messages.Chunk('r.1', 3, 'text', [types.VersionSpan(7, 0, 4)])
DONE = messages.Done(
    'r.1', types.Outcome.RUN, 200, {'a': 'b'}, b'\x00\xff', replica='x'
)
HEARTBEAT = messages.Heartbeat(
    5, False, [types.HostLoad('s', 8, 1, 0, 1)], {'m': 2}
)
MESSAGES = [CHUNK, DONE, HEARTBEAT]


class DecoderTest(unittest.TestCase):
    """Bytes become the messages that were sent, or an error."""

    def test_messages_come_whole_from_single_bytes(self):
        data = b''.join(codec.encode_message(m) for m in MESSAGES)
        decoder = codec.Decoder()
        found = [m for byte in data for m in decoder.feed(bytes([byte]))]
        self.assertEqual(MESSAGES, found)

    def test_what_is_no_message_of_ours_is_hostile(self):
        for value in (
            [],
            {},
            None,
            7,
            [99],
            [True, 'r', 0, '', []],
            [[5], 'r', 0, '', []],
            ['5', 'r', 0, '', []],
            [5, 'r', 'zero', '', []],
            [5, 'r'],
            [2, 1, False, [['s', 8, 'many', 0, 1]]],
        ):
            with self.subTest(value), self.assertRaises(codec.WireError):
                codec.Decoder().feed(msgpack.packb(value))

    def test_a_message_over_the_limit_is_hostile(self):
        data = codec.encode_message(messages.Cancel('r' * 1000))
        with self.assertRaises(codec.WireError):
            codec.Decoder(max_message_bytes=100).feed(data)


if __name__ == '__main__':
    unittest.main()
