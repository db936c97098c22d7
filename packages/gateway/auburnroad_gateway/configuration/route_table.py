"""Index of the routes of a configuration by host and path prefix.

A configuration may have thousands of routes, and a route is looked up for
each request and, several times a second, for each batch. A look-up takes time
in proportion to the depth of the path and not to the number of routes.
"""

from auburnroad_gateway.model import configuration


class RouteTable:
    """Finds routes by host and longest path prefix."""

    __slots__ = ('_routes',)

    def __init__(self, routes: tuple[configuration.Route, ...] = ()):
        self._routes: dict[str, dict[str, configuration.Route]] = {}
        for route in routes:
            prefixes = self._routes.setdefault(route.host.lower(), {})
            # Of several routes with the same host and prefix, the first one
            # in the configuration counts.
            prefixes.setdefault(route.path_prefix, route)

    def match(self, host: str, path: str) -> configuration.Route | None:
        """Find the route of a request.

        Args:
          host: Value of the Host header, with or without a port.
          path: Path without the query.

        Returns:
          The route of the host with the longest path prefix, which begins and
          ends with a slash; None if no route matches.
        """
        prefixes = self._routes.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
