"""Groups the routes of a configuration and finds those that need attention.

A configuration may have more routes than anybody reads through. Routes that
share a host, services and settings are shown as one row, and problems are
found by rules that the registry holds by name.
"""

import typing

import msgspec

from auburnroad_core import registry
from auburnroad_gateway.configuration import route_table
from auburnroad_gateway.model import configuration

Route = configuration.Route
# Number of path prefixes that a row shows; the others are counted.
MAX_PREFIXES_SHOWN = 3


class RouteGroup(msgspec.Struct, frozen=True):
    """Routes of one host with the same services and settings.

    Attributes:
      services: Services with their weights, as text.
      host: Host of the routes.
      kind: Kind of the routes.
      settings: Limits that the routes share, as text.
      prefixes: Path prefixes, sorted.
    """

    services: str
    host: str
    kind: str
    settings: str
    prefixes: list[str]


class Problem(msgspec.Struct, frozen=True):
    """A route that needs attention.

    Attributes:
      problem: Name of the rule.
      route: Name of the route.
      host: Host of the route.
      prefix: Path prefix of the route.
      detail: Explanation in one sentence.
    """

    problem: str
    route: str
    host: str
    prefix: str
    detail: str


class ConfigurationIndex:
    """A configuration with the look-ups that rules need.

    Attributes:
      services: Names of all services.
    """

    __slots__ = ('services', '_table', '_first')

    def __init__(self, current: configuration.Configuration):
        self.services = frozenset(current.services)
        self._table = route_table.RouteTable(current.routes)
        self._first: dict[tuple[str, str], Route] = {}
        for route in current.routes:
            key = (route.host.lower(), route.path_prefix)
            self._first.setdefault(key, route)

    def find_first(self, route: Route) -> Route:
        """Find the first route with the host and prefix of a route."""
        return self._first[route.host.lower(), route.path_prefix]

    def find_parent(self, route: Route) -> Route | None:
        """Find the route that would match if a route didn't exist."""
        shorter, _, _ = route.path_prefix.rstrip('/').rpartition('/')
        return self._table.match(route.host, f'{shorter}/')


Rule = typing.Callable[[Route, ConfigurationIndex], str]
RULES: registry.Registry[Rule] = registry.Registry('route rule')


@RULES.register('duplicate')
def _check_duplicate(route: Route, index: ConfigurationIndex) -> str:
    first = index.find_first(route)
    if first is route:
        return ''
    return f'never matches: route {first.name} has the same host and prefix'


@RULES.register('redundant')
def _check_redundant(route: Route, index: ConfigurationIndex) -> str:
    if route.path_prefix == '/':
        return ''
    parent = index.find_parent(route)
    if parent is None or describe_target(parent) != describe_target(route):
        return ''
    return f'changes nothing: route {parent.name} would do the same'


@RULES.register('unknown service')
def _check_unknown_service(route: Route, index: ConfigurationIndex) -> str:
    unknown = [
        backend.service
        for backend in route.backends
        if backend.service not in index.services
    ]
    if not unknown:
        return ''
    return f'requests are refused: no service {", ".join(unknown)}'


@RULES.register('no share')
def _check_no_share(route: Route, index: ConfigurationIndex) -> str:
    unused = [
        backend.service for backend in route.backends if backend.weight <= 0
    ]
    if not unused:
        return ''
    return f'no requests go to {", ".join(unused)}'


def find_problems(current: configuration.Configuration) -> list[Problem]:
    """Find the routes that need attention.

    Args:
      current: The configuration.

    Returns:
      Problems in the order of the routes.
    """
    index = ConfigurationIndex(current)
    return [
        Problem(name, route.name, route.host, route.path_prefix, detail)
        for route in current.routes
        for name in RULES.names
        if (detail := RULES.get(name)(route, index))
    ]


def group_routes(
    routes: typing.Iterable[Route], host: str = '', service: str = ''
) -> list[RouteGroup]:
    """Group routes by services, host and settings.

    Args:
      routes: The routes.
      host: Host to show; empty for all.
      service: Service to show; empty for all.

    Returns:
      Groups, sorted by services and host.
    """
    groups: dict[tuple[str, str, str, str], list[str]] = {}
    for route in routes:
        names = {backend.service for backend in route.backends}
        if host and route.host.lower() != host.lower():
            continue
        if service and service not in names:
            continue
        kind, services, settings = describe_target(route)
        key = (services, route.host, kind, settings)
        groups.setdefault(key, []).append(route.path_prefix)
    return [
        RouteGroup(*key, sorted(prefixes))
        for key, prefixes in sorted(groups.items())
    ]


def describe_services(route: Route) -> str:
    """Describe the services of a route with the weights of a split."""
    if len(route.backends) == 1:
        return route.backends[0].service
    return ', '.join(
        f'{backend.service} {backend.weight:g}' for backend in route.backends
    )


def describe_target(route: Route) -> tuple[str, str, str]:
    """Describe what a route does with a request: kind, services, settings."""
    settings = f'timeout {route.timeout_ms} ms, target '
    settings += f'{route.target_latency_ms} ms, attempts {route.max_attempts}'
    if route.priority:
        settings += f', priority {route.priority}'
    if route.resumable:
        settings += ', resumable'
    if route.kind is configuration.RouteKind.BATCH:
        settings += f', due {route.due_ms} ms, give up {route.give_up_ms} ms'
    if route.single_version:
        settings += ', single version'
    if route.public:
        settings += ', public'
    return route.kind.value, describe_services(route), settings


def format_prefixes(prefixes: list[str]) -> str:
    """Format the path prefixes of a group in one cell of a table."""
    shown = ' '.join(prefixes[:MAX_PREFIXES_SHOWN])
    more = len(prefixes) - MAX_PREFIXES_SHOWN
    return f'{shown} and {more} more' if more > 0 else shown
