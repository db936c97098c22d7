"""Tests which batches a gateway claims, and when.

Guards against seconds in which nobody runs the batches after all gateways
were lost: the live members are known only after a while. A batch that nobody
claims is never run.
"""

import concurrent.futures
import unittest
from unittest import mock

from auburnroad_gateway.batches import claimer
from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records
from auburnroad_gateway.configuration import holder as configurations
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import membership_test
from auburnroad_gateway.weights import duty


class ClaimerTestCase(unittest.TestCase):
    """A gateway that has just started, and a batch of another incarnation."""

    def setUp(self):
        settings = membership_test.build_settings()
        self.members = membership.Membership(settings, None)
        self.former = membership.build_incarnation(settings.name)
        self.journal = mock.create_autospec(journal.Journal, instance=True)
        self.journal.fold = fold.Fold()
        self.duties = mock.create_autospec(duty.Duties, instance=True)
        self.duties.choose_runner.return_value = self.members.incarnation
        self.subject = claimer.BatchClaimer(
            self.journal,
            self.members,
            self.duties,
            mock.create_autospec(
                configurations.ConfigurationHolder, instance=True
            ),
            lambda state: None,
        )

    def claim(self, owner):
        for number, record in enumerate(
            fold_test.encode_submission(owner=owner)
        ):
            self.journal.fold.apply(number, record)
        self.subject.claim_and_load({})
        return [
            entry.args[0].previous for entry in self.journal.add.mock_calls
        ]


class BatchClaimerTest(ClaimerTestCase):
    """First claims on a batch."""

    def test_own_batches_of_before_a_restart_are_claimed_at_once(self):
        self.assertFalse(self.members.has_discovered_members)
        self.assertEqual([self.former], self.claim(self.former))

    def test_batches_of_others_wait_until_members_are_known(self):
        other = membership.build_incarnation('elsewhere')
        self.assertEqual([], self.claim(other))
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.assertEqual([other], self.claim(other))

    def test_another_runner_claims_the_batch(self):
        self.duties.choose_runner.return_value = 'other'
        self.assertEqual([], self.claim(self.former))


class RepeatedClaimTest(ClaimerTestCase):
    """Claims on a batch that changes its owner several times."""

    def setUp(self):
        super().setUp()
        self.members._observing_since = 1.0
        self.members._checked_at = 10.0
        self.other = membership.build_incarnation('elsewhere')
        self.appended = concurrent.futures.Future()
        self.journal.add.return_value = self.appended
        self.journal.is_folded = mock.Mock(return_value=False)

    def count_claims(self):
        self.subject.claim_and_load({})
        return self.journal.add.call_count

    def fold_claim(self, owner, previous):
        record = records.Claim('b', owner, previous)
        self.journal.fold.apply(100, records.encode(record))

    def test_batch_that_came_back_to_a_lost_owner_is_claimed_again(self):
        """Its first claimant left the batch to nobody."""
        self.assertEqual([self.other], self.claim(self.other))
        self.fold_claim(self.members.incarnation, self.other)
        self.fold_claim(self.other, self.members.incarnation)
        self.appended.set_result(100)
        self.journal.is_folded.return_value = True
        self.assertEqual(2, self.count_claims())

    def test_claim_is_not_repeated_before_it_is_read_back(self):
        """A second one in the log could take the batch from a later owner."""
        self.claim(self.other)
        self.assertEqual(1, self.count_claims())
        self.appended.set_result(100)
        self.assertEqual(1, self.count_claims())
        self.journal.is_folded.assert_called_with('b', 100)

    def test_claim_without_effect_is_repeated(self):
        """Another gateway was first, and was lost as well."""
        self.claim(self.other)
        third = membership.build_incarnation('third')
        self.fold_claim(third, self.other)
        self.appended.set_result(101)
        self.journal.is_folded.return_value = True
        self.assertEqual(2, self.count_claims())
