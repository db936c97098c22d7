"""Compares the routes of two configurations by what callers see.

Routes are compared by host and path prefix, since a caller is matched by
these and not by the name of a route.
"""

import msgspec

from auburnroad_client.routes import overview
from auburnroad_gateway.model import configuration


class RouteChange(msgspec.Struct, frozen=True):
    """A change for the callers of one host and path prefix.

    Attributes:
      change: 'added', 'removed' or 'changed'.
      host: Host of the callers.
      prefix: Path prefix of the callers.
      before: What happened to their requests; empty if none matched.
      after: What happens to their requests; empty if none matches.
    """

    change: str
    host: str
    prefix: str
    before: str
    after: str


def compare_routes(
    old: configuration.Configuration, new: configuration.Configuration
) -> list[RouteChange]:
    """Compare the routes of two configurations.

    Args:
      old: The earlier configuration.
      new: The later configuration.

    Returns:
      Changes, sorted by host and path prefix. Routes that only got another
      name or position are no change.
    """
    before, after = _describe_routes(old), _describe_routes(new)
    changes = []
    for key in sorted(before.keys() | after.keys()):
        was, becomes = before.get(key, ''), after.get(key, '')
        if was == becomes:
            continue
        change = 'changed'
        if not was:
            change = 'added'
        elif not becomes:
            change = 'removed'
        changes.append(RouteChange(change, *key, was, becomes))
    return changes


def _describe_routes(
    current: configuration.Configuration,
) -> dict[tuple[str, str], str]:
    described: dict[tuple[str, str], str] = {}
    for route in current.routes:
        key = (route.host.lower(), route.path_prefix)
        described.setdefault(key, ': '.join(overview.describe_target(route)))
    return described
