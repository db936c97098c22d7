"""Decides whether a request may use a route, and for which account."""

import enum

import msgspec

from auburnroad_gateway.accounts import registry as registries
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration


class Decision(enum.Enum):
    """Decision on a request.

    Attributes:
      ALLOWED: The request may be processed.
      REFUSED: No account has the key of the request, or it has no key.
      UNSURE: The operators' topic has to be read to decide on the key.
    """

    ALLOWED = 'allowed'
    REFUSED = 'refused'
    UNSURE = 'unsure'


class Access(msgspec.Struct, frozen=True):
    """Decision on a request with its account.

    Attributes:
      decision: The decision.
      account: Account of an allowed request; None if it has no account.
    """

    decision: Decision
    account: configuration.Account | None = None


def decide(
    route: configuration.Route | None,
    head: call.CallHead,
    registry: registries.AccountRegistry,
    is_current: bool,
    trusts_keys: bool = True,
) -> Access:
    """Decide on a request.

    Args:
      route: Route of the request; None for a call on a batch of an account.
      head: Head of the request.
      registry: Accounts of the configuration in force.
      is_current: Whether the operators' topic was read to its end recently
        enough to refuse an unknown or missing key.
      trusts_keys: Whether it was read recently enough to accept a known key.

    Returns:
      The decision.
    """
    if not registry.has_accounts:
        return Access(Decision.ALLOWED)
    account = None if head.key is None else registry.find(head.key)
    if account is not None:
        if trusts_keys:
            return Access(Decision.ALLOWED, account)
        return Access(Decision.UNSURE)
    if route is not None and route.public:
        return Access(Decision.ALLOWED)
    if is_current:
        return Access(Decision.REFUSED)
    return Access(Decision.UNSURE)


def find_priority(
    route: configuration.Route, account: configuration.Account | None
) -> int:
    """Find the priority of a request; zero is the highest.

    Args:
      route: Route of the request.
      account: Account of the request; None if it has none.

    Returns:
      Priority of the account, or of the route if there is no account.
    """
    return route.priority if account is None else account.priority
