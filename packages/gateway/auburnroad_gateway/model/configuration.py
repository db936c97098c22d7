"""Routes and services, as the operators last published them."""

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """What may be repeated on a route, and how it is answered."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'
    BATCH = 'batch'


class Backend(msgspec.Struct, frozen=True):
    """A service with its share of a route's requests.

    Attributes:
      service: Service's name.
      weight: Share, relative to the other backends of the route.
    """

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Where requests go and how long they may take.

    Attributes:
      name: Route's name.
      host: Value of the Host header that selects it.
      path_prefix: Begins and ends with a slash.
      kind: What may be repeated.
      backends: At least one service.
      timeout_ms: Longest time that a caller is kept waiting.
      target_latency_ms: Time that callers aim for.
      max_attempts: Replicas that one request may be sent to.
      priority: Zero is the highest.
      resumable: Whether a stream may go on at another replica.
      give_up_ms: An item may be given up this long after its submission.
      due_ms: All results are due this long after the submission.
      single_version: Whether a result may have only one weight version.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout_ms: int = 10000
    target_latency_ms: int = 1000
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    give_up_ms: int = 40000
    due_ms: int = 10000
    single_version: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH) or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class Service(msgspec.Struct, frozen=True):
    """A group of replicas that run the same program.

    Attributes:
      name: Service's name.
      max_connections: What one replica accepts from all gateways together.
      models: Models that its engines run; empty for a plain service.
      memory_tokens: Tokens that fit in a replica's KV cache, zero if it
        isn't limited.
      tokens_per_event: Tokens that one event of a stream stands for.
    """

    name: str
    max_connections: int = 64
    models: tuple[str, ...] = ()
    memory_tokens: int = 0
    tokens_per_event: int = 1


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send and how long it may stay idle.

    Attributes:
      header_bytes: Request line and headers.
      body_bytes: Body.
      header_ms: Time for a head to arrive.
      idle_ms: Time that a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 33554432
    header_ms: int = 3000
    idle_ms: int = 15000


class Configuration(msgspec.Struct, frozen=True):
    """All routes and services of one revision.

    Attributes:
      revision: Increases with each change.
      routes: In no order.
      services: By name.
      limits: What callers may send.
    """

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()


def match_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Find the route of a request.

    Args:
      configuration: The one in force.
      host: Value of the Host header, with or without a port.
      path: Path without its query.

    Returns:
      The route whose prefix is the longest to begin the path, None if there
      is none.
    """
    bare_host = host.partition(':')[0].lower()
    best = None
    for route in configuration.routes:
        if route.host.lower() != bare_host:
            continue
        if not path.startswith(route.path_prefix):
            continue
        if best is None or len(route.path_prefix) > len(best.path_prefix):
            best = route
    return best


def pick_service(route: Route, draw: float) -> str:
    """Choose a backend of a route by weight.

    Args:
      route: The request's route.
      draw: A number from 0 up to 1, which names the choice.

    Returns:
      The service's name.
    """
    total = sum(backend.weight for backend in route.backends)
    mark = draw * total
    for backend in route.backends:
        mark -= backend.weight
        if mark < 0:
            return backend.service
    return route.backends[-1].service
