"""Routes and services, as last published by the operators."""

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """Kind of a route, which determines retries and form of the answer."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'
    BATCH = 'batch'


class Backend(msgspec.Struct, frozen=True):
    """A service with its share of a route's requests.

    Attributes:
      service: Name of the service.
      weight: Share, relative to the other backends of the route.
    """

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Destination and limits of requests.

    Attributes:
      name: Name of the route.
      host: Value of the Host header that selects the route.
      path_prefix: Path prefix that selects the route; begins and ends with a
        slash.
      kind: Kind of the route.
      backends: Services that get the requests, at least one.
      timeout_ms: Maximum milliseconds until a caller is answered.
      target_latency_ms: Target latency of the callers.
      max_attempts: Maximum number of replicas that one request is sent to.
      priority: Priority; zero is the highest.
      resumable: Whether a stream may be resumed on another replica.
      give_up_ms: Time after the submission from which an item may be
        terminated.
      due_ms: Time after the submission at which all results are due.
      single_version: Whether a result may have only one weight version.
      public: Whether requests need no API key.
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
    public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that get requests, each one once.

        The one with the largest weight comes first. Services without weight
        are left out, unless none has a weight.
        """
        if len(self.backends) == 1:
            return (self.backends[0].service,)
        ordered = sorted(
            self.backends, key=lambda backend: backend.weight, reverse=True
        )
        return tuple(
            dict.fromkeys(
                backend.service
                for backend in ordered
                if backend.weight > 0 or not ordered[0].weight
            )
        )

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH) or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class Scaling(msgspec.Struct, frozen=True):
    """Bounds of the numbers of replicas that the gateways order.

    Attributes:
      minimum: Lowest number of replicas in each failure domain.
      maximum: Highest number of replicas in each failure domain.
      boot_ms: Milliseconds from an order until a new replica serves.
    """

    minimum: int
    maximum: int
    boot_ms: int


class Service(msgspec.Struct, frozen=True):
    """A group of replicas that run the same program.

    Attributes:
      name: Name of the service.
      max_connections: Maximum number of connections to one replica from all
        gateways together.
      models: Models that its engines run; empty for a service without engines.
      memory_tokens: Capacity of a replica's KV cache in tokens; zero for no
        limit.
      tokens_per_event: Number of tokens in one event of a stream.
      scaling: Bounds of its numbers of replicas; None if these are fixed.
    """

    name: str
    max_connections: int = 64
    models: tuple[str, ...] = ()
    memory_tokens: int = 0
    tokens_per_event: int = 1
    scaling: Scaling | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the requests and connections of a caller.

    Attributes:
      header_bytes: Maximum size of the request line and headers.
      body_bytes: Maximum size of the body.
      header_ms: Maximum time to receive a head.
      idle_ms: Maximum idle time of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 33554432
    header_ms: int = 3000
    idle_ms: int = 15000


class Account(msgspec.Struct, frozen=True):
    """A client account.

    Attributes:
      name: Name of the account, which replicas see; never empty.
      keys: API keys of the account; without keys, it can't be used.
      priority: Priority of its requests; zero is the highest.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 0

    def __repr__(self) -> str:
        # A traceback or a log line must not contain the keys.
        return f'Account({self.name!r})'


class Configuration(msgspec.Struct, frozen=True):
    """All routes and services of one revision.

    Attributes:
      revision: Revision number, which increases with each change.
      routes: Routes in no particular order.
      services: Services by name.
      limits: Limits on callers.
      accounts: Client accounts; None if the deployment has none, and callers
        then need no API keys.
    """

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[Account, ...] | None = None


def choose_service(route: Route, draw: float) -> str:
    """Choose a backend of a route by weight.

    Args:
      route: Route of the request.
      draw: Number in [0, 1) that determines the choice.

    Returns:
      Name of the service.
    """
    total = sum(backend.weight for backend in route.backends)
    remaining = draw * total
    for backend in route.backends:
        remaining -= backend.weight
        if remaining < 0:
            return backend.service
    return route.backends[-1].service
