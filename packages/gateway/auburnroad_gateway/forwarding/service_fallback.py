"""Chooses another service of a route when the chosen one has no replica left.

A route may have several services, one of which is drawn by weight for each
request. If all of its replicas are gone or were tried, the request goes to
another service of the route rather than being refused.
"""

import random

from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement
from auburnroad_gateway.model import configuration


def update_service(pending, replicas: directory.Directory) -> None:
    """Set the service for the next attempt of a request.

    The service stays while it has an untried replica, or if no other service
    of the route has one. Otherwise one of these is drawn by weight.

    Args:
      pending: A requests.PendingRequest.
      replicas: All replicas.
    """
    if len(pending.route.backends) == 1:
        return
    names = (pending.service, *pending.route.services)
    available = [
        name for name in names if _has_untried(pending, replicas, name)
    ]
    if available and pending.service not in available:
        weights = [_find_weight(pending.route, name) for name in available]
        (pending.service,) = random.choices(available, weights)


def _find_weight(route: configuration.Route, service: str) -> float:
    weight = sum(
        backend.weight
        for backend in route.backends
        if backend.service == service
    )
    # Services without weight are available only if none has a weight.
    return weight or 1.0


def _has_untried(pending, replicas: directory.Directory, service: str) -> bool:
    return any(
        target.id not in pending.tried_replicas
        for target in placement.list_with_release(
            replicas.list_ready(service), pending.release
        )
    )
