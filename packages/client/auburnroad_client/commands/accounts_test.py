"""Tests that operators see accounts and never a key."""

import pathlib
import tempfile
import unittest

import msgspec

from auburnroad_client.commands import accounts
from auburnroad_client import exit_codes
from auburnroad_gateway.accounts import registry


class ShowAccountsTest(unittest.IsolatedAsyncioTestCase):
    """Configuration records with and without accounts."""

    async def show(self, **fields):
        record = {'version': 1, 'routes': [], 'services': [], 'limits': {}}
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / 'record.json'
            path.write_bytes(msgspec.json.encode({**record, **fields}))
            return await accounts.show_accounts(None, str(path))

    async def test_keys_are_listed_by_their_fingerprints(self):
        report = await self.show(
            tenants=[
                {'name': 'a', 'apiKeys': ['secret-1', 'secret-2']},
                {'name': 'b', 'apiKeys': [], 'priority': 2},
            ]
        )
        fingerprints = [
            registry.fingerprint(key) for key in ('secret-1', 'secret-2')
        ]
        self.assertEqual(
            [
                {'account': 'a', 'priority': 0, 'keys': fingerprints},
                {'account': 'b', 'priority': 2, 'keys': []},
            ],
            report.value,
        )
        self.assertIn(fingerprints[1], report.text)
        self.assertNotIn('secret', report.text)

    async def test_missing_and_empty_lists_are_told_apart(self):
        self.assertIn('no accounts', (await self.show()).text)
        self.assertIn('empty list', (await self.show(tenants=[])).text)

    async def test_key_of_two_accounts_is_a_mistake_without_the_key(self):
        with self.assertRaises(exit_codes.BadInputError) as caught:
            await self.show(
                tenants=[
                    {'name': 'a', 'apiKeys': ['secret']},
                    {'name': 'b', 'apiKeys': ['secret']},
                ]
            )
        self.assertNotIn('secret', str(caught.exception))
