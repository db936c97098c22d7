"""Tests that items are given up only by a configuration in force for sure."""

import asyncio

from auburnroad_gateway.batches import owner_test
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import configuration


class RemovedRouteTest(owner_test.OwnerTestCase):
    """The route of a batch with running items is removed."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.add_replica('one', pause_seconds=60)
        self.submit(owner_test.build_submission(2))
        await self.wait(lambda: self.subject.has_running_items)
        self.served = self.holder.current

    def remove_route(self):
        self.holder.current = configuration.Configuration(2, (), {})

    async def test_items_of_a_removed_route_are_terminated(self):
        self.remove_route()
        results = await self.wait_results(2)
        self.assertEqual(
            [batch.Outcome.TERMINATED] * 2,
            [entry.outcome for entry in results],
        )
        self.assertEqual(1, len(self.client.requests))

    # Guards against a final result by a removal that is no longer in force.
    async def test_items_wait_while_the_route_may_have_come_back(self):
        self.operator_tail.complete_at = float('-inf')
        self.remove_route()
        await asyncio.sleep(5 * owner_test.TICK_SECONDS)
        state = self.journal.fold.batches[owner_test.BATCH_ID]
        self.assertEqual([], state.results)
        self.holder.current = self.served
        self.operator_tail.complete_at = float('inf')
        await asyncio.sleep(5 * owner_test.TICK_SECONDS)
        self.assertEqual([], state.results)
        self.assertTrue(self.subject.has_running_items)
