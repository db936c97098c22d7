"""Tests that batches of different accounts share no texts.

A result or partial text that another account's batch takes over discloses the
batch that it comes from, and was generated under another name.
"""

import msgspec

from auburnroad_gateway.accounts import registry_test
from auburnroad_gateway.batches import owner_test
from auburnroad_gateway.batches import records


class AccountsTest(owner_test.OwnerTestCase):
    """Two accounts whose batches have the same items."""

    def build(self, account):
        return msgspec.structs.replace(
            owner_test.build_submission(), account=account
        )

    def list_accounts(self):
        return [
            request.headers.get('account')
            for _, request in self.client.requests
        ]

    async def run_next(self, account):
        """Run a batch of account 'a', then the same items for an account."""
        self.add_replica('one')
        self.submit(self.build('a'))
        await self.wait_results()
        self.submit_next(self.build(account))
        await self.wait_next_texts()
        return self.list_accounts()

    async def test_result_is_reused_within_the_account(self):
        self.assertEqual(['a'], await self.run_next('a'))

    async def test_result_of_another_account_is_not_reused(self):
        self.assertEqual(['a', 'b'], await self.run_next('b'))

    async def end_and_run_next(self, account):
        """End a batch of account 'a' after two events of its text."""
        self.add_replica('one').stop_after = 2
        self.submit(self.build('a'))
        await self.wait(lambda: self.count_events() >= 2)
        self.register_replica('one', 'draining')
        self.log.write(
            records.TOPIC,
            owner_test.PARTITION,
            [records.encode(records.End(owner_test.BATCH_ID))],
        )
        state = self.journal.fold.batches[owner_test.BATCH_ID]
        await self.wait(lambda: state.ended)
        self.add_replica('two')
        self.submit_next(self.build(account))
        await self.wait_next_texts()
        (request,) = [
            request
            for address, request in self.client.requests
            if address == 'two:1'
        ]
        return request.headers.get('after')

    async def test_partial_text_is_resumed_within_the_account(self):
        self.assertEqual('1', await self.end_and_run_next('a'))

    async def test_partial_text_of_another_account_is_not_resumed(self):
        self.assertIsNone(await self.end_and_run_next('b'))

    async def test_items_go_on_under_the_name_of_a_removed_account(self):
        route = self.holder.current.routes[0]
        self.holder.current = registry_test.build_configuration({}, 2, [route])
        self.add_replica('one')
        self.submit(self.build('a'))
        await self.wait_results()
        self.assertEqual(['a'], self.list_accounts())

    async def test_batch_from_before_the_accounts_passes_no_headers(self):
        """Its items may contain a key or the name of an account."""
        submission = owner_test.build_submission()
        items = [
            msgspec.structs.replace(item, headers={'key': 'k', 'account': 'x'})
            for item in submission.items
        ]
        route = self.holder.current.routes[0]
        self.holder.current = registry_test.build_configuration({}, 2, [route])
        self.add_replica('one')
        self.submit(msgspec.structs.replace(submission, items=items))
        await self.wait_results()
        self.assertEqual([None], self.list_accounts())
        self.assertNotIn('key', self.client.requests[0][1].headers)
