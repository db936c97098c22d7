"""Tests of the relay."""

import asyncio
import contextlib
import unittest

from auburnroad_e2e.launch import relay


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Connections are carried, cut or silenced."""

    async def asyncSetUp(self):
        async def echo(reader, writer):
            with contextlib.suppress(asyncio.CancelledError, OSError):
                while data := await reader.read(100):
                    writer.write(data)
            writer.close()

        self.server = await asyncio.start_server(echo, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.relay = relay.Relay('127.0.0.1:0', f'127.0.0.1:{port}')
        await self.relay.start()
        self.addAsyncCleanup(self.relay.close)
        self.addCleanup(self.server.close)

    async def open(self):
        port = self.relay._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        self.addCleanup(writer.close)
        return reader, writer

    async def say(self, pair, word):
        pair[1].write(word)
        return await pair[0].readexactly(len(word))

    async def test_carries_both_ways(self):
        self.assertEqual(b'one', await self.say(await self.open(), b'one'))

    async def test_a_silent_connection_stays_open_and_new_ones_work(self):
        old = await self.open()
        await self.say(old, b'one')
        self.relay.silence(relay.Direction.FROM, lasting=False)
        old[1].write(b'two')
        new = await self.open()
        self.assertEqual(b'three', await self.say(new, b'three'))
        waiting = asyncio.ensure_future(old[0].read(1))
        await asyncio.wait([waiting], timeout=0.05)
        self.assertFalse(waiting.done())
        waiting.cancel()

    async def test_a_cut_breaks_what_is_open_and_refuses_new_ones(self):
        old = await self.open()
        await self.say(old, b'one')
        self.relay.cut()
        for pair in (old, await self.open()):
            with self.assertRaises((OSError, asyncio.IncompleteReadError)):
                await self.say(pair, b'two')
        self.relay.heal()
        self.assertEqual(b'4', await self.say(await self.open(), b'4'))
