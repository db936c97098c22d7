"""Tests of gateways that get a request under which replicas crash.

Gateways on loopback share a log. A replica ends as soon as it begins to run
the request; a new start takes its place, under another id and address.
"""

import asyncio
import json
import unittest

import msgspec

from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_gateway.process import gateway
from auburnroad_gateway.process import gateway_test
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter

# More than can learn of the request by crashes of their own.
GATEWAYS = 'abcde'
REPLICAS = 4
POISON = '/q/poison'
# Crashes after which the request is known, and sends that are allowed later.
KNOWN_CRASHES = 3
ALLOWED_SENDS = 3
# Time within which each gateway that is in touch has to know.
CONTACT_SECONDS = 3.0
LATER_WAVES = 4


class CrashingReplica:
    """One start of a replica, which ends when it runs the request.

    Attributes:
      id: Id of the replica.
    """

    __slots__ = ('id', '_log', '_on_crash', '_server', '_closing')

    def __init__(self, replica_id, log, on_crash):
        self.id = replica_id
        self._log = log
        self._on_crash = on_crash
        self._server = server.HttpServer(self._answer)
        self._closing = None

    async def start(self):
        host, port = await self._server.start('127.0.0.1', 0)
        entry = {
            'id': self.id,
            'service': 's',
            'address': f'{host}:{port}',
            'failure_domain': 'a',
            'slots': 4,
            'state': 'ready',
        }
        self._log.put(
            plain_adapter.PlainAdapter.replica_topic,
            self.id,
            json.dumps(entry).encode(),
        )

    async def close(self):
        await self._server.close()

    async def _answer(self, request):
        if request.path != POISON:
            headers = {'signed': '1', 'id': request.headers.get('id', '')}
            return messages.Response(200, headers, b'ok')
        self._log.put(plain_adapter.PlainAdapter.replica_topic, self.id, b'')
        self._on_crash(self)
        # Ends this handler, too, so that it can't be awaited here.
        self._closing = asyncio.create_task(self.close())
        await asyncio.Event().wait()


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """Five gateways and four replicas, each of which is replaced."""

    async def asyncSetUp(self):
        self.log = partition_log.PartitionLog()
        self.crashed = []
        self.started = 0
        self.sent = 0
        self.log.put(
            plain_adapter.PlainAdapter.operator_topic,
            'configuration',
            msgspec.json.encode(gateway_test.CONFIGURATION),
        )
        await self.add_replicas(REPLICAS)

    async def add_replicas(self, count):
        for _ in range(count):
            replica = CrashingReplica(
                f'r{self.started}', self.log, self.crashed.append
            )
            self.started += 1
            await replica.start()
            self.addAsyncCleanup(replica.close)

    async def start_gateway(self, name):
        subject = gateway.Gateway(
            gateway_test.build_settings(name), gateway_test.Adapter(self.log)
        )
        await subject.start()
        self.addAsyncCleanup(subject.close)
        return subject

    async def send(self, subject, target=POISON):
        """Send a request; each client attempt has an id of its own.

        The addresses that it comes from take turns, too.
        """
        self.sent += 1
        host, _, port = subject.addresses['callers'].rpartition(':')
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=(f'127.0.0.{1 + self.sent % 3}', 0)
        )
        head = (
            f'POST {target} HTTP/1.1\r\nhost: h\r\nid: q{self.sent}\r\n'
            'connection: close\r\ncontent-length: 4\r\n\r\nbody'
        )
        writer.write(head.encode())
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            response = await reader.read()
        writer.close()
        return int(response.split()[1])

    async def play_wave(self, gateways):
        """Let the request come at each gateway, then replace replicas."""
        before = len(self.crashed)
        for subject in gateways:
            await self.send(subject)
        await self.add_replicas(len(self.crashed) - before)
        await asyncio.sleep(0.5)

    async def test_first_wave_leaves_half_of_the_replicas(self):
        """It took all four down at once, and all others were refused."""
        subject = await self.start_gateway('a')
        for _ in range(5):
            await self.send(subject)
        self.assertEqual(REPLICAS // 2, len(self.crashed))
        self.assertEqual(200, await self.send(subject, '/q/harmless'))

    async def test_first_wave_at_two_gateways_leaves_half(self):
        """The second one learns of the first ends from the log."""
        gateways = [await self.start_gateway(name) for name in 'ab']
        for subject in gateways:
            await self.send(subject)
            await asyncio.sleep(0.5)
        self.assertEqual(REPLICAS // 2, len(self.crashed))

    async def test_request_that_crashed_three_replicas_is_hardly_sent(self):
        """Each gateway sent it to two more replicas whenever it came."""
        gateways = [await self.start_gateway(name) for name in GATEWAYS]
        while len(self.crashed) < KNOWN_CRASHES:
            await self.play_wave(gateways)
        await asyncio.sleep(CONTACT_SECONDS)
        before = len(self.crashed)
        for _ in range(LATER_WAVES):
            await self.play_wave(gateways)
        self.assertLessEqual(len(self.crashed) - before, ALLOWED_SENDS)

    async def test_gateway_that_starts_later_hardly_sends_it(self):
        """A gateway that was started anew knew nothing of the crashes."""
        first = await self.start_gateway('a')
        while len(self.crashed) < KNOWN_CRASHES:
            await self.play_wave([first])
        await asyncio.sleep(CONTACT_SECONDS)
        await first.close()
        second = await self.start_gateway('b')
        await asyncio.sleep(CONTACT_SECONDS)
        before = len(self.crashed)
        for _ in range(LATER_WAVES):
            await self.play_wave([second])
        self.assertLessEqual(len(self.crashed) - before, ALLOWED_SENDS)
