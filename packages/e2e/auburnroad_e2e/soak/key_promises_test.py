"""Tests that each promise on keys and accounts is seen to be broken."""

import types
import unittest

from auburnroad_e2e.soak import callers
from auburnroad_e2e.soak import promises
from auburnroad_e2e.soak import promises_test
from auburnroad_e2e.soak import world as worlds
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica


class KeyPromisesTest(unittest.TestCase):
    """The books of a run with a key that was added and one that was removed.

    The callers' key is in force from the start, the other one from 20 to 40 s.
    """

    def setUp(self):
        self.world = promises_test.StubWorld()
        self.world.keys = [
            worlds.Key('secret-0', 'callers', 0.0),
            worlds.Key('secret-1', 'prober', 20.0, 40.0),
        ]
        self.world.caller_key = 'secret-0'
        self.callers = types.SimpleNamespace(
            batches=[callers.BatchBook('b', ['i'], 1, [202], 1.0)],
            attempts=[],
            streams=[],
            sent_keys={},
        )

    def ask(self, key, status=200, at=30.0, kind='key'):
        """Note an attempt; it ran if it has an answer of a replica."""
        request_id = f'q{len(self.callers.attempts)}'
        self.callers.sent_keys[request_id] = key
        self.callers.attempts.append(
            callers.Attempt(
                kind,
                '/x',
                request_id,
                'g',
                1,
                at,
                at + 0.1,
                status,
                True,
                key=key,
            )
        )
        return request_id

    def run_at_replica(self, request_id, account, has_key=False):
        self.world.books.runs.append(
            platform_replica.Run(request_id, 'p', 30.0, 0, account, has_key)
        )

    def list_broken(self):
        return {
            breach.partition(':')[0]
            for breach in promises.check_all(self.world, self.callers, True)
        }

    def test_nothing_is_broken_where_accounts_are_right(self):
        self.run_at_replica(self.ask('secret-1'), 'prober')
        self.run_at_replica(self.ask('secret-0', kind='plain'), 'callers')
        self.run_at_replica(self.ask('secret-never-1', kind='public'), '')
        self.run_at_replica('i', 'callers')
        self.run_at_replica(platform_calls.name_reward_call('i'), '')
        self.ask('secret-never-1', 401)
        self.ask('secret-1', 401, 10.0)
        self.ask('secret-1', 401, 20.5)
        self.ask('secret-1', 401, 45.0)
        self.assertEqual(set(), self.list_broken())

    def test_key_at_a_replica_is_a_breach(self):
        self.run_at_replica(self.ask('secret-1'), 'prober', has_key=True)
        self.assertEqual({'keys-kept'}, self.list_broken())

    def test_wrong_account_at_a_replica_is_a_breach(self):
        for request_id, account in (
            (self.ask('secret-1'), worlds.FOREIGN_ACCOUNT),
            (self.ask('secret-never-1', kind='public'), 'prober'),
            ('i', ''),
            (platform_calls.name_reward_call('i'), 'callers'),
        ):
            self.world.books.runs.clear()
            self.run_at_replica(request_id, account)
            self.assertEqual({'keys-kept'}, self.list_broken(), request_id)

    def test_run_with_a_key_that_never_existed_is_a_breach(self):
        self.run_at_replica(self.ask('secret-never-1', 401), '')
        self.assertEqual({'unknown-keys-refused'}, self.list_broken())

    def test_final_refusal_of_a_key_in_force_is_a_breach(self):
        self.ask('secret-1', 401, 30.0)
        self.assertEqual({'known-keys-served'}, self.list_broken())

    def test_removed_key_that_is_accepted_late_is_a_breach(self):
        self.ask('secret-1', 200, 42.0)
        self.assertEqual(set(), self.list_broken())
        self.ask('secret-1', 200, 44.0)
        self.assertEqual({'removed-keys-refused'}, self.list_broken())

    def test_key_in_a_log_is_a_breach(self):
        self.world.log_text = '{"event":"x","headers":"Bearer secret-1"}'
        self.assertEqual({'keys-not-printed'}, self.list_broken())
