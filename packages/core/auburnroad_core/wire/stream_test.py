"""Tests of one stream over loopback: heartbeats, their answers, silence."""

import asyncio
import unittest

from auburnroad_core import types
from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream

HELLO = messages.Hello('d', 'i', 'entry', 'h', 'f', -1, [])


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """The end that connects sends heartbeats, the other one answers."""

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
        for one, handle, build in (
            (self.opener, handle_entry, self.build_entry_heartbeat),
            (self.side, handle_side, self.build_side_heartbeat),
        ):
            task = asyncio.ensure_future(one.run(handle, build))
            self.addCleanup(task.cancel)

    async def test_a_heartbeat_that_says_nothing_new_arrives_whole(self):
        found = asyncio.Queue()
        self.run_both(lambda _, m: found.put_nowait(m), lambda _, m: None)
        first = await found.get()
        self.assertEqual(self.build_side_heartbeat(), first)
        read = self.opener.bytes_in
        self.assertEqual(first, await found.get())
        alive = len(codec.encode_message(messages.Alive()))
        self.assertEqual(alive, self.opener.bytes_in - read)
        self.load = 5
        while (await found.get()) != self.build_side_heartbeat():
            pass

    async def test_an_end_that_hears_nothing_closes(self):
        task = asyncio.ensure_future(
            self.side.run(lambda _, m: None, self.build_side_heartbeat)
        )
        await task
        self.assertTrue(self.side.closed)

    async def test_alive_without_a_heartbeat_before_it_is_hostile(self):
        self.opener.send(messages.Alive())
        with self.assertRaises(codec.WireError):
            await self.side.run(lambda _, m: None, self.build_side_heartbeat)


class ComputeWaitTest(unittest.TestCase):
    """All streams of a process send at the same moments."""

    def test_waits_end_at_the_same_moments(self):
        interval = stream.HEARTBEAT_SECONDS
        for now in (0.0, 0.1, 0.3, 7.77):
            end = now + stream.compute_wait_seconds(now)
            again = end + stream.compute_wait_seconds(end - 1e-6)
            self.assertAlmostEqual(interval, again - end, 4)


if __name__ == '__main__':
    unittest.main()
