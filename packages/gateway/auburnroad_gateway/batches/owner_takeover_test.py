"""Tests that no text is lost when a batch changes its owner or is repeated.

Guards against text that is generated again after the owner dies, is stopped
or loses its batch to a claim, and after a trainer repeats an item that was
incomplete at the end of a step.
"""

import time
from unittest import mock

from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import owner_test
from auburnroad_gateway.batches import records


class TakeoverTest(owner_test.OwnerTestCase):
    """A batch with partial texts that another run resumes."""

    async def test_orphaned_batch_resumes_from_its_saved_text(self):
        self.add_replica('one')
        self.submit(incarnation='dead')
        self.log.write(
            records.TOPIC,
            owner_test.PARTITION,
            [
                records.encode(
                    records.Progress(
                        owner_test.BATCH_ID,
                        0,
                        -1,
                        2,
                        records.pack_text('x\ny\nz'),
                        [1],
                        0,
                    )
                )
            ],
        )
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.assertEqual(['x\ny\nz\n3\n4'], await self.wait_texts())

    async def test_text_saved_after_the_claim_is_resumed(self):
        """The previous owner's text can follow the claim in the log.

        This happens when the owner is stopped while the log service is
        unavailable.
        """
        self.enterContext(
            mock.patch.object(owned_batches, 'MIN_RESUME_GAIN_EVENTS', 0)
        )
        self.set_stall_limit(owner_test.STALL_SECONDS)
        self.add_replica('one', pause_seconds=60)
        self.submit()
        await self.wait(lambda: self.subject.has_running_items)
        self.add_replica('two')
        text = records.pack_text('x\ny\nz')
        saved = records.Progress(owner_test.BATCH_ID, 0, -1, 2, text, [1], 0)
        self.journal.add_progress([saved])
        self.assertEqual(['x\ny\nz\n3\n4'], await self.wait_texts())

    async def test_former_owner_saves_texts_when_its_batch_is_claimed(self):
        self.add_replica('one', pause_seconds=0.05)
        self.submit()
        await self.wait(lambda: self.count_events() >= 2)
        claim = records.Claim(
            owner_test.BATCH_ID, 'next', self.members.incarnation
        )
        self.log.write(
            records.TOPIC, owner_test.PARTITION, [records.encode(claim)]
        )
        await self.wait(lambda: not self.subject.has_running_items)
        state = self.journal.fold.batches[owner_test.BATCH_ID]
        await self.wait(lambda: state.progress)
        self.assertGreaterEqual(state.progress[0][-1].last_event, 1)

    async def test_hand_over_saves_texts_and_runs_until_claimed(self):
        self.add_replica('one', pause_seconds=0.05)
        self.submit()
        await self.wait(lambda: self.count_events() >= 1)
        self.subject.prepare_hand_over()
        await self.wait(lambda: self.count_events() >= 3)
        self.assertTrue(self.subject.has_running_items)
        claim = records.Claim(
            owner_test.BATCH_ID, 'next', self.members.incarnation
        )
        self.log.write(
            records.TOPIC, owner_test.PARTITION, [records.encode(claim)]
        )
        await self.wait(lambda: not self.subject.has_running_items)
        await self.wait(lambda: self.journal.is_idle)
        saved = [
            record
            for record in map(
                records.decode,
                self.log.list_records(records.TOPIC, owner_test.PARTITION),
            )
            if isinstance(record, records.Progress)
        ]
        # The first record was saved at the hand-over, the second one at the
        # claim, with the events generated in between.
        at_hand_over, at_claim = saved
        self.assertEqual(-1, at_hand_over.after)
        self.assertEqual(at_hand_over.last_event, at_claim.after)

    async def test_repeated_item_resumes_after_its_partial_text(self):
        """The next batch repeats an item that was incomplete at the end."""
        slow = self.add_replica('one', pause_seconds=0.05)
        self.submit()
        await self.wait(lambda: self.count_events() >= 2)
        end = records.encode(records.End(owner_test.BATCH_ID))
        self.log.write(records.TOPIC, owner_test.PARTITION, [end])
        await self.wait(lambda: not self.subject.has_running_items)
        slow.pause_seconds = 0.0
        self.submit_next(owner_test.build_submission())
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_next_texts())
        resumed = self.client.requests[-1][1].headers.get('after')
        self.assertGreaterEqual(int(resumed), 1)

    async def test_partial_text_of_old_weights_is_not_resumed(self):
        self.add_replica('one', pause_seconds=0.05)
        self.submit()
        await self.wait(lambda: self.count_events() >= 2)
        end = records.encode(records.End(owner_test.BATCH_ID))
        self.log.write(records.TOPIC, owner_test.PARTITION, [end])
        await self.wait(lambda: not self.subject.has_running_items)
        self.add_replica('two', version=2)
        self.submit_next(owner_test.build_submission(minimum_version=2))
        self.assertEqual(['0\n1\n2\n3\n4'], await self.wait_next_texts())
        self.assertIsNone(self.client.requests[-1][1].headers.get('after'))


class LargeTakeoverTest(TakeoverTest):
    """The same tests with contents that are stored separately."""

    gateways = journal.MAX_INLINE_GATEWAYS + 1

    async def test_orphaned_batch_with_separate_contents_is_resumed(self):
        """Bodies and the saved text are read from the topic of contents."""
        self.add_replica('one')
        submission = owner_test.build_submission()
        places = await self.journal.write_bodies(
            submission, owner_test.TIMEOUT_SECONDS
        )
        encoded = records.build_submission_records(
            submission,
            'a',
            'dead',
            time.time_ns() // 1_000_000,
            10**6,
            places,
        )
        self.log.write(records.TOPIC, owner_test.PARTITION, encoded)
        text = records.pack_text('x\ny\nz')
        self.journal.add_progress(
            [records.Progress(owner_test.BATCH_ID, 0, -1, 2, text, [1], 0)]
        )
        await self.wait(lambda: self.journal.is_idle)
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.assertEqual(['x\ny\nz\n3\n4'], await self.wait_texts())
        self.assertEqual(owner_test.BODY, self.client.requests[-1][1].body)
