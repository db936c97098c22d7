"""Tests of items between their complete text and their result.

Guards against a score that belongs to another text, a text that is generated
again because its owner died before the score came, and a replica's slot that
stays taken while a score is awaited.
"""

import asyncio

import msgspec

from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import owner_test
from auburnroad_gateway.batches import records
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_standins import scripted_replicas


def build_reward(name):
    return call.RewardCall(f'k{name}', 'h', '/r/x', name.encode())


def build_complete_text():
    return records.Progress(
        owner_test.BATCH_ID,
        0,
        -1,
        2,
        records.pack_text('x\ny\nz'),
        [1],
        0,
        complete=True,
    )


class RewardTest(owner_test.OwnerTestCase):
    """Items whose texts are scored by a plain service before they count."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.release = asyncio.Event()
        self.release.set()
        self.status = 200
        self.client.handle('plain:1', self.score)
        self.replicas.apply(
            service.KeyedRecord(
                'plain',
                b'{"id":"plain","service":"plain","address":"plain:1",'
                b'"failure_domain":"a","slots":4,"state":"ready"}',
                0,
            )
        )
        current = self.holder.current
        route = configuration.Route(
            'rewards',
            'h',
            '/r/',
            configuration.RouteKind.IDEMPOTENT,
            (configuration.Backend('plain'),),
            max_attempts=2,
        )
        self.holder.current = configuration.Configuration(
            2, (*current.routes, route), current.services
        )

    async def score(self, request):
        await self.release.wait()
        score = f'score {request.body.decode()}'
        return scripted_replicas.answer(self.status, b'', signed=score)

    def build_submission(self, items=1, **fields):
        submission = owner_test.build_submission(items, **fields)
        return msgspec.structs.replace(
            submission,
            items=[
                msgspec.structs.replace(item, reward=build_reward(item.id))
                for item in submission.items
            ],
        )

    def list_reward_calls(self):
        return [
            number
            for number, (address, _) in enumerate(self.client.requests)
            if address == 'plain:1'
        ]

    async def test_result_has_the_score_of_its_own_item(self):
        self.add_replica('one')
        self.submit(self.build_submission(3))
        results = await self.wait_results(3)
        self.assertEqual(
            {n: f'score i{n}' for n in range(3)},
            {entry.index: entry.score for entry in results},
        )
        self.assertEqual(['0\n1\n2\n3\n4'] * 3, await self.wait_texts(3))

    async def test_reward_is_asked_for_only_after_the_last_event(self):
        """A text that breaks and resumes is scored after its own end."""
        self.add_replica('one').stop_after = 2
        self.submit(self.build_submission())
        await self.wait_results()
        self.assertEqual(4, len(self.client.requests))
        self.assertEqual([3], self.list_reward_calls())

    async def test_slot_is_free_while_the_score_is_awaited(self):
        self.release.clear()
        self.add_replica('one')
        self.submit(self.build_submission(2))
        await self.wait(lambda: self.client.count('one:1') == 2)
        await self.wait(lambda: self.client.count('plain:1') == 2)
        self.release.set()
        await self.wait_results(2)

    async def test_item_is_terminated_after_failed_reward_calls(self):
        self.status = 500
        self.add_replica('one')
        self.submit(self.build_submission())
        (result,) = await self.wait_results()
        self.assertIs(batch.Outcome.TERMINATED, result.outcome)
        self.assertEqual('', result.score)

    async def test_end_of_batch_cancels_reward_calls(self):
        self.release.clear()
        self.add_replica('one')
        self.submit(self.build_submission())
        await self.wait(lambda: self.client.count('plain:1'))
        end = records.encode(records.End(owner_test.BATCH_ID))
        self.log.write(records.TOPIC, owner_test.PARTITION, [end])
        await self.wait(lambda: not self.subject.has_running_items)
        self.release.set()
        await self.wait(lambda: self.journal.is_idle)
        self.assertEqual(
            [], self.journal.fold.batches[owner_test.BATCH_ID].results
        )

    async def test_former_owner_lists_no_score_after_a_claim(self):
        self.release.clear()
        self.add_replica('one')
        self.submit(self.build_submission())
        await self.wait(lambda: self.client.count('plain:1'))
        claim = records.Claim(
            owner_test.BATCH_ID, 'next', self.members.incarnation
        )
        self.log.write(
            records.TOPIC, owner_test.PARTITION, [records.encode(claim)]
        )
        await self.wait(lambda: not self.subject.has_running_items)
        self.release.set()
        await self.wait(lambda: self.journal.is_idle)
        self.assertEqual(
            [], self.journal.fold.batches[owner_test.BATCH_ID].results
        )

    async def test_complete_text_of_a_dead_owner_is_only_scored(self):
        """Nothing is generated again after a restart or takeover."""
        self.add_replica('one')
        self.submit(self.build_submission(), incarnation='dead')
        self.journal.add_progress([build_complete_text()])
        await self.wait(lambda: self.journal.is_idle)
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.assertEqual(['x\ny\nz'], await self.wait_texts())
        (result,) = await self.wait_results()
        self.assertEqual(('score i0', [1]), (result.score, result.versions))
        self.assertEqual(0, self.client.count('one:1'))

    async def test_complete_text_saved_after_the_claim_is_scored(self):
        self.add_replica('one', pause_seconds=60)
        self.submit(self.build_submission())
        await self.wait(lambda: self.subject.has_running_items)
        self.journal.add_progress([build_complete_text()])
        self.assertEqual(['x\ny\nz'], await self.wait_texts())

    async def test_complete_text_is_in_the_log_before_its_score(self):
        self.release.clear()
        self.add_replica('one')
        self.submit(self.build_submission())
        await self.wait(
            lambda: owner_test.BATCH_ID in self.journal.fold.batches
        )
        state = self.journal.fold.batches[owner_test.BATCH_ID]
        await self.wait(lambda: state.progress)
        self.assertTrue(state.progress[0][-1].complete)
        self.assertEqual([], state.results)

    async def test_repeated_item_is_scored_without_another_run(self):
        """The step ended between the text and the score."""
        self.release.clear()
        self.add_replica('one')
        self.submit(self.build_submission())
        await self.wait(lambda: self.client.count('plain:1'))
        end = records.encode(records.End(owner_test.BATCH_ID))
        self.log.write(records.TOPIC, owner_test.PARTITION, [end])
        await self.wait(lambda: not self.subject.has_running_items)
        self.release.set()
        self.submit_next(self.build_submission())
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_next_texts())
        self.assertEqual(1, self.client.count('one:1'))

    async def test_result_with_another_reward_call_is_not_reused(self):
        self.add_replica('one')
        self.submit(self.build_submission())
        await self.wait_results()
        submission = self.build_submission()
        item = msgspec.structs.replace(
            submission.items[0], reward=build_reward('other')
        )
        self.submit_next(msgspec.structs.replace(submission, items=[item]))
        await self.wait_next_texts()
        (result,) = self.journal.fold.batches[owner_test.NEXT_ID].results
        self.assertEqual('score other', result.score)

    async def test_result_with_the_same_reward_call_is_reused(self):
        self.add_replica('one')
        self.submit(self.build_submission())
        await self.wait_results()
        self.submit_next(self.build_submission())
        await self.wait_next_texts()
        (result,) = self.journal.fold.batches[owner_test.NEXT_ID].results
        self.assertEqual('score i0', result.score)
        self.assertEqual(1, self.client.count('plain:1'))


class LargeRewardTest(RewardTest):
    """The same tests with contents that are stored separately."""

    gateways = journal.MAX_INLINE_GATEWAYS + 1
