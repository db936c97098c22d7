"""Tests of streams whose other end is silent, slow or hostile."""

import asyncio
import unittest
from unittest import mock

from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream as streams

TIMEOUT_SECONDS = 10.0
HELLO = messages.Hello('d', 'i', 'entry', 'h', 'a', -1, [])


def build_heartbeat():
    return messages.Heartbeat(1, False)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """A stream ends when its other end does, in whatever way."""

    async def asyncSetUp(self):
        self.accepted = asyncio.get_running_loop().create_future()
        self.server = await asyncio.start_server(
            lambda *pair: self.accepted.set_result(pair), '127.0.0.1', 0
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.stream = await streams.open_stream(f'{host}:{port}', HELLO)
        self.reader, self.writer = await self.accepted
        self.received = []

    async def asyncTearDown(self):
        self.stream.close()
        self.writer.transport.abort()
        self.server.close()

    def handle(self, stream, message):
        self.received.append(message)

    async def run_stream(self):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.stream.run(self.handle, build_heartbeat)

    async def test_a_silent_peer_is_given_up_although_it_is_connected(self):
        with (
            mock.patch.object(streams, 'HEARTBEAT_SECONDS', 0.02),
            mock.patch.object(streams, 'SILENCE_SECONDS', 0.1),
        ):
            await self.run_stream()
        self.assertTrue(self.stream.closed)
        self.assertEqual([], self.received)

    async def test_hostile_bytes_end_the_stream_with_an_error(self):
        self.writer.write(b'\xc1\xc1\xc1')
        with self.assertRaises(codec.WireError):
            await self.run_stream()
        self.assertTrue(self.stream.closed)

    async def test_a_truncated_message_is_never_handled(self):
        self.writer.write(codec.encode_message(build_heartbeat())[:-1])
        self.writer.close()
        await self.run_stream()
        self.assertEqual([], self.received)

    async def test_heartbeats_go_out_while_nothing_else_does(self):
        work = asyncio.create_task(self.run_stream())
        decoder = codec.Decoder()
        seen = []
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(seen) < 2:
                seen.extend(decoder.feed(await self.reader.read(100)))
        self.assertEqual([HELLO, build_heartbeat()], seen)
        self.stream.close()
        await work

    async def test_a_closed_stream_drops_what_is_sent(self):
        self.stream.close()
        self.stream.send(build_heartbeat())
        self.assertTrue(self.stream.closed)
