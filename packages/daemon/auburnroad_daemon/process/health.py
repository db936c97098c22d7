"""The HTTP interface that monitors use, the same for every role.

Liveness says that the loop turns; readiness says that new work is welcome.
They are apart, so that a monitor doesn't kill a daemon that is draining.
"""

import typing

import prometheus_client

from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_daemon.process import history


class Monitored(typing.Protocol):
    """What a role shows to monitors."""

    @property
    def ready(self) -> bool:
        """Whether new work is welcome."""

    @property
    def registry(self) -> prometheus_client.CollectorRegistry:
        """The role's metrics."""

    def build_status(self) -> object:
        """Build the answer of /status, which msgspec encodes."""

    def explain(self, id_: str) -> list[history.Event]:
        """Find the events known of a request or a sample."""


class Router:
    """Finds the handler of a path: an exact one first, then by prefix."""

    __slots__ = ('_exact', '_prefixes')

    def __init__(self):
        self._exact: dict[str, server.Handler] = {}
        self._prefixes: list[tuple[str, server.Handler]] = []

    def add(self, path: str, handler: server.Handler) -> None:
        """Add the handler of one path.

        Args:
          path: The path; with a slash at its end, of all paths below it.
          handler: Turns a request into a response.
        """
        if path.endswith('/'):
            self._prefixes.append((path, handler))
        else:
            self._exact[path] = handler

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answer a request.

        Args:
          request: The request.

        Returns:
          The handler's response, or 404.
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
      status: HTTP status.
      code: Name of the reason, for programs.
      message: The reason, for people.

    Returns:
      The response.
    """
    return messages.json_response(
        status,
        {'error': {'code': code, 'message': message}},
        {'auburnroad-outcome': 'not-run'},
    )


def add_monitoring(router: Router, role: Monitored) -> None:
    """Add the paths that every role serves.

    Args:
      router: Router to add them to.
      role: The role that is shown.
    """

    async def show_live(request):
        return messages.json_response(200, {'live': True})

    async def show_ready(request):
        status = 200 if role.ready else 503
        return messages.json_response(status, {'ready': role.ready})

    async def show_metrics(request):
        body = prometheus_client.generate_latest(role.registry)
        headers = {'content-type': prometheus_client.CONTENT_TYPE_LATEST}
        return messages.Response(200, headers, body)

    async def show_status(request):
        return messages.json_response(200, role.build_status())

    async def show_explanation(request):
        id_ = request.query.get('id', '')
        if not id_:
            return refuse(400, 'missing_id', 'name a request: /explain?id=ID')
        events = role.explain(id_)
        status = 200 if events else 404
        return messages.json_response(status, {'id': id_, 'events': events})

    router.add('/health/live', show_live)
    router.add('/health/ready', show_ready)
    router.add('/metrics', show_metrics)
    router.add('/status', show_status)
    router.add('/explain', show_explanation)
