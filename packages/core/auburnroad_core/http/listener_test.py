"""Tests of what a connection attempt tells about a server."""

import asyncio
import unittest

from auburnroad_core.http import listener

TIMEOUT_SECONDS = 5.0


class FindListenerTest(unittest.IsolatedAsyncioTestCase):
    """A server that listens, one that has ended, and an address of none."""

    async def start(self, handle):
        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        return server, f'{host}:{port}'

    async def find(self, address):
        return await listener.find_listener(address, TIMEOUT_SECONDS)

    async def test_server_that_listens_is_listening(self):
        async def keep(reader, writer):
            await reader.read()
            writer.close()

        _, address = await self.start(keep)
        self.assertIs(listener.Listener.LISTENING, await self.find(address))

    async def test_server_that_resets_connections_is_listening(self):
        """A full replica accepts a connection before it resets it."""

        async def reset(reader, writer):
            writer.transport.abort()

        _, address = await self.start(reset)
        self.assertIs(listener.Listener.LISTENING, await self.find(address))

    async def test_closed_server_has_ended(self):
        async def ignore(reader, writer):
            writer.close()

        server, address = await self.start(ignore)
        server.close()
        await server.wait_closed()
        self.assertIs(listener.Listener.ENDED, await self.find(address))

    async def test_invalid_address_is_unreachable(self):
        self.assertIs(listener.Listener.UNREACHABLE, await self.find('x:y'))
