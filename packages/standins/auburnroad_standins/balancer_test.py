"""Tests of the load balancer's order of entries."""

import asyncio
import unittest

from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_standins import balancer


class BalancerTest(unittest.IsolatedAsyncioTestCase):
    """Entries that aren't ready are sorted last."""

    async def test_entry_that_becomes_ready_moves_to_the_front(self):
        status = 503

        async def handle(request):
            return messages.Response(status)

        http_server = server.HttpServer(handle)
        host, port = await http_server.start('127.0.0.1', 0)
        self.addAsyncCleanup(http_server.close)
        address = f'{host}:{port}'
        tested = balancer.Balancer((address, 'other'))
        await tested._check(address)
        self.assertEqual(['other', address], tested.order([address, 'other']))
        status = 200
        await tested._check(address)
        self.assertEqual([address, 'other'], tested.order([address, 'other']))

    async def test_any_entry_may_be_tried_when_none_is_ready(self):
        tested = balancer.Balancer(('127.0.0.1:1',))
        await asyncio.gather(tested._check('127.0.0.1:1'))
        self.assertTrue(tested.is_ready('127.0.0.1:1'))
