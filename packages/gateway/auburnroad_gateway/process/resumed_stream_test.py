"""Tests of streams that callers take up again at another gateway.

Gateways on loopback share a log. Replicas run two versions of their software;
the data of an event tells which. A stream stops after its first events until
its caller leaves.
"""

import asyncio
import json
import unittest

import msgspec

from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import registration
from auburnroad_gateway.process import gateway
from auburnroad_gateway.process import gateway_test
from auburnroad_standins import partition_log
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

VERSIONS = ('v1', 'v2')
EVENTS = 6
FIRST_EVENTS = 2
STREAMS = 8
REFUSED_STATUS = 503
CONFIGURATION = configuration.Configuration(
    1,
    (
        configuration.Route(
            'stream',
            'h',
            '/s/',
            configuration.RouteKind.STREAM,
            (configuration.Backend('s'),),
            timeout_ms=2000,
            max_attempts=2,
            resumable=True,
        ),
    ),
    {'s': configuration.Service('s')},
)


class Replica:
    """A replica of one software version."""

    def __init__(self, replica_id, software, logs):
        self._id = replica_id
        self._software = software
        self._logs = logs
        self._server = server.HttpServer(self._answer)

    async def start(self):
        host, port = await self._server.start('127.0.0.1', 0)
        self._address = f'{host}:{port}'
        self._register()

    async def restart(self, software):
        """Start anew under the same id and address."""
        self._software = software
        self._register()

    def _register(self):
        entry = {
            'id': self._id,
            'service': 's',
            'address': self._address,
            'failure_domain': 'a',
            'slots': 32,
            'state': 'ready',
            'software_version': self._software,
        }
        for log in self._logs:
            log.put(
                plain_adapter.PlainAdapter.replica_topic,
                self._id,
                json.dumps(entry).encode(),
            )

    async def close(self):
        await self._server.close()

    async def _answer(self, request):
        headers = {'signed': '1', 'id': request.headers.get('id', '')}
        first = int(request.headers.get('after', -1)) + 1
        return messages.Response(200, headers, chunks=self._generate(first))

    async def _generate(self, first):
        for number in range(first, EVENTS):
            if number == FIRST_EVENTS and not first:
                await asyncio.Event().wait()
            data = f'{self._software}.{number}'
            yield scripted_replicas.build_event(number, data)


class StreamTestCase(unittest.IsolatedAsyncioTestCase):
    """Gateways on one log, and replicas of two software versions."""

    async def asyncSetUp(self):
        self.log = partition_log.PartitionLog()
        # Nothing that a gateway writes there reaches the others.
        self.own_log = partition_log.PartitionLog()
        logs = (self.log, self.own_log)
        for log in logs:
            log.put(
                plain_adapter.PlainAdapter.operator_topic,
                'configuration',
                msgspec.json.encode(CONFIGURATION),
            )
        self.logs = logs
        self.replicas = []

    async def add_replicas(self, software):
        for number in range(2):
            replica = Replica(f'{software}-{number}', software, self.logs)
            await replica.start()
            self.replicas.append(replica)
            self.addAsyncCleanup(replica.close)

    def remove_replicas(self, software):
        """Remove the registrations of a version; its replicas serve on."""
        for number in range(2):
            self.log.put(
                plain_adapter.PlainAdapter.replica_topic,
                f'{software}-{number}',
                b'',
            )

    async def start_gateway(self, name, busy_version='', log=None, replicas=4):
        subject = gateway.Gateway(
            gateway_test.build_settings(name),
            gateway_test.Adapter(log or self.log),
        )
        await subject.start()
        self.addAsyncCleanup(subject.close)
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while len(subject._directory.list_ready('s')) != replicas:
                await asyncio.sleep(0.01)
        for target in subject._directory.list_ready('s'):
            if target.release.software_version == busy_version:
                target.in_flight += STREAMS
        return subject

    async def read(self, subject, count, **headers):
        """Read a status and the first events of a stream, and leave."""
        host, _, port = subject.addresses['callers'].rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = ''.join(f'{k}: {v}\r\n' for k, v in headers.items())
        writer.write(f'GET /s/x HTTP/1.1\r\nhost: h\r\n{fields}\r\n'.encode())
        data = []
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
            status = int(head.split()[1])
            while status == 200 and len(data) < count:
                line = await reader.readline()
                if line.startswith(b'data: '):
                    data.append(line.decode().split()[1])
                elif not line:
                    break
        writer.close()
        return status, data

    async def go_on(self, subject, begun_by):
        """Take a stream up after its first events.

        Returns:
          The status of the answer, and the software versions of the events.
        """
        headers = {'resumes': begun_by} if begun_by else {}
        status, data = await self.read(
            subject,
            EVENTS - FIRST_EVENTS,
            id=f'after {begun_by}',
            after=FIRST_EVENTS - 1,
            **headers,
        )
        return status, {entry.partition('.')[0] for entry in data}


class ResumedStreamTest(StreamTestCase):
    """Two gateways and two replicas of each software version.

    By their load the first gateway prefers replicas of the first version, the
    other one those of the second.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for software in VERSIONS:
            await self.add_replicas(software)

    async def take_up(self, first, second, number):
        """Begin a stream at one gateway and go on at another.

        Returns:
          The status of the second answer, and the software versions of all
          events.
        """
        begun = f'begun{number}'
        _, data = await self.read(first, FIRST_EVENTS, id=begun)
        status, rest = await self.go_on(second, begun)
        return status, {entry.partition('.')[0] for entry in data} | rest

    async def take_up_all(self, first, second):
        return await asyncio.gather(
            *(self.take_up(first, second, n) for n in range(STREAMS))
        )

    async def test_stream_goes_on_at_the_version_that_began_it(self):
        """The other gateway chose a replica by its load alone."""
        first = await self.start_gateway('one', 'v2')
        second = await self.start_gateway('two', 'v1')
        for status, versions in await self.take_up_all(first, second):
            self.assertEqual((200, {'v1'}), (status, versions))

    async def test_gateway_out_of_touch_refuses_what_it_does_not_know(self):
        """It joined events of two versions, as it knew of none."""
        first = await self.start_gateway('one', 'v2')
        second = await self.start_gateway('two', 'v1', self.own_log)
        self.own_log.down = True
        for status, versions in await self.take_up_all(first, second):
            self.assertEqual((REFUSED_STATUS, {'v1'}), (status, versions))

    async def test_gateway_that_starts_later_knows_the_version(self):
        """Versions must be known to gateways that did not hear of them."""
        first = await self.start_gateway('one', 'v2')
        _, data = await self.read(first, FIRST_EVENTS, id='begun')
        await self.read(first, FIRST_EVENTS, id='other')
        await asyncio.sleep(0.5)
        await first.close()
        second = await self.start_gateway('two', 'v1')
        status, rest = await self.go_on(second, 'begun')
        versions = {entry.partition('.')[0] for entry in data} | rest
        self.assertEqual((200, {'v1'}), (status, versions))


class LostGatewaysTest(StreamTestCase):
    """All gateways are lost at once, near the end of the first version.

    The replicas of both versions serve all the while, so that only what the
    gateways know keeps a stream from going on at the wrong ones.
    """

    async def begin(self, subject):
        """Begin a stream at the first version, and lose its gateway."""
        _, data = await self.read(subject, FIRST_EVENTS, id='begun')
        self.assertEqual(['v1.0', 'v1.1'], data)
        await subject.close()

    async def check_not_joined(self, subject):
        """Take the stream up in all ways; it goes on at its version, if ever.

        Returns:
          The statuses of the answers.
        """
        statuses = []
        for begun_by in ('begun', 'lost', ''):
            status, versions = await self.go_on(subject, begun_by)
            if status != REFUSED_STATUS:
                self.assertEqual((200, {'v1'}), (status, versions))
            statuses.append(status)
        return statuses

    async def test_version_that_went_with_the_gateways(self):
        """One version was left, and the rest of the stream came from it."""
        await self.add_replicas('v1')
        await self.begin(await self.start_gateway('one', replicas=2))
        self.remove_replicas('v1')
        await self.add_replicas('v2')
        subject = await self.start_gateway('two', replicas=2)
        self.assertEqual(
            [REFUSED_STATUS] * 3, await self.check_not_joined(subject)
        )

    async def test_version_that_goes_after_the_gateways_are_back(self):
        await self.add_replicas('v1')
        await self.add_replicas('v2')
        await self.begin(await self.start_gateway('one', 'v2'))
        subject = await self.start_gateway('two', 'v1')
        statuses = await self.check_not_joined(subject)
        # The stream's release is in the log before its first event.
        self.assertEqual([200, REFUSED_STATUS, REFUSED_STATUS], statuses)
        self.remove_replicas('v1')
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while len(subject._directory.list_ready('s')) != 2:
                await asyncio.sleep(0.01)
        self.assertEqual(
            [REFUSED_STATUS] * 3, await self.check_not_joined(subject)
        )

    async def test_only_version_goes_on_whatever_was_shared(self):
        """No truth asks for a refusal where there is one version."""
        await self.add_replicas('v1')
        await self.begin(await self.start_gateway('one', replicas=2))
        subject = await self.start_gateway('two', replicas=2)
        self.assertEqual([200] * 3, await self.check_not_joined(subject))

    async def test_gateway_that_reads_on_knows_the_version_that_went(self):
        """It saw the replicas of both versions come and go."""
        await self.add_replicas('v1')
        watching = await self.start_gateway('two', replicas=2)
        await self.begin(await self.start_gateway('one', replicas=2))
        self.remove_replicas('v1')
        await self.add_replicas('v2')
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while watching._forwarder.list_releases(
                CONFIGURATION.routes[0]
            ) != {registration.Release('s', 'v2')}:
                await asyncio.sleep(0.01)
        statuses = await self.check_not_joined(watching)
        self.assertEqual([REFUSED_STATUS] * 3, statuses)


class StandingLog:
    """Log whose calls and answers wait while their gateway stands still."""

    def __init__(self, log):
        self._log = log
        self.moving = asyncio.Event()
        self.moving.set()

    def __getattr__(self, name):
        call = getattr(self._log, name)

        async def wait(*arguments):
            await self.moving.wait()
            result = await call(*arguments)
            await self.moving.wait()
            return result

        return wait


class OutOfStepTest(StreamTestCase):
    """One gateway stands still while the other one begins streams."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.add_replicas('v1')
        self.standing = StandingLog(self.log)
        self.first = await self.start_gateway('one', replicas=2)
        self.second = await self.start_gateway(
            'two', log=self.standing, replicas=2
        )

    async def begin(self, software):
        """Begin a stream of a software version at the first gateway."""
        async with asyncio.timeout(gateway_test.TIMEOUT_SECONDS):
            while len(self.first._directory.list_ready('s')) != 4:
                await asyncio.sleep(0.01)
        for target in self.first._directory.list_ready('s'):
            if target.release.software_version != software:
                target.in_flight += STREAMS
        _, data = await self.read(self.first, FIRST_EVENTS, id='begun')
        self.assertEqual([f'{software}.0', f'{software}.1'], data)

    async def take_up(self, begun_by):
        """Take a stream up at the second gateway while it moves again."""
        taken = asyncio.create_task(self.go_on(self.second, begun_by))
        await asyncio.sleep(0.05)
        self.standing.moving.set()
        return await taken

    async def test_stream_of_a_release_that_joined_meanwhile(self):
        """It went on at the one release that the gateway knew."""
        for begun_by in ('begun', 'unknown', ''):
            with self.subTest(begun_by=begun_by):
                self.standing.moving.clear()
                await self.add_replicas('v2')
                await self.begin('v2')
                status, versions = await self.take_up(begun_by)
                if status != REFUSED_STATUS:
                    self.assertEqual((200, {'v2'}), (status, versions))

    async def test_replica_that_was_started_anew_with_another_release(self):
        """It was believed to run the release of its last registration."""
        await self.read(self.first, FIRST_EVENTS, id='begun')
        await asyncio.sleep(0.3)
        self.standing.moving.clear()
        for replica in self.replicas:
            await replica.restart('v2')
        status, versions = await self.take_up('begun')
        self.assertEqual((REFUSED_STATUS, set()), (status, versions))
