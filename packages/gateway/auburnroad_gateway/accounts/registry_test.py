"""Tests of the look-up of API keys.

A wrong look-up runs a request for another account; a key that is shown
anywhere can be used by whoever reads it.
"""

import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.accounts import registry
from auburnroad_gateway.model import configuration

MANY_KEYS = 5000


def build_configuration(accounts, revision=1, routes=()):
    """Build a configuration of accounts; a dictionary gives their keys."""
    if isinstance(accounts, dict):
        accounts = tuple(
            configuration.Account(name, tuple(keys))
            for name, keys in accounts.items()
        )
    return configuration.Configuration(
        revision,
        tuple(routes),
        {'s': configuration.Service('s')},
        accounts=accounts,
    )


def build_registry(accounts):
    return registry.AccountRegistry(build_configuration(accounts))


class AccountRegistryTest(unittest.TestCase):
    """Registries with few and with many keys."""

    def test_each_key_of_an_account_is_found(self):
        subject = build_registry({'a': ['k1', 'k2'], 'b': ['k3'], 'c': []})
        found = [subject.find(key).name for key in ('k1', 'k2', 'k3')]
        self.assertEqual(['a', 'a', 'b'], found)
        for key in ('', 'k', 'k11', 'K1', 'a'):
            self.assertIsNone(subject.find(key))

    def test_empty_list_of_accounts_is_a_list(self):
        self.assertTrue(build_registry(()).has_accounts)
        self.assertIsNone(build_registry(()).find('k'))
        self.assertFalse(build_registry(None).has_accounts)

    def test_account_of_each_of_many_keys_is_found(self):
        subject = build_registry(
            {f'a{n}': [f'key-{n}', f'other-{n}'] for n in range(MANY_KEYS)}
        )
        for number in range(MANY_KEYS):
            name = f'a{number}'
            self.assertEqual(name, subject.find(f'key-{number}').name)
            self.assertEqual(name, subject.find(f'other-{number}').name)
            self.assertIsNone(subject.find(f'unknown-{number}'))

    def test_key_of_two_accounts_is_invalid_and_not_named(self):
        with self.assertRaises(registry.InvalidAccountsError) as caught:
            build_registry({'a': ['x', 'secret'], 'b': ['secret']})
        text = str(caught.exception)
        self.assertIn("'a'", text)
        self.assertIn("'b'", text)
        self.assertNotIn('secret', text)

    def test_repeated_key_of_one_account_is_valid(self):
        subject = build_registry({'a': ['k', 'k']})
        self.assertEqual('a', subject.find('k').name)

    @hypothesis.given(
        strategies.dictionaries(
            strategies.text(max_size=3), strategies.integers(0, 3), max_size=9
        ),
        strategies.lists(strategies.text(max_size=3), max_size=9),
    )
    def test_find_equals_a_scan_of_all_keys(self, owners, unknown):
        accounts = {
            str(number): [
                key for key, owner in owners.items() if owner == number
            ]
            for number in range(4)
        }
        subject = build_registry(accounts)
        for key in (*owners, *unknown):
            found = subject.find(key)
            expected = str(owners[key]) if key in owners else None
            self.assertEqual(expected, found and found.name)


class FingerprintTest(unittest.TestCase):
    """The form in which a key is shown."""

    def test_fingerprint_is_the_same_on_all_hosts(self):
        self.assertEqual('dc171018ddf2', registry.fingerprint('key-1'))
        self.assertNotEqual(
            registry.fingerprint('key-1'), registry.fingerprint('key-2')
        )
