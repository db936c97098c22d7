"""Tests the heartbeats of a stream, and silent and malicious peers."""

import asyncio
import unittest
from unittest import mock

from auburnroad_core import types
from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream

HELLO = messages.Hello('d', 'i', 'entry', 'h', 'f', -1, [])
TIMEOUT_SECONDS = 10.0


def build_heartbeat():
    return messages.Heartbeat(1, False)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """The connecting end sends heartbeats, the accepting end responds."""

    async def asyncSetUp(self):
        self.accepted = asyncio.get_running_loop().create_future()
        server = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.opener = await stream.open_stream(f'127.0.0.1:{port}', HELLO)
        self.addCleanup(self.opener.close)
        self.side = await self.accepted
        self.addCleanup(self.side.close)
        self.load = 0

    async def accept(self, reader, writer):
        self.accepted.set_result(stream.Stream(reader, writer))

    def build_entry_heartbeat(self):
        return messages.Heartbeat(3, False)

    def build_side_heartbeat(self):
        loads = [types.HostLoad('s', 8, self.load, 0, 1)]
        return messages.Heartbeat(3, False, loads)

    def run_both(self, handle_entry, handle_side):
        for end, handle, build in (
            (self.opener, handle_entry, self.build_entry_heartbeat),
            (self.side, handle_side, self.build_side_heartbeat),
        ):
            task = asyncio.ensure_future(end.run(handle, build))
            self.addCleanup(task.cancel)

    async def test_unchanged_heartbeat_is_handled_with_all_fields(self):
        received = asyncio.Queue()
        self.run_both(lambda _, m: received.put_nowait(m), lambda _, m: None)
        first = await received.get()
        self.assertEqual(self.build_side_heartbeat(), first)
        read = self.opener.bytes_in
        self.assertEqual(first, await received.get())
        alive = len(codec.encode_message(messages.Alive()))
        self.assertEqual(alive, self.opener.bytes_in - read)
        self.load = 5
        while (await received.get()) != self.build_side_heartbeat():
            pass

    async def test_stream_without_received_data_is_closed(self):
        task = asyncio.ensure_future(
            self.side.run(lambda _, m: None, self.build_side_heartbeat)
        )
        await task
        self.assertTrue(self.side.closed)

    async def test_alive_before_any_heartbeat_is_an_error(self):
        self.opener.send(messages.Alive())
        with self.assertRaises(codec.WireError):
            await self.side.run(lambda _, m: None, self.build_side_heartbeat)


class ComputeWaitTest(unittest.TestCase):
    """All streams of a process send at the same moments."""

    def test_waits_end_at_common_send_times(self):
        interval = stream.HEARTBEAT_SECONDS
        for now in (0.0, 0.1, 0.3, 7.77):
            end = now + stream.compute_wait_seconds(now)
            again = end + stream.compute_wait_seconds(end - 1e-6)
            self.assertAlmostEqual(interval, again - end, 4)


class BadPeerTest(unittest.IsolatedAsyncioTestCase):
    """A stream ends when its peer is silent, malicious or closed."""

    async def asyncSetUp(self):
        self.accepted = asyncio.get_running_loop().create_future()
        self.server = await asyncio.start_server(
            lambda *pair: self.accepted.set_result(pair), '127.0.0.1', 0
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.opener = await stream.open_stream(f'{host}:{port}', HELLO)
        self.reader, self.writer = await self.accepted
        self.received = []

    async def asyncTearDown(self):
        self.opener.close()
        self.writer.transport.abort()
        self.server.close()

    def handle(self, _, message):
        self.received.append(message)

    async def run_stream(self):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.opener.run(self.handle, build_heartbeat)

    async def test_stream_of_silent_connected_peer_is_closed(self):
        with (
            mock.patch.object(stream, 'HEARTBEAT_SECONDS', 0.02),
            mock.patch.object(stream, 'SILENCE_SECONDS', 0.1),
        ):
            await self.run_stream()
        self.assertTrue(self.opener.closed)
        self.assertEqual([], self.received)

    async def test_invalid_bytes_end_the_stream_with_an_error(self):
        self.writer.write(b'\xc1\xc1\xc1')
        with self.assertRaises(codec.WireError):
            await self.run_stream()
        self.assertTrue(self.opener.closed)

    async def test_truncated_message_is_never_handled(self):
        self.writer.write(codec.encode_message(build_heartbeat())[:-1])
        self.writer.close()
        await self.run_stream()
        self.assertEqual([], self.received)

    async def test_heartbeats_are_sent_on_an_idle_stream(self):
        work = asyncio.create_task(self.run_stream())
        decoder = codec.Decoder()
        seen = []
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(seen) < 2:
                seen.extend(decoder.feed(await self.reader.read(100)))
        self.assertEqual([HELLO, build_heartbeat()], seen)
        self.opener.close()
        await work

    async def test_closed_stream_drops_messages(self):
        self.opener.close()
        self.opener.send(build_heartbeat())
        self.assertTrue(self.opener.closed)
