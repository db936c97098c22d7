"""Runs a gateway that takes the account of a request from a header.

It stands in for accounts with API keys, so that the usage report can be
pressed without them: any configuration counts as one with accounts.
"""

import sys

from auburnroad_gateway.configuration import holder
from auburnroad_gateway.forwarding import requests

ACCOUNT_HEADER = 'soak-account'


class PendingRequest(requests.PendingRequest):
    """A request whose account is in a header."""

    __slots__ = ()

    def __init__(self, request, *arguments):
        super().__init__(request, *arguments)
        self.account = request.headers.get(ACCOUNT_HEADER, '')


def main() -> int:
    """Run the gateway.

    Returns:
      Exit status of the process.
    """
    requests.PendingRequest = PendingRequest
    holder.ConfigurationHolder.has_accounts = property(
        lambda self: self.current is not None
    )
    from auburnroad_platform import __main__ as program

    return program.main()


if __name__ == '__main__':
    sys.exit(main())
