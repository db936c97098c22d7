"""Tests of one request that crashes replicas beside many harmless ones.

A request that is sent on while its first replica is probed takes down a whole
service at once, and a harmless one that waits for a whole probe is late.
"""

import asyncio
import json
import time
import unittest

from auburnroad_core.http import client
from auburnroad_core.http import listener
from auburnroad_core.http import messages
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import crash_watch
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.forwarding import requests_test
from auburnroad_gateway.log import service
from auburnroad_gateway.members import facts
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_standins import partition_log
from auburnroad_standins import permit_group
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

POISON = 'poison'
REGISTRATION = {
    'service': 's',
    'failure_domain': 'a',
    'slots': 50,
    'state': 'ready',
}
# Steps of the event loop that each run takes.
RUN_STEPS = 20
HARMLESS = 100
# Attempts that a caller makes before it gives up.
CALLER_ATTEMPTS = 200


class FakeService:
    """Replicas that end when they run one request, and the gateway's parts.

    Attributes:
      ended: Ids of the replicas that ended, in order.
      connects: Number of attempts to connect by a probe.
      probe_gate: Lets attempts to connect end.
      resets: Number of runs that end by a reset of their connection.
    """

    def __init__(self, count):
        self.ended = []
        self.connects = 0
        self.probe_gate = asyncio.Event()
        self.probe_gate.set()
        self.resets = 0
        self._starts = 0
        self._down: dict[str, asyncio.Event] = {}
        self.client = scripted_replicas.ScriptedClient()
        adapter = plain_adapter.PlainAdapter()
        self._directory = directory.Directory(adapter)
        self.watch = crash_watch.CrashWatch(
            facts.SharedFacts('host', partition_log.PartitionLog()),
            self.find_listener,
        )
        self._forwarder = requests.Forwarder(
            adapter,
            self.client,
            self._directory,
            'a',
            permit_group.PermitGroup('own').permits['own'],
            self.watch,
        )
        for number in range(count):
            self.start(f'r{number}')

    @property
    def up(self):
        return [name for name, down in self._down.items() if not down.is_set()]

    def start(self, name):
        """Start a replica and register it."""
        self._starts += 1
        self._down[name] = asyncio.Event()
        entry = {
            **REGISTRATION,
            'id': name,
            'address': f'{name}:1',
            'started_ms': self._starts,
        }
        self._directory.apply(
            service.KeyedRecord(name, json.dumps(entry).encode(), 0)
        )
        self.client.handle(f'{name}:1', lambda sent: self._run(name, sent))

    async def _run(self, name, sent):
        down = self._down[name]
        if down.is_set():
            raise client.ConnectError('refused')
        if sent.body.decode().startswith(POISON):
            self.ended.append(name)
            down.set()
        if self.resets:
            self.resets -= 1
            raise client.BrokenError('reset')
        for _ in range(RUN_STEPS):
            await asyncio.sleep(0)
            if down.is_set():
                raise client.BrokenError('reset')
        return scripted_replicas.answer()

    async def find_listener(self, address, timeout_seconds):
        self.connects += 1
        await asyncio.sleep(0)
        await self.probe_gate.wait()
        if self._down[address.partition(':')[0]].is_set():
            return listener.Listener.ENDED
        return listener.Listener.LISTENING

    async def forward(self, body, **fields):
        """Forward one client attempt; the body is its fingerprint."""
        fields.setdefault('target_latency_ms', 60_000)
        pending = requests.PendingRequest(
            messages.Request('POST', '/x', {'host': 'h'}, body.encode()),
            call.CallHead('q'),
            requests_test.build_route(**fields),
            time.monotonic(),
            body,
        )
        return await self._forwarder.forward(pending)

    async def call_until_answered(self, body):
        """Forward a request until it is answered, as callers do."""
        codes = set()
        for _ in range(CALLER_ATTEMPTS):
            response = await self.forward(body)
            if response.status == 200:
                break
            codes.add(json.loads(response.body)['error']['code'])
            await asyncio.sleep(0.01)
        return response.status, codes


class LastHalfTest(unittest.IsolatedAsyncioTestCase):
    """One request that crashes replicas, over and over, none restarts."""

    async def test_at_most_half_of_the_replicas_end(self):
        for count, allowed in ((1, 1), (2, 1), (3, 1), (4, 2), (5, 2)):
            with self.subTest(replicas=count):
                subject = FakeService(count)
                for _ in range(5):
                    await subject.forward(POISON)
                self.assertEqual(allowed, len(subject.ended))

    async def test_attempts_at_once_end_at_most_half_once_it_is_suspect(self):
        """Each of them alone is allowed to take the last replica."""
        subject = FakeService(4)
        await subject.forward(POISON, max_attempts=1)
        await asyncio.gather(*(subject.forward(POISON) for _ in range(20)))
        self.assertEqual(2, len(subject.ended))

    async def test_held_request_is_refused_for_a_short_time(self):
        """It may be harmless, and its caller is to come back."""
        subject = FakeService(3)
        await subject.forward(POISON)
        response = await subject.forward(POISON)
        self.assertEqual(503, response.status)
        self.assertLessEqual(float(response.headers['retry-after']), 1.0)

    async def test_second_such_request_is_not_sent_to_the_rest(self):
        """Half of the replicas that the first one left is fewer."""
        subject = FakeService(4)
        for _ in range(4):
            await asyncio.gather(
                subject.forward(POISON + '1'), subject.forward(POISON + '2')
            )
        self.assertEqual(2, len(subject.ended))

    async def test_request_is_sent_again_once_the_replicas_are_back(self):
        """Else a harmless one is refused after a crash of another cause."""
        subject = FakeService(2)
        await subject.forward(POISON)
        self.assertEqual(503, (await subject.forward(POISON)).status)
        subject.start(subject.ended[0])
        await subject.forward(POISON)
        self.assertEqual(2, len(subject.ended))


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Many harmless requests, each of them another one, beside the cause."""

    async def play(self, count):
        subject = FakeService(count)
        calls = [
            asyncio.create_task(subject.call_until_answered(f'harmless{n}'))
            for n in range(HARMLESS)
        ]
        for _ in range(4):
            await subject.forward(POISON)
            await asyncio.sleep(0.05)
        ended = list(subject.ended)
        for name in ended:
            subject.start(name)
        return subject, ended, await asyncio.gather(*calls)

    async def test_half_of_the_replicas_stay_up(self):
        for count in (2, 4, 6):
            with self.subTest(replicas=count):
                _, ended, _ = await self.play(count)
                self.assertLessEqual(len(ended), count // 2)

    async def test_harmless_requests_are_answered(self):
        for count in (1, 2, 4, 6):
            with self.subTest(replicas=count):
                _, _, answers = await self.play(count)
                self.assertEqual({200}, {status for status, _ in answers})

    async def test_no_harmless_request_is_refused_as_the_cause(self):
        _, _, answers = await self.play(4)
        codes = set().union(*(codes for _, codes in answers))
        self.assertNotIn('crashes_replicas', codes)

    async def test_harmless_requests_that_run_later_are_not_held(self):
        """Only requests under which a replica ended wait for its return."""
        subject = FakeService(4)
        for _ in range(4):
            await subject.forward(POISON)
        answers = await asyncio.gather(
            *(subject.forward(f'later{n}') for n in range(HARMLESS))
        )
        self.assertEqual({200}, {answer.status for answer in answers})


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    """A run that breaks off, and the probe of its replica."""

    async def asyncSetUp(self):
        self.subject = FakeService(4)
        self.subject.probe_gate.clear()

    @property
    def sent(self):
        return len(self.subject.client.requests)

    async def start(self, body, **fields):
        """Start to forward a request, and wait until its probe is begun."""
        task = asyncio.create_task(self.subject.forward(body, **fields))
        self.addCleanup(task.cancel)
        while not self.subject.connects:
            await asyncio.sleep(0)
        return task

    async def test_request_is_not_sent_on_while_its_replica_is_probed(self):
        task = await self.start(POISON)
        await asyncio.sleep(0.05)
        self.assertEqual(1, self.sent)
        self.subject.probe_gate.set()
        await task
        self.assertEqual(2, self.sent)

    async def test_request_is_not_hedged_while_its_replica_is_probed(self):
        """The hedged attempt comes due while the probe is in progress."""
        # It must not come due before the run has broken off.
        await self.start(POISON, target_latency_ms=200, max_attempts=3)
        await asyncio.sleep(0.15)
        self.assertEqual(1, self.sent)

    async def test_next_client_attempt_waits_for_the_probe_too(self):
        await self.start(POISON)
        task = asyncio.create_task(self.subject.forward(POISON))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        self.assertEqual(1, self.sent)

    async def test_other_requests_do_not_wait_for_the_probe(self):
        await self.start(POISON)
        self.assertEqual(200, (await self.subject.forward('other')).status)

    async def test_probe_that_hangs_holds_for_a_short_time(self):
        """It counts as unreachable, which is no crash."""
        self.subject.resets = 1
        task = await self.start('harmless')
        self.assertEqual(200, (await task).status)
        self.assertFalse(self.subject.probe_gate.is_set())

    async def test_reset_request_is_retried_after_the_first_connection(self):
        """The second attempt to connect must not delay it."""
        self.subject.probe_gate.set()
        self.subject.resets = 1
        response = await self.subject.forward('harmless')
        self.assertEqual(200, response.status)
        self.assertEqual(1, self.subject.connects)
        self.assertTrue(self.subject.watch.probing)

    async def test_request_that_was_answered_waits_for_no_probe(self):
        """It is known to be harmless."""
        await self.subject.forward('known')
        self.subject.resets = 1
        response = await self.subject.forward('known')
        self.assertEqual(200, response.status)
        self.assertFalse(self.subject.probe_gate.is_set())

    async def test_request_that_must_not_repeat_is_not_sent_on(self):
        self.subject.probe_gate.set()
        self.subject.resets = 1
        response = await self.subject.forward(
            'once', kind=configuration.RouteKind.ONCE
        )
        self.assertEqual(502, response.status)
        self.assertEqual(1, self.sent)
