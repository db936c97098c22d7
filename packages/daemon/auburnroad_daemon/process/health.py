"""The HTTP interface for monitoring, common to all roles.

Liveness means that the event loop runs; readiness means that new requests are
accepted. They are separate so that a monitor doesn't kill a draining daemon.
"""

import typing

import prometheus_client

from auburnroad_core.http import handling
from auburnroad_core.http import messages
from auburnroad_daemon.process import history


class MonitoredRole(typing.Protocol):
    """Interface of a role that can be monitored."""

    @property
    def ready(self) -> bool:
        """Whether the role accepts new requests."""

    @property
    def registry(self) -> prometheus_client.CollectorRegistry:
        """Metrics of the role."""

    def build_status(self) -> object:
        """Build the response body of /status, encoded by msgspec."""

    def explain(self, id_: str) -> list[history.Event]:
        """Find the recorded events of a request or a sample."""


class Router:
    """Finds the handler of a path: exact paths first, then prefixes."""

    __slots__ = ('_exact', '_prefixes')

    def __init__(self):
        self._exact: dict[str, handling.Handler] = {}
        self._prefixes: list[tuple[str, handling.Handler]] = []

    def add(self, path: str, handler: handling.Handler) -> None:
        """Add a handler for a path or a prefix.

        Args:
          path: The path; with a trailing slash it is a prefix and matches all
            paths below it.
          handler: Coroutine function that returns the response to a request.
        """
        if path.endswith('/'):
            self._prefixes.append((path, handler))
        else:
            self._exact[path] = handler

    async def handle(self, request: messages.Request) -> messages.Response:
        """Pass a request to the handler of its path.

        Args:
          request: The request.

        Returns:
          The handler's response, or status 404 if no handler matches.
        """
        path = request.path
        handler = self._exact.get(path)
        if handler is not None:
            return await handler(request)
        for prefix, handler in self._prefixes:
            if path.startswith(prefix):
                return await handler(request)
        return refuse(404, 'unknown_path', f'nothing is served at {path}')


def refuse(status: int, code: str, message: str) -> messages.Response:
    """Build a response that refuses a request as not run.

    Args:
      status: HTTP status code.
      code: Machine-readable error code.
      message: Human-readable reason.

    Returns:
      The response.
    """
    return messages.build_json_response(
        status,
        {'error': {'code': code, 'message': message}},
        {'auburnroad-outcome': 'not-run'},
    )


def add_monitoring(router: Router, role: MonitoredRole) -> None:
    """Add the monitoring paths that every role serves.

    Args:
      router: Router to add the paths to.
      role: The role to monitor.
    """

    async def handle_live(request):
        return messages.build_json_response(200, {'live': True})

    async def handle_ready(request):
        status = 200 if role.ready else 503
        return messages.build_json_response(status, {'ready': role.ready})

    async def handle_metrics(request):
        body = prometheus_client.generate_latest(role.registry)
        headers = {'content-type': prometheus_client.CONTENT_TYPE_LATEST}
        return messages.Response(200, headers, body)

    async def handle_status(request):
        return messages.build_json_response(200, role.build_status())

    async def handle_explain(request):
        id_ = request.query.get('id', '')
        if not id_:
            return refuse(400, 'missing_id', 'name a request: /explain?id=ID')
        events = role.explain(id_)
        status = 200 if events else 404
        return messages.build_json_response(
            status, {'id': id_, 'events': events}
        )

    router.add('/health/live', handle_live)
    router.add('/health/ready', handle_ready)
    router.add('/metrics', handle_metrics)
    router.add('/status', handle_status)
    router.add('/explain', handle_explain)
