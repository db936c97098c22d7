"""Tests of how a side fetches a configuration that no entry has sent."""

import asyncio
import unittest

import msgspec

from auburnroad_core.log import records
from auburnroad_core.platform import log_service
from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_daemon.process import side_test
from auburnroad_daemon.version import configuration_fallback

HELLO = messages.Hello('d', 'i', 'side', 'h', 'a', -1, [])


class FakeLog:
    """Log service with one stream; unavailable if its entries are None."""

    def __init__(self, entries):
        self.entries = entries

    async def read(self, stream, from_offset, wait_seconds):
        if self.entries is None:
            raise log_service.LogUnavailableError('down')
        found = [e for e in self.entries if e.offset >= from_offset]
        return log_service.Batch(0, len(self.entries), found)


class FallbackTest(unittest.IsolatedAsyncioTestCase):
    """The highest revision of the peers is used; the log is the fallback."""

    async def start_peer(self, revision):
        async def accept(reader, writer):
            decoder = codec.Decoder()
            asked = False
            while not asked and (data := await reader.read(1024)):
                asked = HELLO in decoder.feed(data)
            answer = messages.Configuration(revision, b'{}')
            writer.write(codec.encode_message(answer))
            writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def test_highest_revision_of_peers_is_chosen(self):
        peers = ['127.0.0.1:1', await self.start_peer(4)]
        peers.insert(0, await self.start_peer(3))
        found = await configuration_fallback.ask_peers(peers, lambda: HELLO)
        self.assertEqual(4, found.revision)

    async def test_log_yields_configuration_in_force(self):
        document = msgspec.Raw(side_test.build_deployment())
        publish = records.Publish(-1, 'a', 0, '', document, msgspec.Raw(b'{}'))
        conflicting = msgspec.structs.replace(publish, author='b')
        log = FakeLog(
            [
                records.Entry(n, str(n), msgspec.Raw(msgspec.json.encode(r)))
                for n, r in enumerate((publish, conflicting))
            ]
        )
        found = await configuration_fallback.read_log(log)
        self.assertEqual(0, found.revision)
        self.assertEqual(bytes(document), found.document)

    async def test_unavailable_or_empty_log_yields_none(self):
        for entries in (None, []):
            found = await configuration_fallback.read_log(FakeLog(entries))
            self.assertIsNone(found)
