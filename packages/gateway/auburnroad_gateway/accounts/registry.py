"""Index of the accounts of a configuration by API key.

Keys are looked up by a hash that is keyed with a random value of the process.
The time of a look-up therefore doesn't depend on how much of a key is right.
"""

import hashlib
import secrets

from auburnroad_gateway.model import configuration as configurations

# 16 bytes make a collision of two keys practically impossible.
DIGEST_BYTES = 16
# Enough to tell the keys of a deployment apart, and too few to use as a key.
FINGERPRINT_BYTES = 6

_PROCESS_KEY = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)


class InvalidAccountsError(ValueError):
    """Accounts that can't take effect; the text contains no key."""


class AccountRegistry:
    """Finds the account of an API key in the accounts of one revision."""

    __slots__ = ('_has_accounts', '_accounts')

    def __init__(self, configuration: configurations.Configuration):
        """Build the index.

        Args:
          configuration: Configuration of the revision.

        Raises:
          InvalidAccountsError: If two accounts have the same key.
        """
        self._has_accounts = configuration.accounts is not None
        self._accounts: dict[bytes, configurations.Account] = {}
        for account in configuration.accounts or ():
            for key in account.keys:
                known = self._accounts.setdefault(_hash_key(key), account)
                if known is not account:
                    raise InvalidAccountsError(
                        f'accounts {known.name!r} and {account.name!r} have '
                        'the same key'
                    )

    @property
    def has_accounts(self) -> bool:
        """Whether the deployment has accounts, which may be an empty list."""
        return self._has_accounts

    def find(self, key: str) -> configurations.Account | None:
        """Find the account of an API key; None if the key is unknown."""
        return self._accounts.get(_hash_key(key))


def fingerprint(key: str) -> str:
    """Build the form in which an API key may be shown.

    Args:
      key: The API key.

    Returns:
      12 hexadecimal digits, the same on all hosts.
    """
    return hashlib.blake2b(
        _encode(key), digest_size=FINGERPRINT_BYTES
    ).hexdigest()


def _hash_key(key: str) -> bytes:
    return hashlib.blake2b(
        _encode(key), digest_size=DIGEST_BYTES, key=_PROCESS_KEY
    ).digest()


def _encode(key: str) -> bytes:
    # A lone surrogate in a key must not raise an exception.
    return key.encode('utf-8', 'surrogatepass')
