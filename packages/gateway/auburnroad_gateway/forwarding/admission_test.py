"""Tests of single requests that wait for slots of a full service.

Guards against an account that floods and leaves the others no slots, against
callers that wait longer than the share of their target latency, and against
slots that stay empty because a waiter went away.
"""

import asyncio
import time
import unittest
from unittest import mock

from auburnroad_core.http import messages
from auburnroad_gateway.accounts import access
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import admission
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.log import service
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_standins import crash_watches
from auburnroad_standins import permit_group
from auburnroad_standins import plain_adapter
from auburnroad_standins import scripted_replicas

TIMEOUT_SECONDS = 20
CHECK_SECONDS = admission.CHECK_SECONDS
# Its share for waiting outlasts the tests.
PATIENT_MS = 200_000
ACCOUNTS = {
    name: configuration.Account(name, (), priority)
    for name, priority in (('flood', 1), ('quiet', 1), ('first', 0))
}


def build_route(target_latency_ms=PATIENT_MS):
    return configuration.Route(
        'r',
        'h',
        '/',
        configuration.RouteKind.ONCE,
        (configuration.Backend('s'),),
        timeout_ms=400_000,
        target_latency_ms=target_latency_ms,
        priority=2,
    )


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """One replica with two slots, whose runs end when a test says so."""

    def setUp(self):
        self.adapter = plain_adapter.PlainAdapter()
        self.client = scripted_replicas.ScriptedClient()
        self.replicas = directory.Directory(self.adapter)
        self.replicas.apply(
            service.KeyedRecord(
                'a',
                b'{"id":"a","service":"s","address":"a:1",'
                b'"failure_domain":"x","slots":2,"state":"ready"}',
                0,
            )
        )
        self.holder = holder.ConfigurationHolder(self.adapter)
        self.configure(tuple(ACCOUNTS.values()))
        self.admission = admission.Admission(
            self.holder, self.replicas, lambda: 0.0
        )
        self.forwarder = requests.Forwarder(
            self.adapter,
            self.client,
            self.replicas,
            'x',
            permit_group.PermitGroup('own').permits['own'],
            crash_watches.build_crash_watch(),
            admissions=self.admission,
        )
        self.running = []
        self.client.handle('a:1', self.run_request)
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def configure(self, accounts, models=()):
        self.holder.current = configuration.Configuration(
            1,
            (build_route(),),
            {'s': configuration.Service('s', models=models)},
            accounts=accounts,
        )

    async def run_request(self, request):
        future = asyncio.get_running_loop().create_future()
        run = (request.headers['who'], future)
        self.running.append(run)
        try:
            await future
        finally:
            self.running.remove(run)
        return scripted_replicas.answer()

    def send(self, who, number=0, fingerprint=None, **route):
        route = build_route(**route)
        pending = requests.PendingRequest(
            messages.Request('POST', '/x', {'host': 'h', 'who': who}, b''),
            call.CallHead(f'{who}{number}'),
            route,
            time.monotonic(),
            f'{who}{number}' if fingerprint is None else fingerprint,
            who if who in ACCOUNTS else '',
            access.find_priority(route, ACCOUNTS.get(who)),
        )
        task = asyncio.create_task(self.forwarder.forward(pending))
        self.tasks.append(task)
        return task

    async def send_all(self, *names, **fields):
        return [
            await self.settle(self.send(name, number, **fields))
            for number, name in enumerate(names)
        ]

    async def settle(self, result=None):
        for _ in range(20):
            await asyncio.sleep(0)
        return result

    async def finish_first(self):
        """End the oldest run; return whose run then began."""
        before = list(self.running)
        before[0][1].set_result(None)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while before[0] in self.running:
                await asyncio.sleep(0)
        await self.settle()
        return [run[0] for run in self.running if run not in before]

    async def test_request_waits_until_a_run_ends(self):
        tasks = await self.send_all('flood', 'flood', 'quiet')
        self.assertEqual(2, len(self.running))
        self.assertEqual(1, self.admission.count_waiting('s'))
        self.assertEqual(['quiet'], await self.finish_first())
        await self.finish_first()
        await self.finish_first()
        statuses = [(await task).status for task in tasks]
        self.assertEqual([200] * 3, statuses)

    async def test_account_that_floods_waits_behind_itself(self):
        await self.send_all(*['flood'] * 8, 'quiet', 'quiet')
        served = [(await self.finish_first())[0] for _ in range(5)]
        self.assertEqual(2, served[:4].count('quiet'))

    async def test_higher_priority_of_the_account_goes_first(self):
        await self.send_all('flood', 'flood', 'quiet', 'none', 'first')
        served = [(await self.finish_first())[0] for _ in range(3)]
        self.assertEqual(['first', 'quiet', 'none'], served)

    async def test_request_is_refused_after_a_share_of_its_target(self):
        await self.send_all('flood', 'flood')
        started = time.monotonic()
        response = await self.send('quiet', target_latency_ms=200)
        wait = admission.WAIT_LATENCY_SHARE * 0.2
        self.assertGreaterEqual(time.monotonic(), started + wait)
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers['retry-after']), 0)
        self.assertEqual(2, len(self.client.requests))
        self.assertEqual(0, self.admission.count_waiting('s'))

    async def test_returning_caller_precedes_its_account(self):
        await self.send_all('flood', 'flood')
        await self.send('quiet', 7, target_latency_ms=40)
        await self.settle(self.send('quiet', 8))
        back = await self.settle(self.send('quiet', 7))
        self.assertEqual(['quiet'], await self.finish_first())
        for _, future in list(self.running):
            future.set_result(None)
        self.assertEqual(200, (await back).status)

    async def test_waiter_that_leaves_passes_its_slot_on(self):
        tasks = await self.send_all('flood', 'flood', 'quiet', 'first')
        tasks[3].cancel()
        await self.settle()
        self.assertEqual(1, self.admission.count_waiting('s'))
        self.assertEqual(['quiet'], await self.finish_first())

    async def test_waiter_cancelled_with_its_slot_returns_it(self):
        tasks = await self.send_all('flood', 'flood', 'quiet', 'quiet')
        known = self.admission._services['s']
        self.replicas.list_ready('s')[0].in_flight -= 1
        self.admission.note_end('s')
        self.assertEqual(1, known.reserved)
        tasks[2].cancel()
        await asyncio.gather(tasks[2], return_exceptions=True)
        self.replicas.list_ready('s')[0].in_flight += 1
        self.assertEqual(0, known.reserved)
        self.assertEqual(['quiet'], await self.finish_first())

    async def test_slot_freed_by_other_work_is_found(self):
        target = self.replicas.list_ready('s')[0]
        await self.send_all('flood')
        target.in_flight += 1
        await self.send_all('quiet')
        self.assertEqual(1, len(self.running))
        target.in_flight -= 1
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.running) < 2:
                await asyncio.sleep(0.01)

    async def test_new_request_is_not_refused_while_a_slot_is_free(self):
        """Guards against refusals between two checks for free slots.

        The measured rate is so low that the queue would take too long.
        """
        target = self.replicas.list_ready('s')[0]
        await self.send_all('flood', 'flood', 'quiet')
        queue = self.admission._services['s'].queue
        queue._rate._cost, queue._rate._seconds = 1.0, 1000.0
        with mock.patch.object(admission, 'CHECK_SECONDS', TIMEOUT_SECONDS):
            await asyncio.sleep(2 * CHECK_SECONDS)
            target.in_flight -= 2
            late = await self.settle(
                self.send('quiet', 9, target_latency_ms=200)
            )
        self.assertFalse(late.done())
        self.assertEqual(4, len(self.running))
        self.assertEqual(0, self.admission.count_waiting('s'))
        target.in_flight += 2

    async def test_gateway_without_runs_tries_a_full_replica(self):
        """Otherwise it would never learn that slots are free again."""
        target = self.replicas.list_ready('s')[0]
        target.note_load(call.Load(2, 5, 2), time.monotonic())
        await self.send_all('quiet', 'quiet')
        self.assertEqual(1, len(self.running))

    async def test_without_accounts_nothing_waits(self):
        self.configure(None)
        await self.send_all('flood', 'flood', 'quiet')
        self.assertEqual(3, len(self.running))

    async def test_engines_and_calls_of_the_gateway_are_left_out(self):
        await self.send_all('flood', 'flood')
        await self.send_all('reward', fingerprint='')
        self.assertEqual(3, len(self.running))
        self.configure((), models=('m',))
        await self.send_all('quiet')
        self.assertEqual(4, len(self.running))

    async def test_empty_list_of_accounts_shares_slots_too(self):
        self.configure(())
        await self.send_all('none', 'none', 'none')
        self.assertEqual(2, len(self.running))
